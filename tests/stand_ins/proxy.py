"""A loopback proxy whose links the rig disturbs: one listener for each ordered pair of a process
and a destination. One thread passes the bytes of all links."""

import collections
import heapq
import itertools
import selectors
import socket
import struct
import threading
import time

TO_TARGET, FROM_TARGET = "to_target", "from_target"
DIRECTIONS = (TO_TARGET, FROM_TARGET)
PIECE = 65536
# A direction that holds more than this is not read, so that a cut link blocks its sender.
MAX_HELD = 1 << 18


class _Flow:
    """The bytes of one direction of a connection."""

    def __init__(self):
        self.held = collections.deque()
        self.size = 0
        self.is_silent = False
        self.has_ended = False
        self.passed_end = False


class _Connection:
    def __init__(self, link, caller):
        self.link = link
        self.caller = caller
        self.target = None
        self.is_connecting = False
        self.flows = {direction: _Flow() for direction in DIRECTIONS}
        self.watched = {}

    def ends(self, direction):
        """The sockets that a direction is read from and written to."""
        return (self.caller, self.target) if direction == TO_TARGET else (self.target, self.caller)

    def is_silent(self):
        return any(flow.is_silent for flow in self.flows.values())


class Link:
    """All connections of one process to one destination. Its state is set by Proxy."""

    def __init__(self, target):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.cut = set()
        self.delay_s = 0.0
        self.connections = []


class Proxy:
    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._commands = collections.deque()
        self._due = []
        # Orders connections that are due at the same time.
        self._numbers = itertools.count()
        self._links = {}
        self._stopped = False
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, self._on_wake)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    # What the rig calls, from any thread.

    def link(self, source, target):
        """The address at which the process `source` reaches `target`."""
        if (source, target) not in self._links:
            link = self._links[source, target] = Link(target)
            self._call(lambda: self._selector.register(
                link.listener, selectors.EVENT_READ, lambda _: self._accept(link)))
        return self._links[source, target].address

    def links(self, source=None, target=None):
        return [pair for pair in sorted(self._links)
                if source in (None, pair[0]) and target in (None, pair[1])]

    def cut(self, pair, directions=DIRECTIONS):
        """Holds the bytes of these directions back until mend(). A connection that is opened
        meanwhile gets no answer."""
        self._change(pair, lambda link: link.cut.update(directions))

    def mend(self, pair, directions=DIRECTIONS):
        self._change(pair, lambda link: link.cut.difference_update(directions))

    def silence(self, pair, directions=DIRECTIONS):
        """The connections that are open now carry nothing in these directions for good. Their ends
        stay connected and see their bytes acknowledged; new connections work."""
        def apply(link):
            for connection in link.connections:
                for direction in directions:
                    flow = connection.flows[direction]
                    flow.is_silent = True
                    flow.held.clear()
                    flow.size = 0
        self._change(pair, apply)

    def reset(self, pair):
        def apply(link):
            for connection in list(link.connections):
                self._close(connection, is_reset=True)
        self._change(pair, apply)

    def delay(self, pair, seconds):
        self._change(pair, lambda link: setattr(link, "delay_s", seconds))

    def count(self, pair):
        """How many connections are open, and how many of them are silent."""
        connections = list(self._links[pair].connections)
        return len(connections), sum(c.is_silent() for c in connections)

    def stop(self):
        def apply():
            self._stopped = True
        self._call(apply)
        self._thread.join(5.0)
        for link in self._links.values():
            link.listener.close()
            for connection in list(link.connections):
                self._close(connection)
        self._wake_read.close()
        self._wake_write.close()
        self._selector.close()

    def _change(self, pair, apply):
        link = self._links[pair]

        def run():
            apply(link)
            for connection in list(link.connections):
                self._update(connection)
        self._call(run)

    def _call(self, function):
        self._commands.append(function)
        self._wake_write.send(b"x")

    # What runs in the thread of the proxy.

    def _run(self):
        while not self._stopped:
            wait = max(0.0, self._due[0][0] - time.monotonic()) if self._due else None
            for key, events in self._selector.select(wait):
                key.data(events)
            while self._due and self._due[0][0] <= time.monotonic():
                connection = heapq.heappop(self._due)[2]
                if connection in connection.link.connections:
                    self._update(connection)

    def _on_wake(self, _):
        try:
            self._wake_read.recv(4096)
        except OSError:
            return
        while self._commands:
            self._commands.popleft()()

    def _accept(self, link):
        try:
            caller, _ = link.listener.accept()
        except OSError:
            return
        caller.setblocking(False)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(link, caller)
        link.connections.append(connection)
        self._update(connection)

    def _open_target(self, connection):
        target = socket.socket()
        target.setblocking(False)
        target.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        host, port = connection.link.target.rsplit(":", 1)
        connection.target = target
        connection.is_connecting = True
        target.connect_ex((host, int(port)))

    def _update(self, connection):
        """Passes on what is due and may pass, and watches the sockets for what comes next."""
        link = connection.link
        if connection.target is None:
            if link.cut:
                return
            self._open_target(connection)
        if connection.is_connecting:
            return self._watch(connection, {connection.target: selectors.EVENT_WRITE})
        wanted = {connection.caller: 0, connection.target: 0}
        for direction, flow in connection.flows.items():
            if direction in link.cut and not flow.is_silent:
                continue
            source, sink = connection.ends(direction)
            if flow.held and not self._pass(connection, flow, sink):
                return
            if flow.held and flow.held[0][0] <= time.monotonic():
                wanted[sink] |= selectors.EVENT_WRITE
            if not flow.has_ended and flow.size < MAX_HELD:
                wanted[source] |= selectors.EVENT_READ
            if flow.has_ended and not flow.held and not flow.passed_end:
                flow.passed_end = True
                if not connection.is_silent():
                    try:
                        sink.shutdown(socket.SHUT_WR)
                    except OSError:
                        return self._close(connection)
        if all(flow.passed_end for flow in connection.flows.values()):
            return self._close(connection)
        return self._watch(connection, wanted)

    def _pass(self, connection, flow, sink):
        """Returns whether the connection is still open."""
        while flow.held and flow.held[0][0] <= time.monotonic():
            at, piece = flow.held[0]
            try:
                sent = sink.send(piece)
            except BlockingIOError:
                return True
            except OSError:
                self._fail(connection, sink)
                return False
            flow.size -= sent
            if sent < len(piece):
                flow.held[0] = (at, piece[sent:])
                return True
            flow.held.popleft()
        if flow.held:
            heapq.heappush(self._due, (flow.held[0][0], next(self._numbers), connection))
        return True

    def _on_event(self, connection, sock, events):
        if connection not in connection.link.connections:
            return
        if connection.is_connecting:
            connection.is_connecting = False
            if connection.target.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0:
                return self._close(connection, is_reset=True)
        elif events & selectors.EVENT_READ and not self._read(connection, sock):
            return
        self._update(connection)

    def _read(self, connection, sock):
        direction = TO_TARGET if sock is connection.caller else FROM_TARGET
        flow = connection.flows[direction]
        try:
            piece = sock.recv(PIECE)
        except BlockingIOError:
            return True
        except OSError:
            self._fail(connection, sock)
            return False
        if not piece:
            flow.has_ended = True
        elif not flow.is_silent:
            flow.held.append((time.monotonic() + connection.link.delay_s, piece))
            flow.size += len(piece)
        return True

    def _fail(self, connection, sock):
        """One end is gone. A connection that is silent stays open at the other end."""
        if not connection.is_silent():
            return self._close(connection, is_reset=True)
        flow = connection.flows[TO_TARGET if sock is connection.caller else FROM_TARGET]
        flow.has_ended = True
        other = connection.flows[FROM_TARGET if sock is connection.caller else TO_TARGET]
        other.is_silent = True
        other.held.clear()
        other.size = 0
        self._update(connection)

    def _watch(self, connection, wanted):
        for sock, events in wanted.items():
            if connection.watched.get(sock, 0) == events:
                continue
            if sock in connection.watched:
                self._selector.unregister(sock)
                del connection.watched[sock]
            if events:
                self._selector.register(
                    sock, events,
                    lambda seen, sock=sock: self._on_event(connection, sock, seen))
                connection.watched[sock] = events

    def _close(self, connection, is_reset=False):
        if connection not in connection.link.connections:
            return
        connection.link.connections.remove(connection)
        for sock in (connection.caller, connection.target):
            if sock is None:
                continue
            if sock in connection.watched:
                self._selector.unregister(sock)
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        connection.watched.clear()

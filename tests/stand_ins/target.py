"""A stand-in for an application target: runs requests, answers health probes, sends check-ins."""

import json
import socket
import struct
import threading
import time

import http1

PROBE_PATH = "/health"


class Target:
    """Serves on one address until stop(). work(request) tells how to run a request: a dictionary
    with any of `seconds` (how long it works), `status`, `body` and `headers`, or with `raw` (the
    whole answer in bytes) and `reset` (whether the connection is reset then, not closed).

    answer_early(method, path, headers) may return such a dictionary with `raw` to answer before the
    body is read, after `read` bytes of it and `delay` seconds."""

    def __init__(self, ident, service, zone, address, slots, record, work):
        self.ident = ident
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.record = record
        self.work = work
        self.answer_early = lambda method, path, headers: None
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        host, port = address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.stopped.is_set():
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        buffered = b""
        with sock:
            while not self.stopped.is_set():
                try:
                    line, headers, rest = http1.read_head(sock, buffered)
                    method, path, _ = line.split(" ", 2)
                    early = self.answer_early(method, path, headers)
                    if early is not None:
                        return self._answer_early(sock, path, headers, len(rest), early)
                    body, buffered = http1.read_body(sock, headers, rest)
                    self._answer(sock, method, path, headers, body)
                except (OSError, ValueError, http1.Closed):
                    return

    def _answer_early(self, sock, path, headers, buffered, plan):
        ident = headers.get("attempt-id", "")
        self.record("run", target=self.ident, id=ident, path=path,
                    caller_service=headers.get("caller-service"))
        while buffered < plan.get("read", 0):
            buffered += len(sock.recv(65536)) or plan["read"]
        self._send_raw(sock, plan)

    def _send_raw(self, sock, plan):
        """Sends the bytes and ends the connection."""
        sock.sendall(plan["raw"])
        time.sleep(plan.get("delay", 0))
        if plan.get("reset"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    def _send(self, sock, status, headers, body=b""):
        lines = [f"HTTP/1.1 {status} Answer"] + [f"{n}: {v}" for n, v in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def _answer(self, sock, method, path, headers, body):
        if path == PROBE_PATH:
            healthy = self.state == "ready"
            return self._send(sock, 200 if healthy else 503, {"Instance-Id": self.ident})
        ident = headers.get("attempt-id", "")
        echo = {"Attempt-Id": ident}
        if headers.get("expect-instance", self.ident) != self.ident:
            return self._send(sock, 421, {**echo, "Instance-Id": self.ident})
        if not ident:
            return self._send(sock, 400, {"Not-Executed": "1"})
        with self.lock:
            if self.running >= self.slots:
                return self._send(sock, 503, {**echo, "Not-Executed": "1"})
            self.running += 1
        request = {"id": ident, "method": method, "path": path, "headers": headers, "body": body}
        self.record("run", target=self.ident, id=ident, path=path,
                    caller_service=headers.get("caller-service"))
        try:
            plan = self.work(request)
            time.sleep(plan.get("seconds", 0.005))
            answer = plan.get("body", ident.encode())
            echo["Server-Seal"] = f"seal.{ident}.{len(answer)}"
            echo.update(plan.get("headers", {}))
            self.record("done", target=self.ident, id=ident)
        finally:
            with self.lock:
                self.running -= 1
        if "raw" in plan:
            return self._send_raw(sock, plan)
        return self._send(sock, plan.get("status", 200), echo, answer)

    def next_check_in(self, **changes):
        """The content of the next check-in, which send_check_in() sends now or later."""
        self.sequence += 1
        content = {
            "address": self.address,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "max_concurrency": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "warmup_remaining": "0ms"},
            "born": self.born,
        }
        content["info"].update(changes.get("info", {}))
        content["status"].update(changes.get("status", {}))
        return content

    def check_in(self, control_plane, **changes):
        """Sends one check-in and returns the status of its answer, or None."""
        return self.send_check_in(control_plane, self.next_check_in(**changes))

    def send_check_in(self, control_plane, content):
        status, _, _ = http1.exchange(
            control_plane, "PUT", f"/instances/{self.ident}",
            {"Host": control_plane, "Content-Type": "application/json"},
            json.dumps(content).encode(), timeout=1.0)
        return status

    def check_in_regularly(self, control_plane, heartbeat):
        def run():
            while not self.stopped.wait(heartbeat):
                self.check_in(control_plane)

        self.check_in(control_plane)
        threading.Thread(target=run, daemon=True).start()

    def stop(self):
        self.stopped.set()
        self.listener.close()

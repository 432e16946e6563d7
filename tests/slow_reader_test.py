#!/usr/bin/env python3
"""Lets a fixed crowd of clients read large answers slowly, with real processes. Fails if a process
ends, if its peak memory or its number of descriptors exceeds the bound of the mode, or if an
ordinary request at any daemon is not answered afterwards. Nothing else is judged: a client that
reads slowly may be refused or closed, except in the calm modes, whose clients read at once.

    tests/slow_reader_test.py --daemon build/programs/cornelweird --mode NAME [--logs FOLDER]
"""

import argparse
import collections
import json
import pathlib
import random
import re
import signal
import socket
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402

MIB = 1 << 20
# Memory of each machine. The calm modes stay below half of it.
MEMORY_MB = 96
MAX_DESCRIPTORS = 600
LARGEST_BODY = 16 * MIB - 16384
# The window of a client, so that the kernel does not hold the answer for the process.
RECEIVE_BUFFER = 4096
# Requests of the crowd that wait for their first byte at a time. More would be refused for lack of
# slots before an answer is held.
ASKING = 8
# The answers are held for longer than the period after which links and probes give up.
HOLD_S = 6.0
DEADLINE_MS = 9000
# Limits the run when an answer does not come; not a criterion.
RUN_LIMIT_S = 8.0
SLOTS = 64
# Even a third of the answers of this crowd exceeds the memory of a machine by a factor of 1.5.
CROWD = 120
ANSWER = 4 * MIB
ROUTES = 16_000


def work(request):
    """Runs /SERVICE/BYTES/MILLISECONDS: that many bytes after that time."""
    _, _, size, milliseconds = request["path"].split("/")
    return {"seconds": int(milliseconds) / 1000, "body": b"x" * int(size)}


class Client(threading.Thread):
    """One connection that sends `depth` requests at once and then reads `piece` bytes every
    `period` seconds until `over` is set. The connection is reset at the end."""

    def __init__(self, crowd, address, host, path, depth=1, piece=0, period=0.05):
        super().__init__(daemon=True)
        self.crowd = crowd
        self.address = address
        self.host = host
        self.path = path
        self.depth = depth
        self.piece = piece
        self.period = period
        self.outcome = "not sent"
        self.asked = threading.Event()

    def run(self):
        try:
            with socket.socket() as sock:
                with self.crowd.asking:
                    if self.crowd.over.is_set():
                        return
                    self.open(sock)
                self.asked.set()
                self.read_slowly(sock)
        except (OSError, IndexError) as error:
            self.outcome += f", {type(error).__name__}"
        finally:
            self.asked.set()

    def open(self, sock):
        host, port = self.address.rsplit(":", 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.settimeout(3.0)
        sock.connect((host, int(port)))
        requests = "".join(
            f"GET {self.path} HTTP/1.1\r\nHost: {self.host}\r\n"
            f"Attempt-Id: {fleets.new_attempt_id()}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n"
            for _ in range(self.depth))
        sock.sendall(requests.encode())
        self.outcome = "sent"
        if self.crowd.waits:
            self.outcome = sock.recv(16).decode("latin-1").split()[1]

    def read_slowly(self, sock):
        sock.settimeout(0.2)
        while not self.crowd.over.wait(self.period):
            if not self.piece:
                continue
            try:
                if not sock.recv(self.piece):
                    self.outcome += ", closed"
                    return
            except TimeoutError:
                # Nothing more was sent so far.
                continue


class Crowd:
    """Clients that start together; leave() ends all of them. With `waits`, only some at a time wait
    for the first byte of their answer."""

    def __init__(self, waits=True):
        self.asking = threading.Semaphore(ASKING if waits else 100_000)
        self.waits = waits
        self.over = threading.Event()
        self.clients = []

    def add(self, *args, **more):
        self.clients.append(Client(self, *args, **more))

    def come(self):
        for client in self.clients:
            client.start()
        until = time.monotonic() + RUN_LIMIT_S
        for client in self.clients:
            client.asked.wait(max(0.0, until - time.monotonic()))

    def leave(self):
        self.over.set()
        for client in self.clients:
            client.join(RUN_LIMIT_S)
        return collections.Counter(client.outcome for client in self.clients)


class Deployment:
    """Three control hosts; one daemon of the service `near` and two of the service `far`. Callers
    at the first get answers of its own upstream, or of the others."""

    def __init__(self, options):
        self.fleet = fleets.Fleet(fleets.Record(options.record), {"near": 1, "far": 2}, slots=SLOTS,
                                  work=work, memory_mb=MEMORY_MB)
        for role in self.fleet.deploy["roles"].values():
            role["run"] = str(pathlib.Path(options.daemon).resolve())
        self.first, *self.others = self.fleet.sidecars
        self.machines = self.fleet.controls + self.fleet.sidecars
        self.faults = []
        self.outcomes = collections.Counter()
        # The largest number that was seen of each process.
        self.descriptors = collections.Counter()

    def routes(self):
        timeout = f"{DEADLINE_MS}ms"
        return [self.fleet.route(name, name, timeout=timeout) for name in ("near", "far")]

    def start(self):
        self.fleet.start()
        self.pids = {machine.name: machine.process.pid for machine in self.machines}
        if not (self.fleet.put_config(self.routes()) and self.fleet.wait_ready()
                and http1.wait_for(lambda: all(map(self.answers, self.fleet.sidecars)), 15.0)):
            raise RuntimeError("the deployment did not start")

    def ask(self, machine, service, size, milliseconds=0):
        """A client that reads at once. Returns whether the answer is whole."""
        _, status, _, body = fleets.call(self.fleet.record, machine,
                                         f"/{service}/{size}/{milliseconds}",
                                         deadline_ms=DEADLINE_MS)
        return status == 200 and len(body) == size

    def answers(self, machine):
        return self.ask(machine, "near", 16) and self.ask(machine, "far", 16)

    def reads_config(self, machine):
        host = machine.control_plane
        return http1.exchange(host, "GET", "/config", {"Host": host}, timeout=5.0)[0] == 200

    def crowd(self, clients, machines, service, size, **more):
        gathered = Crowd()
        for number in range(clients):
            machine = machines[number % len(machines)]
            gathered.add(machine.outbound, fleets.HOST, f"/{service}/{size}/0", **more)
        return gathered

    def hold(self, gathered, seconds=HOLD_S):
        gathered.come()
        time.sleep(seconds)
        self.outcomes += gathered.leave()

    def judge(self, out):
        for machine in self.machines:
            is_sidecar = machine in self.fleet.sidecars
            check = self.answers if is_sidecar else self.reads_config
            alive = machine.process.poll() is None
            if not alive or machine.process.pid != self.pids[machine.name]:
                self.faults.append(f"{machine.name} ended with {machine.process.returncode}")
                continue
            if not http1.wait_for(lambda: check(machine), RUN_LIMIT_S, 0.2):
                self.faults.append(f"{machine.name} does not answer an ordinary request")
        for machine in self.machines:
            if machine.process.poll() is not None:
                continue
            proc = pathlib.Path("/proc") / str(machine.process.pid)
            peak_kb = int(re.search(r"VmHWM:\s+(\d+)", (proc / "status").read_text()).group(1))
            peak_mb = peak_kb / 1024
            descriptors = max(self.descriptors.get(machine.name, 0),
                              len(list((proc / "fd").iterdir())))
            out(f"  {machine.name:<10} peak {peak_mb:7.1f} of {MEMORY_MB} MB, "
                f"{descriptors:4} of {MAX_DESCRIPTORS} descriptors")
            if peak_mb >= MEMORY_MB:
                self.faults.append(f"{machine.name} took {peak_mb:.0f} MB")
            if descriptors >= MAX_DESCRIPTORS:
                self.faults.append(f"{machine.name} had {descriptors} descriptors open")

    def count_descriptors(self):
        """Watches the open descriptors of each process until the run ends."""

        def run():
            while True:
                for machine in self.machines:
                    try:
                        folder = pathlib.Path("/proc") / str(machine.process.pid) / "fd"
                        count = len(list(folder.iterdir()))
                    except OSError:
                        continue
                    self.descriptors[machine.name] = max(self.descriptors[machine.name], count)
                time.sleep(0.1)

        threading.Thread(target=run, daemon=True).start()


def calm(deployment):
    """One answer after the other, read at once, is served whole."""
    for service in ("near", "far"):
        for size in (LARGEST_BODY, ANSWER, 16):
            if not deployment.ask(deployment.first, service, size):
                deployment.faults.append(f"{size} bytes of {service} were not served whole")


def calm_config(deployment):
    """The configuration of some MB is read once, at once, at each control host."""
    large_config(deployment)
    for machine in deployment.fleet.controls:
        if not deployment.reads_config(machine):
            deployment.faults.append(f"{machine.name} does not serve its configuration")


def reads_little(deployment):
    """The window opens now and then, so that the kernel does not give the connection up."""
    deployment.hold(deployment.crowd(CROWD, [deployment.first], "near", ANSWER, piece=2048))


def reads_nothing(deployment):
    """The window stays closed after the first bytes."""
    deployment.hold(deployment.crowd(CROWD, [deployment.first], "near", ANSWER))


def pipelined(deployment):
    """Small answers, many behind each other on each connection."""
    deployment.hold(deployment.crowd(12, [deployment.first], "near", MIB, depth=32, piece=2048))


def comes_back(deployment):
    """The crowd leaves without reading its answers, and comes again."""
    for _ in range(3):
        deployment.hold(deployment.crowd(CROWD, [deployment.first], "near", ANSWER), 0.5)


def far(deployment):
    """The answers come from other daemons over links."""
    deployment.hold(deployment.crowd(CROWD, [deployment.first], "far", ANSWER, piece=2048))


def spread(deployment):
    """The same crowd, a third of it at each daemon, with answers of all upstreams."""
    deployment.hold(deployment.crowd(CROWD, deployment.fleet.sidecars, "far", ANSWER, piece=2048))


def paused(deployment):
    """A daemon stops reading its links while the others have answers for it."""
    gathered = Crowd(waits=False)
    for number in range(96):
        # Spread in time, so that no answer is refused because others are being read.
        gathered.add(deployment.first.outbound, fleets.HOST,
                     f"/far/{ANSWER}/{2000 + 25 * number}")
    started = len(deployment.fleet.record.of("run"))
    gathered.come()
    http1.wait_for(lambda: len(deployment.fleet.record.of("run")) >= started + SLOTS, 1.5)
    deployment.first.send_signal(signal.SIGSTOP)
    time.sleep(HOLD_S)
    deployment.first.send_signal(signal.SIGCONT)
    deployment.outcomes += gathered.leave()


def large_config(deployment):
    """Puts a configuration of some MB in force."""
    fleet = deployment.fleet
    choose = random.Random(1)
    routes = deployment.routes()
    for _ in range(ROUTES):
        routes.append(fleet.route(f"{choose.getrandbits(128):032x}", "near"))
    fleet.version += 1
    body = json.dumps(fleet.config(fleet.version, routes)).encode()

    def put():
        statuses = []
        for machine in fleet.controls:
            host = machine.control_plane
            status, _, text = http1.exchange(
                host, "PUT", "/config",
                {"Host": host, "If-Match": f"{fleet.version - 1:08x}",
                 "Content-Type": "application/json"}, body, timeout=5.0)
            if status == 200:
                return True
            statuses.append((status, text[:200]))
        fleet.record("refused", answers=statuses)
        return False

    if not http1.wait_for(put, RUN_LIMIT_S, 0.2):
        raise RuntimeError("the large configuration was not accepted")
    if not http1.wait_for(lambda: set(fleets.read_all(fleet).values()) == {f"{fleet.version:08x}"},
                          RUN_LIMIT_S, 0.2):
        raise RuntimeError("the large configuration is not in force everywhere")


def reads_config(deployment):
    """Operators read a configuration of some MB slowly."""
    large_config(deployment)
    gathered = Crowd()
    for _ in range(96):
        address = deployment.fleet.controls[0].control_plane
        gathered.add(address, address, "/config", piece=2048)
    deployment.hold(gathered)


def reads_metrics(deployment):
    """More slow readers of the metrics than the server takes, at each process."""
    gathered = Crowd()
    for machine in deployment.machines:
        for _ in range(300):
            address = f"{machine.ip}:{fleets.METRICS}"
            gathered.add(address, address, "/metrics", piece=64)
    deployment.hold(gathered)


MODES = {"calm": calm, "calm-config": calm_config, "reads-little": reads_little,
         "reads-nothing": reads_nothing, "pipelined": pipelined, "comes-back": comes_back,
         "far": far, "spread": spread, "paused": paused, "reads-config": reads_config,
         "reads-metrics": reads_metrics}


def run(options):
    deployment = Deployment(options)
    try:
        deployment.start()
        deployment.count_descriptors()
        MODES[options.mode](deployment)
        print(f"{options.mode}: {dict(deployment.outcomes)}")
        deployment.judge(print)
    except RuntimeError as error:
        print(f"{options.mode}: {error}", file=sys.stderr)
        deployment.faults.append(str(error))
        return 2
    finally:
        if deployment.faults and options.logs:
            for machine in deployment.machines:
                (options.logs / f"{machine.name}.log").write_text(machine.log())
        deployment.fleet.stop()
    for fault in deployment.faults:
        print(f"  {fault}")
    return 1 if deployment.faults else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--mode", required=True, choices=sorted(MODES))
    parser.add_argument("--record", default="/dev/null")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the logs of a failed run")
    options = parser.parse_args()
    if options.record == "/dev/null" and options.logs:
        options.record = options.logs / "record.txt"
    return run(options)


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Stops daemons in series and overlapping, with real processes, while callers keep using their open
connections until the process is gone. Fails if an accepted request is lost, runs twice or is denied
although it ran, if a process outlives its grace period, or if an acknowledged change is lost.

    tests/stop_soak.py --daemon build/programs/cornelweird [--seed N] [--runs N] [--rounds N]
"""

import argparse
import collections
import pathlib
import random
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402

TIME_LIMIT_MS = 2500
# An unread request may be closed with its connection this soon after it was sent.
UNREAD_SLACK_S = 0.2
# A freeze excuses requests that touch the frozen host from this long before until after it.
FREEZE_SLACK_S = 3.0
LARGE_BODY = b"x" * 400_000
UPLOAD = b"y" * 60_000
PATHS = {"view": "/form/view", "large": "/form/large", "submit": "/submit/new"}


def work(request):
    """How a target runs a request."""
    seconds = random.choice([0.01, 0.05, 0.1, 0.3, 0.3, 1.0])
    if request["path"] == PATHS["submit"]:
        seconds = random.choice([0.05, 0.2, 0.5, 1.5])
    plan = {"seconds": seconds}
    if request["path"] == PATHS["large"]:
        plan["body"] = LARGE_BODY
    return plan


class Attempt:
    """A request that was sent whole on some connection."""

    def __init__(self, machine, path):
        self.ident = fleets.new_attempt_id()
        self.machine = machine
        self.path = path
        # Before the last bytes are sent: the daemon's time limit starts when it has read them.
        self.sent_at = None
        self.ended_at = None
        self.status = None
        self.whole = False
        # It was sent behind a response that closed the connection, or behind a lost request.
        self.unread = False


class Caller(threading.Thread):
    """Sends requests at one machine until it is stopped."""

    def __init__(self, soak, machine, seed):
        super().__init__(daemon=True)
        self.soak = soak
        self.machine = machine
        self.choose = random.Random(seed)
        self.attempts = []

    def run(self):
        while not self.soak.over.is_set():
            try:
                connection = http1.Connection(self.machine.outbound, TIME_LIMIT_MS / 1000 + 2)
            except OSError:
                time.sleep(0.02)
                continue
            try:
                self.use(connection)
            finally:
                connection.close()

    def use(self, connection):
        """Sends requests on the connection until it ends."""
        raise NotImplementedError

    def headers(self, attempt):
        return {"Host": fleets.HOST, "Attempt-Id": attempt.ident, "Deadline-Ms": TIME_LIMIT_MS}

    def send(self, connection, path, method="GET", body=b""):
        attempt = Attempt(self.machine, path)
        attempt.sent_at = time.monotonic()
        connection.send(method, path, self.headers(attempt), body)
        self.attempts.append(attempt)
        return attempt

    def receive(self, connection, attempt):
        """Returns whether the connection stays open."""
        try:
            status, headers, _ = connection.receive()
        except (OSError, ValueError, http1.Closed):
            attempt.ended_at = time.monotonic()
            return False
        attempt.ended_at = time.monotonic()
        attempt.status = status
        attempt.whole = headers.get("attempt-id") == attempt.ident and "server-seal" in headers
        return headers.get("connection", "").lower() != "close"


class KeptCaller(Caller):
    """One request after the other on a kept connection, without a pause."""

    def use(self, connection):
        while not self.soak.over.is_set():
            name = self.choose.choice(["view", "view", "submit"])
            try:
                attempt = self.send(connection, PATHS[name], "POST" if name == "submit" else "GET",
                                    b"form" if name == "submit" else b"")
            except OSError:
                return
            if not self.receive(connection, attempt):
                return


class FreshCaller(Caller):
    """A new connection for each request."""

    def use(self, connection):
        try:
            attempt = self.send(connection, PATHS["view"])
        except OSError:
            return
        self.receive(connection, attempt)
        time.sleep(0.02)


class SlowUploader(Caller):
    """Sends a body in pieces, so that a stop often begins in the middle of one."""

    def use(self, connection):
        while not self.soak.over.is_set():
            attempt = Attempt(self.machine, PATHS["submit"])
            lines = [f"POST {attempt.path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in self.headers(attempt).items()]
            lines.append(f"Content-Length: {len(UPLOAD)}")
            try:
                connection.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
                for start in range(0, len(UPLOAD), 6_000):
                    time.sleep(0.05)
                    attempt.sent_at = time.monotonic()
                    connection.sock.sendall(UPLOAD[start:start + 6_000])
            except OSError:
                return
            self.attempts.append(attempt)
            if not self.receive(connection, attempt):
                return


class SlowReader(Caller):
    """Reads large responses slowly."""

    def use(self, connection):
        while not self.soak.over.is_set():
            try:
                attempt = self.send(connection, PATHS["large"])
            except OSError:
                return
            try:
                while len(connection.buffered) < len(LARGE_BODY):
                    piece = connection.sock.recv(40_000)
                    if not piece:
                        break
                    connection.buffered += piece
                    time.sleep(0.01)
            except OSError:
                pass
            if not self.receive(connection, attempt):
                return


class PipelinedCaller(Caller):
    """Keeps several requests unanswered on a kept connection."""

    def use(self, connection):
        depth = self.choose.randint(2, 9)
        waiting = []
        while True:
            open_for_more = not self.soak.over.is_set()
            while open_for_more and len(waiting) < depth:
                try:
                    waiting.append(self.send(connection, PATHS["view"]))
                except OSError:
                    break
            if not waiting:
                return
            if not self.receive(connection, waiting.pop(0)):
                for attempt in waiting:
                    attempt.unread = True
                    attempt.ended_at = time.monotonic()
                return


class Soak:
    def __init__(self, options):
        self.options = options
        self.choose = random.Random(options.seed)
        self.over = threading.Event()
        self.record = fleets.Record(options.record)
        grace_s = options.grace or self.choose.choice([6, 8, 10])
        self.grace_s = grace_s
        self.fleet = fleets.Fleet(self.record, {"forms": 3, "intake": 3},
                                  bounds={"grace": f"{grace_s}s"}, work=work)
        # Not before: fleets of the same seed would draw the same network.
        random.seed(options.seed)
        daemon = str(pathlib.Path(options.daemon).resolve())
        for role in self.fleet.deploy["roles"].values():
            role["run"] = daemon
        self.faults = []
        self.freezes = []
        self.acknowledged = 0

    def routes(self):
        return [self.fleet.route("form", "forms", timeout="2500ms", latency="1000ms"),
                self.fleet.route("submit", "intake", "unsafe", timeout="2500ms", latency="1000ms")]

    def change_config(self):
        if self.fleet.put_config(self.routes()):
            self.acknowledged = self.fleet.version

    def stop_and_restart(self, machine, frozen=False):
        """One planned stop, as the platform does it."""
        if frozen:
            began = time.monotonic()
            machine.send_signal(signal.SIGSTOP)
            time.sleep(self.choose.uniform(0.2, 0.8))
        asked = time.monotonic()
        machine.send_signal(signal.SIGTERM)
        if frozen:
            time.sleep(0.2)
            machine.send_signal(signal.SIGCONT)
            self.freezes.append((machine, began, time.monotonic()))
        if self.choose.random() < 0.3:
            time.sleep(0.3)
            machine.send_signal(signal.SIGTERM)
        try:
            code = machine.process.wait(max(0.1, asked + self.grace_s - time.monotonic()))
            self.record("ended", machine=machine.name, code=code,
                        after_s=round(time.monotonic() - asked, 2))
            if code != 0:
                self.faults.append(f"{machine.name} ended with {code}")
        except subprocess.TimeoutExpired:
            self.faults.append(f"{machine.name} outlived its grace period of {self.grace_s} s")
            machine.kill()
        time.sleep(self.choose.uniform(0.0, 1.0))
        machine.bootstrap = False
        machine.start()

    def round(self, number):
        """Overlapping stops: of two daemons of a service and, in turn, a control host, a change of
        the configuration, or a daemon that stood still before."""
        sidecars = self.fleet.sidecars
        service = self.choose.choice(self.fleet.services)
        chosen = self.choose.sample([m for m in sidecars if m.service == service], 2)
        stops = [(chosen[0], False), (chosen[1], number % 3 == 2)]
        if number % 3 == 1:
            stops.append((self.choose.choice(self.fleet.controls), False))
        threads = []
        for machine, frozen in stops:
            threads.append(threading.Thread(target=self.stop_and_restart, args=(machine, frozen)))
            threads[-1].start()
            time.sleep(self.choose.uniform(0.0, 1.0))
        self.change_config()
        for thread in threads:
            thread.join()
        if not self.fleet.wait_ready():
            self.faults.append(f"the daemons are not ready after round {number}")

    def run(self):
        fleet = self.fleet
        try:
            fleet.start()
            self.change_config()
            if not self.acknowledged or not fleet.wait_ready():
                print("the fleet did not start", file=sys.stderr)
                return 2
            kinds = [KeptCaller, KeptCaller, PipelinedCaller, FreshCaller, SlowUploader, SlowReader]
            callers = [kind(self, machine, self.choose.random())
                       for machine in fleet.sidecars for kind in kinds]
            for caller in callers:
                caller.start()
            time.sleep(1.0)
            for number in range(self.options.rounds):
                self.round(number)
            time.sleep(1.0)
            self.over.set()
            for caller in callers:
                caller.join(TIME_LIMIT_MS / 1000 + 5)
            self.check_config()
            return self.judge([a for caller in callers for a in caller.attempts])
        finally:
            self.over.set()
            if self.faults and self.options.logs:
                for machine in fleet.sidecars + fleet.controls:
                    (self.options.logs / f"{machine.name}.log").write_text(machine.log())
            fleet.stop()

    def check_config(self):
        versions = [v for v in fleets.read_all(self.fleet).values() if isinstance(v, str)]
        newest = max((int(v, 16) for v in versions), default=0)
        if newest < self.acknowledged:
            self.faults.append(f"version {self.acknowledged} was acknowledged, {newest} is read")

    def ends_by_log(self):
        """What the daemons logged about the end of each request: the name of the host that it was
        passed on to last, if any, the outcome, and the figures for a report."""
        pattern = re.compile(r'event=4002 .*request=(\w+) .*upstream_daemon=(\S*) .*'
                             r'outcome=("[^"]*"|\S+) refusals=(\d+) sent=(\d+) ms=(\d+)')
        by_address = {machine.inbound: machine.name for machine in self.fleet.sidecars}
        ends = {}
        for machine in self.fleet.sidecars:
            for found in pattern.finditer(machine.log()):
                ident, daemon, outcome, refusals, sent, took = found.groups()
                ends[ident] = (by_address.get(daemon), outcome,
                               f"{refusals} refusals, sent {sent} times, {took} ms")
        return ends

    def is_excused(self, attempt, runs, daemon):
        names = {attempt.machine.name, daemon}
        names |= {run["target"].removeprefix("i-") for run in runs}
        return any(machine.name in names
                   and attempt.sent_at < end + FREEZE_SLACK_S
                   and (attempt.ended_at or time.monotonic()) > begin - FREEZE_SLACK_S
                   for machine, begin, end in self.freezes)

    def judge(self, attempts):
        runs = {}
        for _, fields in self.record.of("run"):
            runs.setdefault(fields["id"], []).append(fields)
        ends = self.ends_by_log()
        refusals = collections.Counter()
        counts = {"answered": 0, "refused": 0, "unread": 0, "late": 0, "excused": 0}
        for attempt in attempts:
            ran = runs.get(attempt.ident, [])
            took = (attempt.ended_at or time.monotonic()) - attempt.sent_at
            # A request that was passed on to a daemon that stands still does not run there.
            daemon, outcome, figures = ends.get(attempt.ident, (None, "not in the log", ""))
            if self.is_excused(attempt, ran, daemon):
                counts["excused"] += 1
            elif attempt.whole:
                counts["answered"] += 1
            elif took * 1000 >= TIME_LIMIT_MS - 50:
                counts["late"] += 1
            elif attempt.status in (429, 503):
                counts["refused"] += 1
                refusals[outcome] += 1
                if ran and attempt.path == PATHS["submit"]:
                    self.faults.append(f"{attempt.ident} was refused as not run and ran")
            elif not ran and (attempt.unread or (attempt.status is None and took < UNREAD_SLACK_S)):
                counts["unread"] += 1
            else:
                self.faults.append(f"{attempt.ident} at {attempt.machine.name} {attempt.path} is "
                                   f"lost: status {attempt.status}, ran {len(ran)} times, "
                                   f"{took:.3f} s after it was sent; by the log: {outcome} "
                                   f"{figures}")
            if len(ran) > 1 and attempt.path == PATHS["submit"]:
                self.faults.append(f"{attempt.ident} ran {len(ran)} times")
        stops = [fields["after_s"] for _, fields in self.record.of("ended")]
        print(f"seed {self.options.seed}: grace {self.grace_s} s, {len(stops)} stops of "
              f"{min(stops, default=0)} to {max(stops, default=0)} s, {len(attempts)} requests: "
              + ", ".join(f"{count} {name}" for name, count in counts.items())
              + f", {len(self.faults)} faults", flush=True)
        if refusals:
            print("  refused: " + ", ".join(f"{n} {text}" for text, n in refusals.most_common()))
        for fault in self.faults[:20]:
            print("  " + fault)
        return 1 if self.faults else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1, help="runs, each with the next seed")
    parser.add_argument("--rounds", type=int, default=3, help="rounds of overlapping stops a run")
    parser.add_argument("--grace", type=int, help="seconds; drawn by the seed if absent")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the logs of a failed run")
    options = parser.parse_args()
    if options.runs > 1:
        return run_seeds(options)
    with tempfile.TemporaryDirectory(prefix="stop-soak-") as folder:
        options.record = pathlib.Path(folder) / "record.txt"
        if options.logs:
            options.logs.mkdir(parents=True, exist_ok=True)
            options.record = options.logs / "record.txt"
        return Soak(options).run()


def run_seeds(options):
    """Each run has a process of its own: stand-ins that wait for a connection keep their ports."""
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        command = [sys.executable, __file__, "--daemon", options.daemon, "--seed", str(seed),
                   "--rounds", str(options.rounds)]
        if options.grace:
            command += ["--grace", str(options.grace)]
        if options.logs:
            command += ["--logs", str(options.logs / str(seed))]
        failed += subprocess.run(command).returncode != 0
    print(f"{failed} of {options.runs} runs failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

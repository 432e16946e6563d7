"""A sidecar is stopped with SIGTERM while a requester pipelines safe requests on a kept connection
and goes on using it until it ends."""

import os
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.0
TIME_LIMIT_MS = 2500
# A request works for a time between these, each of them as likely.
MIN_WORK_S, MAX_WORK_S = 0.2, 0.6
# Requests of the connection that are not answered at a time, and the time between two sends.
DEPTH = 6
SEND_PERIOD_S = 0.05
# The requester stops sending this long after the signal if the connection has not ended.
LONGEST_S = 7.0


class Pipeline:
    """A requester with one kept connection, on which it keeps DEPTH requests unanswered. It ends
    when a response says `Connection: close` or when the connection ends."""

    def __init__(self, record, machine, platform):
        self.record = record
        self.machine = machine
        self.platform = platform
        self.connection = http1.Connection(machine.outbound, TIME_LIMIT_MS / 1000 + 1)
        self.lock = threading.Lock()
        self.waiting = []
        self.sent_at = {}
        self.answers = {}
        self.told_to_close = False
        self.ended = False

    def run(self, until):
        reader = threading.Thread(target=self._read)
        reader.start()
        while not self.ended and not self.told_to_close and time.monotonic() < until():
            with self.lock:
                room = len(self.waiting) < DEPTH
            if not room or not self.platform.gives_work():
                time.sleep(0.002)
                continue
            ident = fleets.new_attempt_id()
            with self.lock:
                self.waiting.append(ident)
            self.sent_at[ident] = time.monotonic()
            self.record("sent", id=ident, at=self.machine.name)
            try:
                self.connection.send("GET", "/form/view", {
                    "Host": fleets.HOST, "Attempt-Id": ident, "Deadline-Ms": TIME_LIMIT_MS})
            except OSError as error:
                self.record("not sent", id=ident, reason=error)
                break
            time.sleep(SEND_PERIOD_S)
        while not self.ended and self.waiting:
            time.sleep(0.01)
        self.connection.close()
        reader.join()

    def _read(self):
        while True:
            try:
                status, headers, _ = self.connection.receive()
            except (OSError, ValueError, http1.Closed) as error:
                self.record("connection ended", reason=f"{type(error).__name__}: {error}")
                self.ended = True
                return
            with self.lock:
                ident = self.waiting.pop(0)
            whole = status == 200 and headers.get("attempt-id") == ident
            self.answers[ident] = status if whole or status != 200 else "foreign"
            self.told_to_close = headers.get("connection", "").lower() == "close"
            self.record("answered", id=ident, status=status, close=self.told_to_close)
            if self.told_to_close:
                self.ended = True
                return


def work(_):
    return {"seconds": random.uniform(MIN_WORK_S, MAX_WORK_S)}


class Platform:
    """Asks the daemons of the requester's zone for their readiness once a second, and tells whether
    requesters at its machine receive new work: not after two misses, unless fewer than half of the
    zone's daemons are in."""

    def __init__(self, record, machine, zone):
        self.record = record
        self.machine = machine
        self.misses = {each.name: 0 for each in zone}
        self.zone = zone
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while not self.stopped.wait(1.0):
            for each in self.zone:
                ready = each.is_ready()
                self.misses[each.name] = 0 if ready else self.misses[each.name] + 1
                self.record("asked", ready=ready, machine=each.name)

    def gives_work(self):
        machines_in = sum(count < 2 for count in self.misses.values())
        return self.misses[self.machine.name] < 2 or machines_in * 2 < len(self.misses)

    def stop(self):
        self.stopped.set()
        self.thread.join()


def main():
    record = fleets.Record(HERE / "record.txt")
    record("case", trouble=TROUBLE)
    fleet = fleets.Fleet(record, {"forms": 4}, work=work)
    # Alone in its zone: with it, none of the daemons of the zone is in, which is fewer than half.
    for number, machine in enumerate(fleet.sidecars):
        machine.zone = fleets.ZONES[0] if number == 0 else fleets.ZONES[1 + number % 2]
        fleet.targets[machine.name].zone = machine.zone
    try:
        fleet.start()
        routes = [fleet.route("form", "forms", timeout="2500ms", latency="1000ms")]
        if not fleet.put_config(routes) or not fleet.wait_ready():
            return 2
        machine = fleet.sidecars[0]
        time.sleep(2.0)
        zone = [each for each in fleet.sidecars if each.zone == machine.zone]
        platform = Platform(record, machine, zone)
        requester = Pipeline(record, machine, platform)
        stopped_at = [time.monotonic() + 2.0]
        thread = threading.Thread(
            target=requester.run, args=(lambda: stopped_at[0] + LONGEST_S,))
        thread.start()
        time.sleep(max(0.0, stopped_at[0] - time.monotonic()))
        if TROUBLE:
            stopped_at[0] = time.monotonic()
            machine.send_signal(signal.SIGTERM)
            try:
                machine.process.wait(GRACE_S)
                record("ended", machine=machine.name,
                       after_s=round(time.monotonic() - stopped_at[0], 2))
            except subprocess.TimeoutExpired:
                machine.send_signal(signal.SIGKILL)
        thread.join()
        platform.stop()
        time.sleep(MAX_WORK_S + 0.2)
        broken = 0
        for ident, sent in requester.sent_at.items():
            runs = record.of("run", id=ident)
            status = requester.answers.get(ident)
            if not runs or status == 200:
                continue
            after = sent - stopped_at[0]
            done = [at + record.started - stopped_at[0] for at, _ in record.of("done", id=ident)]
            # The rule excuses a request that was sent up to 3 s after the signal if its target was
            # still at work in the last sixth of the grace.
            excused = after <= 3.0 and any(at > GRACE_S * 5 / 6 for at in done)
            cut = TROUBLE and not excused
            broken += cut
            record("judged", id=ident, sent_after_signal_s=round(after, 2), status=status,
                   target_done_after_s=[round(at, 2) for at in done], cut=cut)
        record("result", cut=broken, of=len(requester.sent_at))
        if not requester.answers:
            return 2
        if not TROUBLE and any(s != 200 for s in requester.answers.values()):
            return 2
        return 1 if broken else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    fleets.run_case(main)

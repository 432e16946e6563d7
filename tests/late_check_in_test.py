#!/usr/bin/env python3
"""Targets leave around a kill of all daemons, and check-ins that they had sent before arrive late,
with real processes. Fails if a request reaches a target later than its drain time after a daemon
has acknowledged that it leaves, or if a target that has not left gets none.

    tests/late_check_in_test.py --daemon build/programs/cornelweird [--logs FOLDER]
"""

import argparse
import itertools
import pathlib
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402
import play as plays  # noqa: E402

DRAIN_S = 2.0
# The control group may need this long after it has lost all hosts until all machines are in touch.
RECOVERY_S = 6.0
DOWN_S = 0.7
LATE_S = 2.0
OBSERVED_S = 3.0
CALLS_PER_S = 60
# How the targets of the service leave; the others stay.
(DRAINING_BEFORE, DELETE_BEFORE, DELETE_WITHOUT_CONTROL, DELETE_FIRST, DRAINING_FIRST, REPLACED,
 OTHER_DELETED, STAYS) = range(8)
LEAVE = (DRAINING_BEFORE, DELETE_BEFORE, DELETE_WITHOUT_CONTROL, DELETE_FIRST, DRAINING_FIRST)
STAY = (REPLACED, OTHER_DELETED, STAYS)


class Play:
    def __init__(self, record):
        self.record = record
        self.over = threading.Event()
        self.fleet = fleets.Fleet(record, {"forms": 1, "intake": 8})
        self.machines = self.fleet.sidecars[1:]
        self.targets = [self.fleet.targets[machine.name] for machine in self.machines]
        self.failures = []

    def start(self):
        fleet = self.fleet
        fleet.start()
        routes = [fleet.route("view", "forms"), fleet.route("submit", "intake", "unsafe")]
        return fleet.put_config(routes) and fleet.wait_ready() and http1.wait_for(
            self.all_used, 20)

    def all_used(self):
        for machine in self.fleet.sidecars:
            self.call(machine)
        return all(self.record.of("run", target=target.ident) for target in self.targets)

    def call(self, machine):
        fleets.call(self.record, machine, "/submit/x", "POST", body=b"x")

    def call_regularly(self):
        for machine in itertools.cycle(self.fleet.sidecars):
            if self.over.wait(1 / CALLS_PER_S):
                return
            threading.Thread(target=self.call, args=(machine,), daemon=True).start()

    def delete(self, number, ident=None):
        """Returns whether the daemon has acknowledged that the target is gone."""
        address = self.machines[number].control_plane
        status, _, _ = http1.exchange(
            address, "DELETE", f"/instances/{ident or self.targets[number].ident}",
            {"Host": address}, timeout=1.0)
        return self.is_acknowledged(number, "delete", status)

    def drain(self, number):
        target = self.targets[number]
        status = target.check_in(self.machines[number].control_plane, status={"state": "draining"})
        return self.is_acknowledged(number, "draining", status)

    def is_acknowledged(self, number, what, status):
        self.record(what, target=self.targets[number].ident, status=status)
        return status is not None and 200 <= status < 300

    def now(self):
        return time.monotonic() - self.record.started

    def leave(self, number, tell):
        """Health probes get 503 from now on, as of any target that leaves."""
        self.targets[number].state = "leaving"
        if not http1.wait_for(lambda: tell(number), 10, 0.02):
            sys.exit(f"target {number} was not acknowledged")

    def kill(self, machines):
        for machine in machines:
            machine.process.kill()
        for machine in machines:
            machine.process.wait()

    def play(self):
        if not self.start():
            sys.exit("the fleet did not become ready")
        threading.Thread(target=self.call_regularly, daemon=True).start()
        time.sleep(1.0)
        for number in (*LEAVE, REPLACED):
            self.targets[number].check_in = self.silenced(self.targets[number])
        # The last check-ins before the targets leave, which arrive later.
        late = [target.next_check_in() for target in self.targets]
        self.leave(DRAINING_BEFORE, self.drain)
        self.leave(DELETE_BEFORE, self.delete)
        self.kill(self.fleet.controls)
        self.leave(DELETE_WITHOUT_CONTROL, self.delete)
        self.kill(self.fleet.sidecars)
        first_words = [threading.Thread(target=self.leave, args=arguments) for arguments in
                       ((DELETE_FIRST, self.delete), (DRAINING_FIRST, self.drain),
                        (REPLACED, self.delete))]
        for thread in first_words:
            thread.start()
        time.sleep(DOWN_S)
        for machine in self.fleet.controls + self.fleet.sidecars:
            machine.start()
        started_at = self.now()
        for thread in first_words:
            thread.join()
        self.delete(OTHER_DELETED, "i-other")
        self.replace()
        time.sleep(LATE_S)
        for number in LEAVE:
            status = self.targets[number].send_check_in(self.machines[number].control_plane,
                                                        late[number])
            self.record("late", target=self.targets[number].ident, status=status)
        bound = max(started_at + RECOVERY_S, self.now() + DRAIN_S)
        time.sleep(bound + OBSERVED_S - self.now())
        self.over.set()
        time.sleep(3.0)
        self.judge(bound)
        return f"{len(LEAVE)} upstreams left"

    def silenced(self, target):
        """Regular check-ins stop, so that the target says only what this test sends."""
        original = target.check_in
        return lambda address, **changes: original(address, **changes) if changes else None

    def replace(self):
        """A new process with the same id starts at the address of a target that has left."""
        target = self.targets[REPLACED]
        target.state = "ready"
        target.born += 10_000
        target.sequence = 0
        # The new process announces itself regularly.
        del target.check_in
        target.send_check_in(self.machines[REPLACED].control_plane, target.next_check_in())

    def judge(self, bound):
        sent_at = {fields["id"]: at for at, fields in self.record.of("sent")}
        for number, target in enumerate(self.targets):
            runs = [fields["id"] for at, fields in self.record.of("run", target=target.ident)
                    if at > bound and sent_at.get(fields["id"], 0) > bound]
            if number in LEAVE and runs:
                self.failures.append(f"target {number} has left and ran {len(runs)} requests")
            if number in STAY and not runs:
                self.failures.append(f"target {number} has not left and ran no request")


def main():
    plays.main(argparse.ArgumentParser(description=__doc__.split("\n", 1)[0]),
               lambda record, _: Play(record))


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""A check-in of another writer names a service that no configuration has. Fails if a target then
runs a request whose `Caller-Service` is not the service of the machine where the request began.

TROUBLE=0 does the same, but nobody sends that check-in."""

import json
import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALLS_PER_S = 40
BEFORE_S, AFTER_S = 3.0, 8.0


class Case:
    def __init__(self, record):
        self.record = record
        self.over = threading.Event()
        self.fleet = fleets.Fleet(record, {"forms": 2, "intake": 2})
        self.machine = self.fleet.sidecars[0]
        self.target = self.fleet.targets[self.machine.name]

    def start(self):
        fleet = self.fleet
        fleet.start()
        routes = [fleet.route("view", "forms"), fleet.route("submit", "intake", "unsafe")]
        return (fleet.put_config(routes) and fleet.wait_ready() and http1.wait_for(
            lambda: all(fleets.call(self.record, m, "/view/first")[1] == 200
                        for m in fleet.sidecars), 20))

    def call_regularly(self):
        while not self.over.wait(1 / CALLS_PER_S):
            threading.Thread(target=fleets.call, daemon=True, args=(
                self.record, self.machine, "/view/form")).start()

    def send_foreign_check_in(self):
        """All of it is well formed, but no configuration has the service."""
        content = {
            "address": self.target.address,
            "info": {"service": "unheard-of", "version": "v1", "zone": self.target.zone,
                     "max_concurrency": self.target.slots},
            "status": {"state": "ready", "sequence": 1, "warmup_remaining": "0ms"},
            "born": int(time.time() * 1000),
        }
        control_plane = self.machine.control_plane
        status, _, _ = http1.exchange(
            control_plane, "PUT", "/instances/i-foreign",
            {"Host": control_plane, "Content-Type": "application/json"},
            json.dumps(content).encode(), timeout=1.0)
        self.record("foreign-check-in", status=status, content=json.dumps(content))

    def run(self):
        threading.Thread(target=self.call_regularly, daemon=True).start()
        time.sleep(BEFORE_S)
        if TROUBLE:
            self.send_foreign_check_in()
        time.sleep(AFTER_S)
        status = self.target.check_in(self.machine.control_plane)
        self.record("own-check-in", target=self.target.ident, status=status)
        self.over.set()
        time.sleep(3.0)
        return self.judge()

    def judge(self):
        sent = {fields["id"] for _, fields in self.record.of("sent", at=self.machine.name)}
        runs = [fields for _, fields in self.record.of("run") if fields["id"] in sent]
        wrong = [f for f in runs if f["caller_service"] != self.machine.service]
        self.record("judged", runs=len(runs), with_a_wrong_caller_service=len(wrong))
        if not runs:
            return COULD_NOT_RUN
        return BROKEN if wrong else HELD


def main():
    case = Case(fleets.Record(HERE / "record.txt"))
    try:
        code = case.run() if case.start() else COULD_NOT_RUN
    except Exception as error:  # The case could not run to its end.
        case.record("error", error=repr(error))
        code = COULD_NOT_RUN
    finally:
        case.over.set()
        case.fleet.stop()
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code])
    sys.exit(code)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""All processes of the system are killed at the same moment and start again. A target that leaves
meanwhile repeats its DELETE until its daemon acknowledges it; a check-in that it had sent before
arrives late. Fails if requests still reach the target later than `drain` after the acknowledgement.

TROUBLE=0 does the same, but the processes keep running."""

import json
import os
import pathlib
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402
from target import Target  # noqa: E402

# BROKEN is no status that Python itself exits with; run.sh turns it into 1.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 3
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
# Twice contact_window, as after a final fault that took most of the core.
OUT_OF_TOUCH_S = 6.0
DOWN_S = 0.7
# The check-in arrives this long after the DELETE was acknowledged.
LATE_S = 2.5
# The target keeps serving this long after the acknowledgement, then it exits.
SERVES_ON_S = 10.0
RETRY_S = 0.25
CALLS_PER_S = 60


class Case:
    def __init__(self, record):
        self.record = record
        self.over = threading.Event()
        self.fleet = fleets.Fleet(record, {"forms": 3, "intake": 3})
        self.machine = self.fleet.sidecars[4]
        self.target = self.fleet.targets[self.machine.name]

    def start(self):
        fleet = self.fleet
        fleet.start()
        routes = [fleet.route("view", "forms"), fleet.route("submit", "intake", "unsafe")]
        return (fleet.put_config(routes) and fleet.wait_ready() and http1.wait_for(
            lambda: self.target_runs_requests(), 20))

    def target_runs_requests(self):
        for machine in self.fleet.sidecars:
            fleets.call(self.record, machine, "/submit/first", "POST", body=b"x")
        return bool(self.record.of("run", target=self.target.ident))

    def call_regularly(self):
        """Callers of all machines but that of the target."""
        callers = [m for m in self.fleet.sidecars if m is not self.machine]
        number = 0
        while not self.over.wait(1 / CALLS_PER_S):
            number += 1
            threading.Thread(target=fleets.call, daemon=True, args=(
                self.record, callers[number % len(callers)], "/submit/interview", "POST", 2500,
                b"an interview")).start()

    def next_check_in(self):
        """The check-in that the target sends at its next heartbeat, which is the last one before it
        leaves."""
        target = self.target
        target.sequence += 1
        return {
            "address": target.address,
            "info": {"service": target.service, "version": "v1", "zone": target.zone,
                     "max_concurrency": target.slots},
            "status": {"state": "ready", "sequence": target.sequence, "warmup_remaining": "0ms"},
            "born": target.born,
        }

    def withdraw(self):
        """Returns whether the daemon has acknowledged that the target is gone."""
        control_plane = self.machine.control_plane
        status, _, _ = http1.exchange(control_plane, "DELETE", f"/instances/{self.target.ident}",
                                      {"Host": control_plane}, timeout=1.0)
        self.record("delete", target=self.target.ident, status=status)
        return status is not None and 200 <= status < 300

    def kill_all(self):
        processes = [each.process for each in self.fleet.controls + self.fleet.sidecars]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        self.record("killed", processes=len(processes))

    def run(self):
        record, target, machine = self.record, self.target, self.machine
        threading.Thread(target=self.call_regularly, daemon=True).start()
        time.sleep(3.0)
        # From here on the target says nothing of itself but what this case sends.
        target.check_in = lambda *_, **__: None
        time.sleep(0.2)
        started_at = float("-inf")
        if TROUBLE:
            self.kill_all()
        late = self.next_check_in()
        record("check-in-sent", target=target.ident, sequence=target.sequence)
        # Health probes get 503 from now on, as of any target that leaves.
        target.state = "leaving"
        leaving = threading.Thread(target=lambda: http1.wait_for(self.withdraw, 10, RETRY_S))
        leaving.start()
        if TROUBLE:
            time.sleep(DOWN_S)
            for each in self.fleet.controls + self.fleet.sidecars:
                each.start()
            started_at = now(record)
        leaving.join()
        acknowledged = [at for at, fields in record.of("delete") if fields["status"] == 200]
        if not acknowledged:
            return COULD_NOT_RUN
        sleep_until(record, acknowledged[0] + LATE_S)
        status = target.send_check_in(machine.control_plane, late)
        record("check-in-arrives", target=target.ident, status=status,
               content=json.dumps(late["status"]))
        sleep_until(record, acknowledged[0] + SERVES_ON_S)
        end(target)
        record("target-exits", target=target.ident)
        time.sleep(1.0)
        self.over.set()
        time.sleep(3.0)
        return self.judge(acknowledged[0], started_at)

    def judge(self, acknowledged_at, started_at):
        # Later than `drain` after the acknowledgement, and sent when all machines were in touch.
        bound = max(acknowledged_at + DRAIN_S, started_at + OUT_OF_TOUCH_S)
        sent_at = {fields["id"]: at for at, fields in self.record.of("sent")}
        reached = [fields["id"] for at, fields in self.record.of("run", target=self.target.ident)
                   if at > bound and sent_at.get(fields["id"], 0) > bound]
        answers = [fields["status"] for _, fields in self.record.of("answered")
                   if fields["id"] in set(reached)]
        self.record("judged", acknowledged_at=round(acknowledged_at, 3), bound=round(bound, 3),
                    reached_later=len(reached),
                    of_these_without_a_success=sum(status != 200 for status in answers))
        return BROKEN if reached else HELD


def now(record):
    return time.monotonic() - record.started


def sleep_until(record, at):
    time.sleep(max(0.0, at - now(record)))


def end(target):
    """The process of the target ends: its listener and its connections are closed."""
    target.stopped.set()
    for sock in [target.listener, *target.connections]:
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # Closed already.
    target.listener.close()


def serve_known(target, sock, serve=Target._serve):
    """Target._serve(), which also keeps the connection for end()."""
    target.__dict__.setdefault("connections", []).append(sock)
    serve(target, sock)


Target.connections = ()
Target._serve = serve_known


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

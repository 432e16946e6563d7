#!/usr/bin/env python3
"""Fills the disks of control hosts, with real processes, while the configuration changes: one host,
two at once, again soon after, a host that is killed or starts meanwhile. Fails if a host whose disk
has room does not take part again within 3 s, if a full host does not refuse a change at once, or if
an acknowledged change is lost when as many disks as the group tolerates are lost at the end.

The limit on the size of files stands in for a full disk: with a limit of 0, each write fails.

    tests/disk_soak.py --daemon build/programs/cornelweird [--seed N] [--rounds N]
"""

import argparse
import json
import pathlib
import random
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402

HOSTS = 5
TOLERATED = 2
# A change finds a leader within an election and a retry.
ACK_S = 4.0
BACK_S = 3.0
AT_ONCE_S = 0.5


class Soak:
    def __init__(self, options):
        self.options = options
        self.choose = random.Random(options.seed)
        self.fleet = fleets.Fleet(fleets.Record(options.record), {"forms": 1}, controls=HOSTS)
        daemon = str(pathlib.Path(options.daemon).resolve())
        for role in self.fleet.deploy["roles"].values():
            role["run"] = daemon
        self.faults = []
        self.back_s = []
        self.acknowledged = 0

    def routes(self):
        return [self.fleet.route("form", "forms")]

    def change(self):
        """A change that the group must accept: at most as many disks are full as it tolerates."""
        if self.fleet.put_config(self.routes(), ACK_S):
            self.acknowledged = self.fleet.version
            return
        # Its outcome is unknown; the next change builds on what is in force.
        self.faults.append(f"change {self.fleet.version} was not acknowledged within {ACK_S} s")
        self.fleet.version = max(self.versions(), default=self.fleet.version)

    def versions(self):
        return [int(v, 16) for v in fleets.read_all(self.fleet).values() if isinstance(v, str)]

    def is_healthy(self, machine):
        return machine.metric("cornelweir_storage_healthy") == 1

    def check_refusal(self, machine):
        """A host that knows that its disk is full refuses a change at once."""
        if not http1.wait_for(lambda: not self.is_healthy(machine), 3.0, 0.05):
            self.faults.append(f"{machine.name} does not report its full disk")
            return
        body = json.dumps(self.fleet.config(self.fleet.version + 1, self.routes())).encode()
        headers = {"If-Match": f"{self.fleet.version:08x}", "Content-Type": "application/json"}
        began = time.monotonic()
        status, answered, _ = machine.request("PUT", headers=headers, body=body)
        took = time.monotonic() - began
        if status != 503 or "retry-after" not in answered or took > AT_ONCE_S:
            self.faults.append(f"{machine.name} answered {status} after {took:.2f} s")

    def check_back(self, machines):
        """Each host reads the newest configuration again, which takes a leader and its own log."""
        began = time.monotonic()
        for machine in machines:
            def is_back(machine=machine):
                status, _, body = machine.request("GET")
                return (status == 200 and self.is_healthy(machine)
                        and int(json.loads(body)["version"], 16) >= self.acknowledged)
            if http1.wait_for(is_back, BACK_S, 0.02):
                self.back_s.append(time.monotonic() - began)
            else:
                self.faults.append(f"{machine.name} is not back {BACK_S} s after its disk had room")

    def restart_full(self, machine):
        """The process is killed while its disk is full, and starts on the full disk."""
        machine.kill()
        machine.bootstrap = False
        for role in self.fleet.deploy["roles"].values():
            daemon, role["run"] = role["run"], f"/usr/bin/prlimit --fsize=0:unlimited {role['run']}"
        try:
            machine.start()
        finally:
            for role in self.fleet.deploy["roles"].values():
                role["run"] = daemon

    def round(self, number):
        count = self.choose.choice([1, 2, 2])
        full = self.choose.sample(self.fleet.controls, count)
        for machine in full:
            machine.set_full(True)
            time.sleep(self.choose.uniform(0.0, 0.5))
        for _ in range(self.choose.randint(1, 3)):
            self.change()
        if number % 2 == 1:
            self.restart_full(full[0])
            time.sleep(0.3)
        else:
            self.check_refusal(full[0])
        if self.choose.random() < 0.3:
            # Room for a moment, and full again.
            full[0].set_full(False)
            time.sleep(self.choose.uniform(0.1, 0.9))
            full[0].set_full(True)
            time.sleep(0.2)
        for machine in full:
            machine.set_full(False)
        self.check_back(full)
        self.change()

    def lose_disks(self):
        """The final fault: the hosts that were never full count no more than the others."""
        lost = self.choose.sample(self.fleet.controls, TOLERATED)
        for machine in self.fleet.controls:
            machine.kill()
        for machine in self.fleet.controls:
            if machine in lost:
                machine.lose_disk()
            machine.bootstrap = False
            machine.start()
        if not http1.wait_for(lambda: max(self.versions(), default=0) >= self.acknowledged, 15.0):
            self.faults.append(f"version {self.acknowledged} is lost with {TOLERATED} disks")

    def run(self):
        try:
            self.fleet.start()
            if not self.fleet.put_config(self.routes()):
                print("the fleet did not start", file=sys.stderr)
                return 2
            self.acknowledged = self.fleet.version
            for number in range(self.options.rounds):
                self.round(number)
            self.lose_disks()
            return self.judge()
        finally:
            if self.faults and self.options.logs:
                for machine in self.fleet.controls:
                    (self.options.logs / f"{machine.name}.log").write_text(machine.log())
            self.fleet.stop()

    def judge(self):
        back = sorted(self.back_s)
        print(f"seed {self.options.seed}: {self.acknowledged} changes, {len(back)} hosts back after "
              f"{back[len(back) // 2]:.2f} s (median), {back[-1]:.2f} s (worst)" if back else
              f"seed {self.options.seed}: no host came back")
        for fault in self.faults:
            print(f"  {fault}")
        return 1 if self.faults or not back else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--record", default="/dev/null")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the logs of a run that failed")
    options = parser.parse_args()
    if options.record == "/dev/null" and options.logs:
        options.record = options.logs / "record.txt"
    return Soak(options).run()


if __name__ == "__main__":
    sys.exit(main())

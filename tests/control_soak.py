#!/usr/bin/env python3
"""Plays overlapping faults of a group of five control hosts with real processes, then a calm in
which every process runs and every disk stores. Connections that were silenced stay silent. Fails if
a control host or a sidecar does not have the newest acknowledged configuration within the recovery
bound after the calm began, if a change after it is not accepted, or if an acknowledged change is
lost.

    tests/control_soak.py --daemon build/programs/cornelweird --shim build/tests/libfault_shim.so
        [--seed N] [--runs N] [--seconds S] [--only KIND]... [--logs FOLDER]
"""

import argparse
import collections
import concurrent.futures
import heapq
import itertools
import json
import pathlib
import random
import re
import shutil
import signal
import statistics
import struct
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402
import proxy as proxies  # noqa: E402

HOSTS = 5
TOLERATED = 2
SIDECARS = 3
# The recovery bound that the platform's settings state.
BOUND_S = 15.0
# A change finds a leader within an election and a retry.
ACK_S = 4.0
# How long a run that failed is watched for a recovery that needs no restart.
PATIENCE_S = 15.0
MESH = fleets.INTERNAL_PORTS[0]
KINDS = ["kill", "stop", "pause", "cut", "one_way", "silence", "reset", "delay", "full", "slow",
         "disk", "replace"]


class Writer(threading.Thread):
    """Changes the configuration until it is stopped. Version N has a route that is named after it
    and the one of version N - 1.
    A change whose outcome is unknown is sent again, so the versions have no gaps."""

    def __init__(self, rig, seed):
        super().__init__(daemon=True)
        self.rig = rig
        self.choose = random.Random(seed)
        self.over = threading.Event()
        self.acknowledged = 0

    def run(self):
        while not self.over.wait(self.choose.uniform(0.05, 0.8)):
            self.attempt(self.choose.choice(self.rig.fleet.controls))

    def attempt(self, machine, timeout=1.0):
        version = self.acknowledged + 1
        body = json.dumps(self.rig.fleet.config(version, self.rig.routes(version))).encode()
        headers = {"If-Match": f"{self.acknowledged:08x}", "Content-Type": "application/json"}
        status, _, _ = machine.request("PUT", headers=headers, body=body, timeout=timeout)
        self.rig.fleet.record("config", at=machine.name, version=version, status=status)
        if status == 200:
            self.acknowledged = version
        elif status == 412 and (self.rig.version_at(machine) or 0) >= version:
            # An earlier attempt was accepted, and its answer was lost.
            self.acknowledged = version
        return self.acknowledged >= version

    def change(self, seconds):
        """Sends one change to one host after the other. Returns whether it was acknowledged."""
        wanted = self.acknowledged + 1
        return http1.wait_for(lambda: any(self.attempt(m) for m in self.rig.fleet.controls
                                          if self.acknowledged < wanted), seconds, 0.1)


class Rig:
    def __init__(self, options, seed, folder):
        self.options = options
        self.seed = seed
        self.choose = random.Random(seed)
        self.folder = folder
        self.proxy = proxies.Proxy()
        self.fleet = fleets.Fleet(fleets.Record(folder / "record.txt"), {"forms": SIDECARS},
                                  controls=HOSTS)
        for role in self.fleet.deploy["roles"].values():
            # The signal that goes with the limit on file sizes has no counterpart on a full disk. A
            # daemon that it ended would be started again in the calm.
            role["run"] = ("/usr/bin/env --ignore-signal=XFSZ "
                           + str(pathlib.Path(options.daemon).resolve()))
        self.retired = []
        # The machines whose process the rig ended and has not started again.
        self.down = set()
        self.next_control = HOSTS
        for machine in self.machines():
            self.equip(machine)
        self.write_routes()
        self.writer = Writer(self, seed)
        self.pending = []
        self.numbers = itertools.count()
        self.played = collections.Counter()
        self.lost_disks = 0
        self.faults = []
        self.times = {}

    # The fleet.

    def machines(self):
        return self.fleet.controls + self.fleet.sidecars

    def equip(self, machine):
        """The process connects through the proxy, and its syncs take as long as the rig says."""
        delay = machine.folder / "sync-delay"
        delay.write_bytes(struct.pack("=I", 0))
        machine.environment = {"LD_PRELOAD": str(self.options.shim.resolve()),
                               "FAULT_SHIM_ROUTES": str(machine.folder / "routes"),
                               "FAULT_SHIM_SYNC_DELAY": str(delay)}

    def write_routes(self):
        for machine in self.machines():
            lines = []
            for control in self.fleet.controls + self.retired:
                target = f"{control.ip}:{MESH}"
                if control is not machine:
                    lines.append(f"{target} {self.proxy.link(machine.name, target)}\n")
            written = machine.folder / "routes.new"
            written.write_text("".join(lines))
            written.replace(machine.folder / "routes")

    def routes(self, version):
        # The one before it as well: a change whose outcome was unknown may come into force while
        # the newest acknowledged one is being judged.
        return [self.fleet.route(f"v{number}", "forms") for number in (version - 1, version)]

    def set_sync_delay(self, machine, ms):
        with open(machine.folder / "sync-delay", "r+b") as out:
            out.write(struct.pack("=I", ms))

    def version_at(self, machine):
        status, _, body = machine.request("GET", timeout=1.0)
        return int(json.loads(body)["version"], 16) if status == 200 else None

    # Faults. Each begins at once and returns what ends it, or nothing if it can't be played now.

    def later(self, seconds, action):
        heapq.heappush(self.pending, (time.monotonic() + seconds, next(self.numbers), action))

    def some_machine(self):
        return self.choose.choice(
            self.fleet.controls if self.choose.random() < 0.85 else self.fleet.sidecars)

    def some_links(self):
        """All links of one host, or of all, or some of the links, or those of one sidecar."""
        links = self.proxy.links()
        names = {m.name for m in self.fleet.controls}
        mesh = [pair for pair in links if pair[0] in names]
        target = self.choose.choice(self.fleet.controls)
        of_host = [p for p in links if p[0] == target.name or p[1] == f"{target.ip}:{MESH}"]
        of_sidecar = self.proxy.links(source=self.choose.choice(self.fleet.sidecars).name)
        share = self.choose.uniform(0.1, 0.8)
        some = [pair for pair in links if self.choose.random() < share]
        return self.choose.choice([of_host, of_host, mesh, some, some, of_sidecar])

    def start(self, machine):
        if machine not in self.retired and not machine.is_running():
            self.check_ended_by_rig(machine)
            self.down.discard(machine)
            machine.bootstrap = False
            machine.start()

    def end(self, machine):
        self.check_ended_by_rig(machine)
        self.down.add(machine)
        machine.kill()

    def check_ended_by_rig(self, machine):
        if machine.process is not None and not machine.is_running() and machine not in self.down:
            self.faults.append(f"{machine.name} ended by itself with {machine.process.returncode}")

    def kill(self):
        machine = self.some_machine()
        self.end(machine)
        return lambda: self.start(machine)

    def stop(self):
        machine = self.some_machine()
        if not machine.is_running():
            return None
        self.down.add(machine)
        machine.send_signal(signal.SIGTERM)

        def end():
            if machine not in self.retired:
                self.end(machine)
                self.start(machine)
        return end

    def pause(self):
        count = self.choose.choice([1, 1, 2, HOSTS])
        paused = [m for m in self.choose.sample(self.fleet.controls, count) if m.is_running()]
        for machine in paused:
            machine.send_signal(signal.SIGSTOP)

        def end():
            for machine in paused:
                if machine.is_running():
                    machine.send_signal(signal.SIGCONT)
        return end

    def cut(self, directions=proxies.DIRECTIONS):
        links = self.some_links()
        for pair in links:
            self.proxy.cut(pair, directions)

        def end():
            for pair in links:
                self.proxy.mend(pair, directions)
        return end

    def one_way(self):
        return self.cut((self.choose.choice(proxies.DIRECTIONS),))

    def silence(self):
        directions = self.choose.choice([proxies.DIRECTIONS, (proxies.TO_TARGET,),
                                         (proxies.FROM_TARGET,)])
        for pair in self.some_links():
            self.proxy.silence(pair, directions)
        return lambda: None

    def reset(self):
        for pair in self.some_links():
            self.proxy.reset(pair)
        return lambda: None

    def delay(self):
        links, seconds = self.some_links(), self.choose.uniform(0.02, 0.6)
        for pair in links:
            self.proxy.delay(pair, seconds)

        def end():
            for pair in links:
                self.proxy.delay(pair, 0.0)
        return end

    def full(self):
        chosen = self.choose.sample(self.fleet.controls, self.choose.choice([1, 1, 2, 2, 3, HOSTS]))
        for machine in chosen:
            if machine.is_running():
                machine.set_full(True)

        def end():
            for machine in chosen:
                if machine.is_running():
                    machine.set_full(False)
        return end

    def slow(self):
        chosen = self.choose.sample(self.fleet.controls, self.choose.randint(1, HOSTS))
        for machine in chosen:
            self.set_sync_delay(machine, self.choose.randint(20, 250))

        def end():
            for machine in chosen:
                self.set_sync_delay(machine, 0)
        return end

    def disk(self):
        if self.lost_disks >= TOLERATED:
            return None
        self.lost_disks += 1
        machine = self.choose.choice(self.fleet.controls)
        self.end(machine)
        machine.lose_disk()
        return lambda: self.start(machine)

    def replace(self):
        """Another machine at another address takes the place; the old one is gone for good."""
        if self.lost_disks >= TOLERATED:
            return None
        self.lost_disks += 1
        place = self.choose.randrange(HOSTS)
        old = self.fleet.controls[place]
        self.end(old)
        self.retired.append(old)
        machine = fleets.Machine(self.fleet, "control", self.next_control)
        self.next_control += 1
        self.equip(machine)
        self.fleet.controls[place] = machine
        self.write_routes()
        return lambda: self.start(machine)

    def begin(self, kind):
        end = getattr(self, kind)()
        self.fleet.record("fault", kind=kind, played=end is not None)
        if end is None:
            return
        self.played[kind] += 1
        self.later(self.choose.uniform(0.2, 5.0), end)

    def disturb(self):
        kinds = self.options.only or KINDS
        until = time.monotonic() + self.options.seconds
        following = time.monotonic()
        while time.monotonic() < until:
            if time.monotonic() >= following:
                self.begin(self.choose.choice(kinds))
                following = time.monotonic() + self.choose.uniform(0.1, 1.6)
            while self.pending and self.pending[0][0] <= time.monotonic():
                heapq.heappop(self.pending)[2]()
            time.sleep(0.01)

    def calm(self):
        """Ends each fault except silence."""
        while self.pending:
            heapq.heappop(self.pending)[2]()
        for pair in self.proxy.links():
            self.proxy.mend(pair)
            self.proxy.delay(pair, 0.0)
        for machine in self.machines():
            if machine.role == "control":
                self.set_sync_delay(machine, 0)
            if machine.is_running():
                machine.set_full(False)
                machine.send_signal(signal.SIGCONT)
            self.start(machine)

    # The judgement.

    def has(self, machine, version):
        if machine.role == "control":
            return (self.version_at(machine) or 0) >= version
        _, status, headers, _ = fleets.call(self.fleet.record, machine, f"/v{version}/x",
                                            timeout=1.0)
        return (status == 200 and "server-seal" in headers
                and (machine.metric("cornelweir_policy_version") or 0) >= version)

    def wait_for_version(self, version, seconds):
        """Returns after how long all machines had the version in one pass, or None. Notes when each
        had it first."""
        began = time.monotonic()
        self.times = {}
        with concurrent.futures.ThreadPoolExecutor(len(self.machines())) as pool:
            while True:
                answers = list(pool.map(lambda m: self.has(m, version), self.machines()))
                now = time.monotonic() - began
                for machine, answer in zip(self.machines(), answers):
                    if answer:
                        self.times.setdefault(machine.name, now)
                if all(answers):
                    return now
                if now > seconds:
                    return None
                time.sleep(0.1)

    def missing(self):
        return " ".join(m.name for m in self.machines() if m.name not in self.times)

    def losses_since(self, wall_time):
        """The event-3011 lines of the sidecars since then: their number, reasons, hosts and the
        median of the time between two lines of one sidecar, in ms."""
        since = time.strftime("%H:%M:%S", time.localtime(wall_time))
        names = {f"{m.ip}:{MESH}": m.name for m in self.fleet.controls + self.retired}
        reasons, hosts, periods = collections.Counter(), set(), []
        for machine in self.fleet.sidecars:
            previous = None
            for line in machine.log().splitlines():
                found = re.match(r"time=(\d+):(\d+):([\d.]+) .*event=3011 .*", line)
                if not found or line[5:13] < since:
                    continue
                at = int(found[1]) * 3600 + int(found[2]) * 60 + float(found[3])
                if previous is not None:
                    periods.append(at - previous)
                previous = at
                reason = re.search(r' reason=("[^"]*"|\S+)', line)
                reasons[reason[1].strip('"') if reason else "?"] += 1
                host = re.search(r' host="?([\d.:]+)', line)
                hosts.add(names.get(host[1], host[1]) if host else "?")
        median = f"{statistics.median(periods) * 1000:.0f} ms" if periods else "none"
        return (f"{sum(reasons.values())} lines of event 3011, period {median}, "
                f"hosts {sorted(hosts)}, reasons {dict(reasons)}")

    def restart_all(self):
        """Tells a state that a restart ends from one that stays."""
        for machine in self.fleet.controls:
            self.end(machine)
            self.start(machine)
        took = self.wait_for_version(self.writer.acknowledged, BOUND_S)
        return f"after a restart of all control hosts: {took:.2f} s" if took is not None else (
            f"not after a restart of all control hosts either: {self.missing()}")

    def judge(self):
        began, wall = time.monotonic(), time.time()
        newest = self.writer.acknowledged
        took = self.wait_for_version(newest, BOUND_S)
        if took is None:
            self.faults.append(f"version {newest} is not at {self.missing()} within {BOUND_S:.0f} s "
                               f"(others: {self.text_of_times()})")
            late = self.wait_for_version(newest, PATIENCE_S)
            self.faults.append("it came after {:.1f} s".format(time.monotonic() - began)
                               if late is not None else
                               f"nor within {PATIENCE_S:.0f} s more at {self.missing()}")
            self.faults.append("sidecars since the calm began: " + self.losses_since(wall))
            self.write_logs()
            if late is None:
                self.faults.append(self.restart_all())
            return
        recovered, recovery_times = took, self.text_of_times()
        if not self.writer.change(ACK_S):
            self.faults.append(f"a change in the calm was not acknowledged within {ACK_S} s")
        after = self.wait_for_version(self.writer.acknowledged, ACK_S)
        if after is None:
            self.faults.append(f"version {self.writer.acknowledged}, a change in the calm, is not at "
                               f"{self.missing()} within {ACK_S} s")
        self.result = (f"all current after {recovered:.2f} s ({recovery_times}), the next change "
                       f"{after if after is None else round(after, 2)} s; "
                       f"{self.losses_since(wall)}")
        if self.faults:
            self.write_logs()

    def text_of_times(self):
        return " ".join(f"{name} {seconds:.1f}" for name, seconds in sorted(self.times.items()))

    def write_logs(self):
        if not self.options.logs:
            return
        folder = self.options.logs / f"seed-{self.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        for machine in self.machines() + self.retired:
            (folder / f"{machine.name}-{machine.ip}.log").write_text(machine.log())
        shutil.copy(self.folder / "record.txt", folder / "record.txt")
        links = "".join(f"{source} {target} open={count[0]} silent={count[1]}\n"
                        for source, target in self.proxy.links()
                        for count in [self.proxy.count((source, target))])
        (folder / "links.txt").write_text(links)

    def run(self):
        self.result = "not current in time"
        try:
            self.fleet.start()
            if not self.writer.change(20.0) or not self.fleet.wait_ready():
                print(f"seed {self.seed}: the fleet did not start", file=sys.stderr)
                self.write_logs()
                return 2
            self.writer.start()
            self.disturb()
            self.writer.over.set()
            self.writer.join()
            self.fleet.record("calm")
            self.calm()
            self.judge()
            self.fleet.record("judged", result=self.result, faults=self.faults)
        finally:
            for machine in self.retired:
                machine.kill()
            self.fleet.stop()
            self.proxy.stop()
        played = " ".join(f"{kind} {count}" for kind, count in sorted(self.played.items()))
        print(f"seed {self.seed}: {self.writer.acknowledged} changes; faults: {played}; "
              f"{self.result}")
        for fault in self.faults:
            print(f"  {fault}")
        sys.stdout.flush()
        return 1 if self.faults else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--shim", required=True, type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1, help="runs with this seed and the next ones")
    parser.add_argument("--seconds", type=float, default=25.0, help="how long faults are played")
    parser.add_argument("--only", action="append", choices=KINDS, help="a kind of fault to play")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the logs of a run that failed")
    options = parser.parse_args()
    worst = 0
    for seed in range(options.seed, options.seed + options.runs):
        with tempfile.TemporaryDirectory(prefix="control-soak-") as folder:
            worst = max(worst, Rig(options, seed, pathlib.Path(folder)).run())
    return worst


if __name__ == "__main__":
    sys.exit(main())

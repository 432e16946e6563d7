"""The demo: one deployment under load while versions change and processes die."""

import shutil
import subprocess
import sys
import tempfile
import threading
import time

import caller
import fleet as fleets

# Bounds that are promised: an accepted version is in force everywhere within 4 s.
CONVERGENCE_BOUND_S = 4.0


class VersionWatch:
    """Polls the daemons and notes any that moves to an older version."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.highest = {}
        self.moved_back = []
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        while not self.stop_event.is_set():
            for target in self.fleet.targets:
                status = self.fleet.proxy_status(target)
                # A restarted daemon enforces nothing until it is ready.
                if not status or not status["ready"]:
                    continue
                before = self.highest.get(target.name, 0)
                if status["version"] < before:
                    self.moved_back.append((target.name, before, status["version"]))
                self.highest[target.name] = max(before, status["version"])
            self.stop_event.wait(0.05)


class Demo:
    def __init__(self, name):
        self.name = name
        deployment = fleets.DEPLOYMENTS[name]
        self.folder = tempfile.mkdtemp(prefix=f"cornelweir-{name}-")
        self.fleet = fleets.Fleet(
            self.folder, deployment["services"], deployment["slots"], deployment["connections"]
        )
        self.converged = []
        self.broken = []

    def log(self, text):
        print(f"[{self.name}] {text}", flush=True)

    def ctl(self, *arguments):
        """Runs one verb of the command-line tool, as an operator would."""
        command = [self.fleet.programs / "cornelweirctl", *arguments,
                   "--control", self.fleet.control_endpoints()]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if done.returncode != 0:
            self.broken.append(
                f"cornelweirctl {' '.join(arguments)} exited {done.returncode}: {done.stderr}")
        return done.stdout

    def accept(self, note):
        before = time.time()
        self.ctl("accept", "--note", note)
        version = self.fleet.get("/v1/table")["version"]
        late = self.fleet.wait_for_version(version)
        for target in late:
            self.broken.append(f"{target.name} does not enforce version {version}")
        applied = []
        for target in self.fleet.targets:
            report = self.fleet.proxy_status(target) or {"applied": []}
            applied += [a["applied_at_us"] for a in report["applied"] if a["version"] == version]
        # A daemon that was down applies a later version; the status check above covers it.
        seconds = max(applied) / 1e6 - before if applied else 0.0
        self.converged.append((version, note, seconds))
        self.log(f"version {version} ({note}) in force everywhere after {seconds * 1000:.0f} ms")

    def set_weights(self, v1, v2, note):
        for service in self.fleet.services:
            self.ctl("set", f"split/{service}/v1", f"weight={v1}")
            self.ctl("set", f"split/{service}/v2", f"weight={v2}")
        self.accept(note)

    def leader(self):
        status = self.fleet.get("/v1/status")
        return next(c for c in self.fleet.controls if c.name == status["leader"])

    def prepare(self):
        self.log(f"starting {len(self.fleet.targets)} targets and 3 control hosts")
        self.fleet.start()
        self.fleet.set_table(self.fleet.table({"v1": 100, "v2": 100}), "first-table")
        self.accept("first table")
        # Shares of service limits grow only after a lease time.
        time.sleep(6.5)

    def disturb(self):
        time.sleep(2)
        self.set_weights(100, 0, "all to v1")
        self.set_weights(0, 100, "all to v2")
        self.log("killing the leader of the control hosts")
        killed = self.leader()
        killed.process.kill()
        self.set_weights(50, 50, "without one control host")
        killed.process.start()
        self.log("killing and restarting a proxy")
        target = self.fleet.targets[0]
        target.daemon.kill()
        target.daemon.start()
        time.sleep(1)
        self.set_weights(80, 20, "after a proxy's restart")
        self.log("stopping and restarting an upstream gracefully")
        leaving = self.fleet.targets[1]
        leaving.upstream.terminate()
        if leaving.upstream.wait(20) != 0:
            self.broken.append(f"{leaving.name} did not drain")
        leaving.upstream.start()
        self.log("stopping and restarting a proxy gracefully")
        stopping = self.fleet.targets[-1]
        stopping.daemon.terminate()
        if stopping.daemon.wait(30) != 0:
            self.broken.append(f"the proxy of {stopping.name} did not stop gracefully")
        stopping.daemon.start()
        self.set_weights(100, 100, "last")
        time.sleep(2)

    def check(self, callers, watch):
        runs = caller.runs_by_key(self.fleet)
        counts = {"ran": 0, "not-run": 0, "unknown": 0, "no-answer": 0}
        lost = twice = false_refusals = 0
        for call in callers.calls:
            counts[call.state] += 1
            if self.fleet.services[call.service]["idempotent"]:
                lost += call.state == "no-answer"
                continue
            ran = runs.get(call.key, 0)
            twice += ran > 1
            lost += (call.state == "ran" and ran == 0) or call.state == "no-answer"
            false_refusals += call.state == "not-run" and ran > 0
        mixed = sum(call.mixed for call in callers.calls)
        checks = [
            (lost, "requests were lost"),
            (twice, "requests that must not be repeated ran twice"),
            (false_refusals, "requests that were refused as not run did run"),
            (mixed, "answers did not belong to their request"),
            (len(watch.moved_back), f"proxies moved back: {watch.moved_back}"),
        ]
        for number, text in checks:
            if number:
                self.broken.append(f"{number} {text}")
        for version, _, seconds in self.converged:
            if seconds > CONVERGENCE_BOUND_S:
                self.broken.append(f"version {version} took {seconds:.1f} s")
        self.report(counts, lost, twice, mixed)

    def report(self, counts, lost, twice, mixed):
        print(f"\n== {self.name}")
        print("accepted version   in force everywhere after")
        for version, note, seconds in self.converged:
            print(f"  {version:<6} {note:<28} {seconds * 1000:8.0f} ms")
        received = [
            status["control_bytes_received"]
            for status in map(self.fleet.proxy_status, self.fleet.targets)
            if status
        ]
        if received:
            print(f"control bytes by proxy: least {min(received)}, most {max(received)}")
        print(f"requests: {sum(counts.values())} in all, {counts['ran']} answered, "
              f"{counts['not-run']} refused as not run, {counts['unknown']} unknown, "
              f"{lost} lost, {twice} run twice, {mixed} answers mixed up")
        for text in self.broken:
            print(f"BROKEN: {text}")
        print("all promises held" if not self.broken else "promises were broken")

    def run(self, keep):
        try:
            self.prepare()
            watch = VersionWatch(self.fleet)
            watch.thread.start()
            callers = caller.Callers(self.fleet)
            callers.start()
            self.disturb()
            callers.stop()
            watch.stop_event.set()
            watch.thread.join()
            self.check(callers, watch)
            if keep:
                self.explain()
        finally:
            if not keep:
                self.fleet.stop()
                if not self.broken:
                    shutil.rmtree(self.folder, ignore_errors=True)
                else:
                    print(f"logs are in {self.folder}")
        return not self.broken

    def explain(self):
        programs = self.fleet.programs
        print(f"\nprocesses keep running; their files are in {self.folder}")
        print(f"  export CORNELWEIR_CONTROL={self.fleet.control_endpoints()}")
        print(f"  {programs}/cornelweirctl table")
        for target in self.fleet.targets:
            print(f"  curl -i http://{target.data}/{target.service}/1   # beside {target.name}")
        self.fleet.record_processes()
        print(f"stop them with:  scripts/demo --stop {self.folder}")


def main(arguments):
    if arguments[:1] == ["--stop"]:
        if len(arguments) != 2:
            print("usage: demo --stop FOLDER", file=sys.stderr)
            return 2
        print(f"stopped {fleets.stop_recorded(arguments[1])} processes")
        return 0
    keep = "--keep" in arguments
    names = [a for a in arguments if not a.startswith("--")] or ["all"]
    if names == ["all"]:
        names = list(fleets.DEPLOYMENTS)
    unknown = [n for n in names if n not in fleets.DEPLOYMENTS]
    if unknown:
        print(f"unknown deployment {unknown}; there are {list(fleets.DEPLOYMENTS)}", file=sys.stderr)
        return 2
    outcomes = [Demo(name).run(keep) for name in names]
    return 0 if all(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Benches over real processes on loopback. Prints one JSON object a line."""

import json
import os
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile
import threading
import time

import caller
import fleet as fleets

SEED = 20261204


def emit(bench, metric, value, unit, bound=None, holds=None, **more):
    line = {"bench": bench, "metric": metric, "value": round(value, 4), "unit": unit, "seed": SEED}
    if bound is not None:
        line["bound"] = bound
        line["holds"] = holds
    line.update(more)
    print(json.dumps(line), flush=True)


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def services(targets, count=4):
    """A chain of services, each calling the next, with the targets spread over them."""
    names = [f"service-{n}" for n in range(count)]
    return {
        name: {
            "targets": targets // count + (1 if n < targets % count else 0),
            "calls": [names[n + 1]] if n + 1 < count else [],
            "idempotent": n % 2 == 0,
        }
        for n, name in enumerate(names)
    }


class Running:
    """A started fleet with its first table, removed at the end."""

    def __init__(self, targets, upstreams=True, count=4, slots=20):
        self.folder = tempfile.mkdtemp(prefix="cornelweir-bench-")
        self.fleet = fleets.Fleet(self.folder, services(targets, count), slots, 100)
        self.upstreams = upstreams
        self.changes = 0

    def __enter__(self):
        self.fleet.start_controls()
        for target in self.fleet.targets:
            self.fleet.start_target(target, with_upstream=self.upstreams)
        self.fleet.set_table(self.fleet.table({"v1": 100, "v2": 100}), "first-edit")
        self.version = self.fleet.accept("first-accept")[1]["version"]
        late = self.fleet.wait_for_version(self.version, 60)
        if late:
            raise RuntimeError(f"{len(late)} daemons did not get ready")
        return self

    def __exit__(self, *ignored):
        self.fleet.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def change(self, weight):
        """Edits one cell and accepts. Returns (version, time just before the acceptance)."""
        self.changes += 1
        name = "service-0/v1"
        row = next(r for r in self.fleet.get("/v1/draft")["rows"] if r["key"]["name"] == name)
        self.fleet.post("/v1/edits", {
            "change_id": f"edit-{self.changes}", "author": "bench",
            "edits": [{"key": row["key"], "expected_row_version": row["row_version"],
                       "content": {"type": "split", "weight": weight}}]})
        before = time.time()
        answer = self.fleet.accept(f"accept-{self.changes}")[1]
        return answer["version"], before

    def statuses(self):
        return [s for s in map(self.fleet.proxy_status, self.fleet.targets) if s]


def processor_seconds(process):
    """Processor time of a process so far."""
    fields = pathlib.Path(f"/proc/{process.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(process):
    fields = pathlib.Path(f"/proc/{process.child.pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def peak_bytes(process):
    for line in pathlib.Path(f"/proc/{process.child.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) * 1024
    return 0


def bench_convergence(sizes=(10, 50, 200), samples=20):
    for targets in sizes:
        with Running(targets, upstreams=False) as run:
            for label, interval in (("idle", 0.5), ("5_changes_a_second", 0.2)):
                started = {}
                for number in range(samples):
                    began = time.monotonic()
                    version, before = run.change(number % 100 + 1)
                    started[version] = before
                    time.sleep(max(0.0, interval - (time.monotonic() - began)))
                last = max(started)
                late = run.fleet.wait_for_version(last, 20)
                applied = {}
                for status in run.statuses():
                    for entry in status["applied"]:
                        applied.setdefault(entry["version"], []).append(entry["applied_at_us"] / 1e6)
                seconds = [max(applied[v]) - at for v, at in started.items() if v in applied]
                more = {"proxies": targets, "load": label, "samples": len(seconds)}
                emit("convergence", "median", statistics.median(seconds), "s", **more)
                emit("convergence", "p99", percentile(seconds, 0.99), "s", **more)
                emit("convergence", "max", max(seconds), "s", 4.0,
                     not late and max(seconds) <= 4.0, **more)


def bench_control_bytes():
    # The same number of daemons with few and with many services shows the slope.
    for targets, count in ((24, 2), (24, 6), (48, 6)):
        with Running(targets, upstreams=False, count=count) as run:
            time.sleep(2)
            before = {s["host"]: s["control_bytes_received"] for s in run.statuses()}
            began = time.monotonic()
            time.sleep(5)
            after = run.statuses()
            idle = [(s["control_bytes_received"] - before[s["host"]]) / (time.monotonic() - began)
                    for s in after]
            changes = 20
            start = {s["host"]: s["control_bytes_received"] for s in after}
            began = time.monotonic()
            for number in range(changes):
                version, _ = run.change(number + 1)
            run.fleet.wait_for_version(version)
            elapsed = time.monotonic() - began
            per_change = [
                (s["control_bytes_received"] - start[s["host"]]
                 - statistics.mean(idle) * elapsed) / changes
                for s in run.statuses()]
            more = {"proxies": targets, "services": count}
            emit("control_bytes", "idle_per_daemon", statistics.mean(idle), "B/s", 6000,
                 max(idle) <= 6000, **more)
            emit("control_bytes", "per_change_mean", statistics.mean(per_change), "B", **more)
            emit("control_bytes", "per_change_max", max(per_change), "B", **more)
            # 33,000 changes a day spread evenly, on top of heartbeats.
            rate = statistics.mean(idle) + max(per_change) * 33000 / 86400
            emit("control_bytes", "at_33000_changes_a_day", rate, "B/s", 6000, rate <= 6000, **more)


def bench_herd(targets=120):
    with Running(targets, upstreams=False) as run:
        herd = [t for t in run.fleet.targets if t.domain == "a"]
        peaks = [peak_bytes(c.process) for c in run.fleet.controls]
        sent = sum(s["control_bytes_received"] for s in run.statuses())
        for target in herd:
            target.daemon.kill()
        began = time.time()
        for target in herd:
            target.daemon.start()
        version, _ = run.change(77)
        rest = [t for t in run.fleet.targets if t.domain != "a"]
        run.fleet.wait_for_version(version, 30, targets=rest)
        steady = time.time() - began
        late = run.fleet.wait_for_version(version, 60)
        seconds = time.time() - began
        more = {"proxies": targets, "restarted": len(herd)}
        emit("herd", "all_ready", seconds, "s", late=len(late), **more)
        emit("herd", "others_converged", steady, "s", 4.0, steady <= 4.0, **more)
        emit("herd", "source_peak_memory_growth",
             max(peak_bytes(c.process) - p for c, p in zip(run.fleet.controls, peaks)), "B", **more)
        emit("herd", "bytes_per_restarted_daemon",
             (sum(s["control_bytes_received"] for s in run.statuses()) - sent) / len(herd), "B",
             **more)


def bench_store():
    with Running(3, upstreams=False, count=3) as run:
        done = [0] * 16
        stop = threading.Event()

        def work(worker):
            number = 0
            while not stop.is_set():
                number += 1
                body = {"change_id": f"w{worker}-{number}", "author": "bench", "edits": []}
                if run.fleet.post("/v1/edits", body)[0] == 200:
                    done[worker] += 1

        threads = [threading.Thread(target=work, args=(n,)) for n in range(len(done))]
        for thread in threads:
            thread.start()
        time.sleep(5)
        stop.set()
        for thread in threads:
            thread.join()
        emit("store", "durable_changes", sum(done) / 5, "1/s", writers=len(done))
        seconds = []
        for number in range(5):
            status = run.fleet.get("/v1/status")
            leader = next(c for c in run.fleet.controls if c.name == status["leader"])
            leader.process.kill()
            began = time.monotonic()
            run.fleet.accept(f"after-{number}")
            seconds.append(time.monotonic() - began)
            leader.process.start()
            time.sleep(1.5)
        emit("store", "acceptance_after_leader_death_median", statistics.median(seconds), "s")
        emit("store", "acceptance_after_leader_death_max", max(seconds), "s", 4.0,
             max(seconds) <= 4.0)
        control = run.fleet.controls[0]
        control.process.kill()
        began = time.monotonic()
        control.process.start()
        while True:
            try:
                if fleets.http("GET", control.admin, "/v1/table", timeout=1.0)[0] == 200:
                    break
            except (OSError, ValueError):
                pass
            time.sleep(0.005)
        entries = run.fleet.get("/v1/status")["applied_index"]
        emit("store", "restart_until_current", time.monotonic() - began, "s", log_entries=entries)


def bench_memory():
    for targets, count in ((8, 2), (32, 2), (32, 8)):
        with Running(targets, upstreams=True, count=count) as run:
            time.sleep(3)
            first = [processor_seconds(t.daemon) for t in run.fleet.targets]
            time.sleep(10)
            used = [processor_seconds(t.daemon) - f for t, f in zip(run.fleet.targets, first)]
            more = {"proxies": targets, "services": count}
            resident = statistics.mean(resident_bytes(t.daemon) for t in run.fleet.targets)
            emit("memory", "daemon_resident", resident, "B", 64e6, resident <= 64e6, **more)
            emit("memory", "control_resident",
                 max(resident_bytes(c.process) for c in run.fleet.controls), "B", **more)
            share = statistics.mean(used) / 10 * 100
            emit("processor", "daemon_idle", share, "% of a core", 1.1, share <= 1.1, **more)


def latencies(run, direct, seconds, threads=4):
    """Latencies in seconds of sequential requests on kept connections."""
    import http.client
    results = []
    lock = threading.Lock()
    stop = time.monotonic() + seconds

    def work(number):
        entries = [t for t in run.fleet.targets if t.service == "service-0"]
        target = entries[number % len(entries)]
        where = target.upstream_endpoint if direct else target.data
        host, port = where.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        own = []
        while time.monotonic() < stop:
            began = time.perf_counter()
            connection.request("GET", "/service-0/x", headers={"x-request-id": "1"})
            connection.getresponse().read()
            own.append(time.perf_counter() - began)
        with lock:
            results.extend(own)

    workers = [threading.Thread(target=work, args=(n,)) for n in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return results


def bench_data_path():
    with Running(4, upstreams=True, count=2) as run:
        time.sleep(7)
        medians, tails = [], []
        for _ in range(5):
            direct = latencies(run, True, 2)
            through = latencies(run, False, 2)
            medians.append(statistics.median(through) - statistics.median(direct))
            tails.append(percentile(through, 0.99) - percentile(direct, 0.99))
        emit("data_path", "added_median", statistics.median(medians) * 1000, "ms", pairs=5)
        emit("data_path", "added_p99", statistics.median(tails) * 1000, "ms", 1.5,
             statistics.median(tails) <= 0.0015, pairs=5)


def classify(calls, runs, idempotent):
    twice = sum(1 for c in calls if not idempotent[c.service] and runs.get(c.key, 0) > 1)
    false = sum(1 for c in calls if not idempotent[c.service] and c.state == "not-run"
                and runs.get(c.key, 0) > 0)
    lost = sum(1 for c in calls if c.state == "no-answer")
    return twice, false, lost


def bench_at_most_once(seconds=20):
    with Running(8, upstreams=True, count=2) as run:
        time.sleep(7)
        idempotent = {n: s["idempotent"] for n, s in run.fleet.services.items()}
        callers = caller.Callers(run.fleet, threads=12, pause=0.002, seed=SEED)
        callers.start()
        stop = time.monotonic() + seconds
        number = 0
        while time.monotonic() < stop:
            target = run.fleet.targets[number % len(run.fleet.targets)]
            victim = [target.daemon, target.upstream, run.fleet.controls[number % 3].process][number % 3]
            victim.kill()
            time.sleep(0.3)
            victim.start()
            time.sleep(1.2)
            number += 1
        callers.stop()
        time.sleep(0.5)
        runs = caller.runs_by_key(run.fleet)
        twice, false, lost = classify(callers.calls, runs, idempotent)
        keys = sum(1 for c in callers.calls if not idempotent[c.service])
        unknown = sum(1 for c in callers.calls if c.state == "unknown")
        more = {"keys": keys, "kills": number}
        emit("at_most_once", "run_twice", twice, "keys", 0, twice == 0, **more)
        emit("at_most_once", "refused_as_not_run_but_ran", false, "keys", 0, false == 0, **more)
        emit("at_most_once", "no_answer", lost, "requests", **more)
        emit("at_most_once", "unknown", unknown, "requests", **more)


def bench_poison(seconds=15):
    with Running(8, upstreams=True, count=2) as run:
        # The stub ends at once on a path that contains this text.
        for target in run.fleet.targets:
            target.upstream.kill()
            target.upstream.command += ["--crash-on", "crash"]
            target.upstream.start()
        time.sleep(8)
        callers = caller.Callers(run.fleet, threads=4, pause=0.005, seed=SEED)
        callers.start()
        crashes = refused = sent = 0
        stop = time.monotonic() + seconds
        while time.monotonic() < stop:
            entry = run.fleet.targets[sent % len(run.fleet.targets)]
            if entry.service != "service-0":
                sent += 1
                continue
            try:
                status, _ = fleets.http("GET", entry.data, "/service-0/crash-7", timeout=3)
                refused += status == 503
            except (OSError, ValueError):
                pass
            sent += 1
            for target in run.fleet.targets:
                if not target.upstream.alive():
                    crashes += 1
                    target.upstream.start()
            time.sleep(0.1)
        callers.stop()
        innocents = sum(1 for c in callers.calls if c.state != "ran")
        more = {"resends": sent}
        emit("poison", "upstreams_crashed", crashes, "processes", **more)
        emit("poison", "refused", refused, "resends", **more)
        emit("poison", "innocents_not_answered", innocents, "requests", of=len(callers.calls), **more)


def bench_drain(rounds=20):
    with Running(8, upstreams=True, count=2) as run:
        time.sleep(7)
        idempotent = {n: s["idempotent"] for n, s in run.fleet.services.items()}
        callers = caller.Callers(run.fleet, threads=8, pause=0.002, seed=SEED)
        callers.start()
        for number in range(rounds):
            target = run.fleet.targets[number % len(run.fleet.targets)]
            victim = target.upstream if number % 2 else target.daemon
            victim.terminate()
            victim.wait(30)
            victim.start()
            run.change(number % 50 + 1)
            time.sleep(0.5)
        callers.stop()
        runs = caller.runs_by_key(run.fleet)
        twice, false, lost = classify(callers.calls, runs, idempotent)
        cut = sum(c.cut for c in callers.calls)
        bad = [c for c in callers.calls if c.state != "ran"]
        more = {"drains": rounds, "requests": len(callers.calls)}
        emit("drain", "lost", lost, "requests", 0, lost == 0, **more)
        emit("drain", "cut", cut, "requests", 0, cut == 0, **more)
        emit("drain", "run_twice", twice, "requests", 0, twice == 0, **more)
        emit("drain", "not_answered_ran", len(bad), "requests", **more)


def bench_distribution():
    program = fleets.ROOT / os.environ.get("BUILD_DIR", "build") / "bench" / "cornelweir-bench-distribution"
    subprocess.run([program], check=True)


def policy_document(version, routes=20_000, workspaces=10_000, hosts=50):
    """A policy in the format of the command-line tool, with two keys for each workspace."""
    count = 470
    names = [f"service-{n}" for n in range(count)]
    per_host = routes // hosts
    return {
        "version": f"{version:08x}",
        "services": [{"name": n, "health_check": "/health", "max_connections": 100} for n in names],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout": "10s",
                   "idle_timeout": "60s"},
        "tenants": [{"name": f"workspace-{n}", "api_keys": [f"key-{n:036}-{k}" for k in range(2)],
                     "rate_per_s": 5 + n % 100, "burst": 10 + version, "priority": n % 4}
                    for n in range(workspaces)],
        "virtual_hosts": [{"host": f"host-{h}.example", "host_routes": [
            {"name": f"route-{h}-{n}", "path_prefix": f"/prefix-{n}/", "route_type": "safe",
             "timeout": "2s", "target_latency": "500ms", "priority": n % 4, "attempts": 1 + version,
             "traffic_split": [{"service": names[(h + n) % count], "weight": 90},
                               {"service": names[(h + n + 1) % count], "weight": 10}]}
            for n in range(per_host)]} for h in range(hosts)],
    }


def bench_policy_check(samples=5):
    tool = fleets.ROOT / os.environ.get("BUILD_DIR", "build") / "programs" / "cornelweirctl"
    with tempfile.TemporaryDirectory(prefix="cornelweir-bench-") as folder:
        paths = [pathlib.Path(folder) / f"policy-{version}.json" for version in (1, 2)]
        for version, path in enumerate(paths, 1):
            path.write_text(json.dumps(policy_document(version)))
        nested = pathlib.Path(folder) / "nested.json"
        nested.write_text("[" * (16 << 20))
        cases = {"file": [paths[1]], "against_file": [paths[1], "--against", paths[0]],
                 "nested": [nested]}
        for name, arguments in cases.items():
            seconds, processor, memory = [], [], []
            for _ in range(samples):
                began = time.monotonic()
                child = subprocess.Popen([tool, "check", *arguments], stdout=subprocess.DEVNULL)
                _, status, usage = os.wait4(child.pid, 0)
                seconds.append(time.monotonic() - began)
                processor.append(usage.ru_utime + usage.ru_stime)
                memory.append(usage.ru_maxrss * 1024)
                child.returncode = os.waitstatus_to_exitcode(status)
                if child.returncode != (2 if name == "nested" else 0):
                    raise RuntimeError(f"check {name} ended with {child.returncode}")
            emit("policy_check", f"{name}_time", statistics.median(seconds), "s", 1,
                 statistics.median(seconds) < 1, samples=samples)
            emit("policy_check", f"{name}_processor_time", statistics.median(processor), "s")
            emit("policy_check", f"{name}_peak_memory", max(memory), "bytes", 100e6,
                 max(memory) < 100e6)


BENCHES = {
    "distribution": bench_distribution,
    "policy_check": bench_policy_check,
    "convergence": bench_convergence,
    "control_bytes": bench_control_bytes,
    "herd": bench_herd,
    "store": bench_store,
    "memory": bench_memory,
    "data_path": bench_data_path,
    "at_most_once": bench_at_most_once,
    "poison": bench_poison,
    "drain": bench_drain,
}


def main(names):
    unknown = [n for n in names if n not in BENCHES]
    if unknown:
        print(f"unknown bench {unknown}; there are {sorted(BENCHES)}", file=sys.stderr)
        return 2
    for name in names or BENCHES:
        BENCHES[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Starts and stops the processes of a deployment on loopback, for the demo and the bench."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Services with their targets, the services that they call, slots, connections and whether their
# requests may be repeated. Sizes of the two reference deployments.
DEPLOYMENTS = {
    "usa-deschisa": {
        "slots": 20,
        "connections": 100,
        "services": {
            "forms": {"targets": 4, "calls": ["intake"], "idempotent": False},
            "intake": {"targets": 4, "calls": ["archive"], "idempotent": False},
            "archive": {"targets": 3, "calls": [], "idempotent": True},
            "insights": {"targets": 3, "calls": ["archive"], "idempotent": True},
        },
    },
    "baan-lift": {
        "slots": 6,
        "connections": 120,
        "services": {
            "history": {"targets": 4, "calls": ["docs"], "idempotent": True},
            "booking": {"targets": 5, "calls": ["schedule", "history"], "idempotent": False},
            "docs": {"targets": 3, "calls": [], "idempotent": True},
            "schedule": {"targets": 4, "calls": [], "idempotent": True},
        },
    },
}

DOMAINS = ["a", "b", "c"]


# Below the range from which the system takes ports of outgoing connections, so that a port that was
# found free is still free when its process starts.
FIRST_PORT, LAST_PORT = 12000, 32000
_next_port = FIRST_PORT + (os.getpid() * 137) % (LAST_PORT - FIRST_PORT)


def free_port():
    """A port that nothing listens on; each is given once by this process."""
    global _next_port
    while True:
        port = _next_port
        _next_port = FIRST_PORT + (port + 1 - FIRST_PORT) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def endpoint():
    return f"127.0.0.1:{free_port()}"


def http(method, where, path, body=None, timeout=3.0):
    """Sends one request and returns (status, decoded body)."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{where}{path}", data=data, method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, json.loads(answer.read() or b"null")
    except urllib.error.HTTPError as error:
        text = error.read()
        try:
            return error.code, json.loads(text)
        except ValueError:
            return error.code, None


def start_time(pid):
    """Start time of a process in clock ticks since boot, or None if there is none with this id."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    except FileNotFoundError:
        return None
    return int(fields[19])


class Process:
    """One process of the fleet, its command line and its log."""

    def __init__(self, name, command, log):
        self.name = name
        self.command = [str(part) for part in command]
        self.log = log
        self.child = None

    def start(self, extra=()):
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(
                self.command + list(extra), stdout=out, stderr=out, stdin=subprocess.DEVNULL
            )

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def kill(self):
        if self.alive():
            self.child.kill()
        if self.child is not None:
            self.child.wait()

    def terminate(self):
        if self.alive():
            self.child.send_signal(signal.SIGTERM)

    def wait(self, seconds):
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Control:
    """A control host."""

    def __init__(self, fleet, name):
        self.name = name
        self.mesh = endpoint()
        self.admin = endpoint()
        self.folder = fleet.folder / name
        self.process = None


class Target:
    """An upstream and the daemon beside it."""

    def __init__(self, name, service, subset, domain):
        self.name = name
        self.service = service
        self.subset = subset
        self.domain = domain
        self.data = endpoint()
        self.mesh = endpoint()
        self.admin = endpoint()
        self.upstream_endpoint = endpoint()
        self.daemon = None
        self.upstream = None
        self.record = None


PROCESSES_FILE = "processes"


def stop_recorded(folder):
    """Stops the processes that record_processes() wrote to the folder. An id that another process
    has now, which has another start time, is left alone. Returns how many were stopped."""
    stopped = 0
    for line in (pathlib.Path(folder) / PROCESSES_FILE).read_text().splitlines():
        pid, started, _ = line.split(maxsplit=2)
        if start_time(pid) == int(started):
            os.kill(int(pid), signal.SIGTERM)
            stopped += 1
    return stopped


class Fleet:
    """Control hosts, daemons and upstreams of one deployment."""

    def __init__(self, folder, services, slots, connections, control_hosts=3, build=None):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.programs = pathlib.Path(build or os.environ.get("BUILD_DIR", ROOT / "build")) / "programs"
        self.services = services
        self.slots = slots
        self.connections = connections
        self.controls = [Control(self, f"control-{n}") for n in range(control_hosts)]
        self.targets = []
        for service, shape in services.items():
            for number in range(shape["targets"]):
                subset = "v2" if number % 2 else "v1"
                self.targets.append(
                    Target(f"{service}-{number}", service, subset, DOMAINS[number % len(DOMAINS)])
                )

    def _settings(self, name, content):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content, indent=1))
        return path

    def start_controls(self):
        peers = [
            {"host": c.name, "mesh": c.mesh, "admin": c.admin} for c in self.controls
        ]
        for number, control in enumerate(self.controls):
            settings = self._settings(
                control.name,
                {
                    "host": control.name,
                    "failure_domain": DOMAINS[number % len(DOMAINS)],
                    "region": "local",
                    "admin_listen": control.admin,
                    "plugins": ["control", "metrics"],
                    "control": {
                        "data_folder": str(control.folder),
                        "mesh_listen": control.mesh,
                        "peers": peers,
                    },
                    "tls": {"enabled": False},
                },
            )
            control.process = Process(
                control.name,
                [self.programs / "cornelweird", "--settings", settings],
                self.folder / f"{control.name}.log",
            )
            control.process.start(["--set", "control.bootstrap=true"])

    def start_target(self, target, upstream_options=(), with_upstream=True):
        settings = self._settings(
            target.name,
            {
                "host": f"host-{target.name}",
                "failure_domain": target.domain,
                "region": "local",
                "admin_listen": target.admin,
                "plugins": ["proxy", "metrics"],
                "proxy": {
                    "service": target.service,
                    "data_listen": target.data,
                    "mesh_listen": target.mesh,
                    "control_hosts": [c.mesh for c in self.controls],
                },
                "tls": {"enabled": False},
            },
        )
        target.daemon = Process(
            target.name,
            [self.programs / "cornelweird", "--settings", settings],
            self.folder / f"{target.name}.log",
        )
        target.daemon.start()
        if not with_upstream:
            return
        target.record = self.folder / f"{target.name}.record"
        target.upstream = Process(
            f"upstream-{target.name}",
            [
                self.programs / "cornelweir-upstream",
                "--listen", target.upstream_endpoint,
                "--daemon", target.admin,
                "--service", target.service,
                "--subset", target.subset,
                "--id", target.name,
                "--slots", self.slots,
                "--connections", self.connections,
                "--latency-ms", 5,
                "--record", target.record,
                *upstream_options,
            ],
            self.folder / f"upstream-{target.name}.log",
        )
        target.upstream.start()

    def start(self):
        self.start_controls()
        for target in self.targets:
            self.start_target(target)

    def stop(self):
        for process in self.processes():
            process.kill()

    def processes(self):
        """The processes in the order in which they stop."""
        started = [t.upstream for t in self.targets] + [t.daemon for t in self.targets]
        started += [c.process for c in self.controls]
        return [process for process in started if process is not None]

    def record_processes(self):
        """Writes the ids of the running processes to a file, for stop_recorded()."""
        lines = [
            f"{p.child.pid} {start_time(p.child.pid)} {p.name}\n"
            for p in self.processes()
            if p.alive()
        ]
        (self.folder / PROCESSES_FILE).write_text("".join(lines))

    def control_endpoints(self):
        return ",".join(c.admin for c in self.controls)

    def table(self, weights):
        """The rows of the first table: (key, content) with the given weights of the subsets."""
        rows = [
            ({"kind": "limit", "name": "standard"},
             {"type": "limit", "upstream_in_flight": self.slots,
              "service_in_flight": self.slots * 5, "tenant_in_flight": self.slots,
              "queue_length": self.slots}),
            ({"kind": "wait", "name": "short"},
             {"type": "wait", "request_ms": 3000, "queue_ms": 500}),
        ]
        for service, shape in self.services.items():
            rows.append(({"kind": "service", "name": service},
                         {"type": "service", "limit": "standard", "wait": "short",
                          "calls": shape["calls"]}))
            rows.append(({"kind": "route", "name": service},
                         {"type": "route", "path_prefix": f"/{service}", "service": service,
                          "idempotent": shape["idempotent"]}))
            for subset, weight in weights.items():
                rows.append(({"kind": "split", "name": f"{service}/{subset}"},
                             {"type": "split", "weight": weight}))
        return rows

    def post(self, path, body, seconds=10.0):
        """Posts to any control host until one answers; the change id makes that safe."""
        deadline = time.monotonic() + seconds
        while True:
            for control in self.controls:
                try:
                    status, answer = http("POST", control.admin, path, body)
                except (OSError, ValueError):
                    continue
                if status != 503:
                    return status, answer
            if time.monotonic() > deadline:
                raise RuntimeError(f"no control host accepted {path}")
            time.sleep(0.05)

    def get(self, path, seconds=10.0):
        deadline = time.monotonic() + seconds
        while True:
            for control in self.controls:
                try:
                    status, answer = http("GET", control.admin, path)
                except (OSError, ValueError):
                    continue
                if status == 200:
                    return answer
            if time.monotonic() > deadline:
                raise RuntimeError(f"no control host answered {path}")
            time.sleep(0.05)

    def set_table(self, rows, change_id):
        edits = [
            {"key": key, "expected_row_version": 0, "content": content} for key, content in rows
        ]
        return self.post("/v1/edits", {"change_id": change_id, "author": "fleet", "edits": edits})

    def accept(self, change_id, note=""):
        return self.post("/v1/accept", {"change_id": change_id, "author": "fleet", "note": note})

    def proxy_status(self, target):
        try:
            return http("GET", target.admin, "/v1/proxy", timeout=1.0)[1]
        except (OSError, ValueError):
            return None

    def wait_for_version(self, version, seconds=15.0, need_ready=True, targets=None):
        """Waits until all daemons enforce a version. Returns those that don't in time."""
        waiting = list(targets or self.targets)
        deadline = time.monotonic() + seconds
        while waiting and time.monotonic() < deadline:
            still = []
            for target in waiting:
                status = self.proxy_status(target)
                held = status and status["version"] >= version and (status["ready"] or not need_ready)
                if not held:
                    still.append(target)
            waiting = still
            if waiting:
                time.sleep(0.02)
        return waiting

"""A small deployment on loopback: the platform's part for the project's own programs."""

import json
import os
import pathlib
import random
import re
import resource
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

import http1
import template
from target import PROBE_PATH, Target

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Ports of a machine; each machine has an address of its own, so they are the same on all.
INBOUND, OUTBOUND, READINESS, CONTROL_PLANE, APPLICATION = 8300, 8304, 8302, 8306, 8301
INTERNAL_PORTS = [7620, 7635]
METRICS = 9464
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST = "caller.example"
# Memory of the machine of each process, as the platform states it.
MEMORY_MB = 260


def free_network():
    """The first three numbers of loopback addresses whose ports nothing uses."""
    while True:
        network = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (INBOUND, APPLICATION, READINESS, OUTBOUND, CONTROL_PLANE, METRICS,
                         INTERNAL_PORTS[0]):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
            return network
        except OSError:
            continue


class Record:
    """The record of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.entries = []
        self.out = open(path, "w", encoding="utf-8")

    def __call__(self, what, **fields):
        with self.lock:
            at = time.monotonic() - self.started
            self.entries.append((at, what, fields))
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self.out.write(f"{at:9.3f} {what} {text}\n")
            self.out.flush()

    def of(self, what, **wanted):
        with self.lock:
            return [(at, fields) for at, kind, fields in self.entries
                    if kind == what and all(fields.get(n) == v for n, v in wanted.items())]


class Machine:
    """One machine: its address, the settings and the process of the system on it."""

    def __init__(self, fleet, role, number, service=None):
        self.fleet = fleet
        self.role = role
        self.name = f"{role}-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.service = service
        self.ip = fleet.next_ip()
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.process = None
        # Variables of the process beside those that each process gets.
        self.environment = {}
        self.bootstrap = True
        self.data = self.folder / "data"
        self.inbound = f"{self.ip}:{INBOUND}"
        self.outbound = f"{self.ip}:{OUTBOUND}"
        self.readiness = f"{self.ip}:{READINESS}"
        self.control_plane = f"{self.ip}:{CONTROL_PLANE}"
        self.app_address = f"{self.ip}:{APPLICATION}"

    def fields(self):
        own = {
            "node_name": self.name, "role": self.role, "ip": self.ip, "zone": self.zone,
            "region": "region", "in_tolerance": self.role == "control",
            "bootstrap": self.bootstrap,
            "listen_addresses": {"control_plane": self.control_plane},
            "internal_port_range": INTERNAL_PORTS,
            "seed_nodes": [m.control_plane for m in self.fleet.controls[:3]],
            "zones": {zone: "region" for zone in ZONES},
            "heartbeat": self.fleet.heartbeat_text,
            "fault_tolerance": {"nodes": (len(self.fleet.controls) - 1) // 2, "zones": 0,
                                "regions": 0},
            "limits": {"memory_mb": self.fleet.memory_mb},
            "bounds": self.fleet.bounds,
        }
        if self.role == "control":
            own["machine_class"] = "core"
            own["data_dir"] = str(self.data)
        else:
            own["machine_class"] = "sidecar"
            own["service"] = self.service
            own["app_address"] = self.app_address
            own["listen_addresses"].update(
                inbound=self.inbound, outbound=self.outbound, readiness=self.readiness)
        return own

    def start(self):
        role = self.fleet.deploy["roles"][self.role]
        text = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings = self.folder / "settings.json"
        settings.write_text(template.render(text, [self.fields()]), encoding="utf-8")
        self.data.mkdir(exist_ok=True)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CORNELWEIR_SETTINGS"] = str(settings)
        environment.update(self.environment)
        command = shlex.split(role["run"])
        command[0] = str(ROOT / command[0])
        with open(self.folder / "log", "ab") as out:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=out,
                stderr=subprocess.STDOUT)
        self.fleet.record("start", machine=self.name, pid=self.process.pid)

    def send_signal(self, number):
        self.fleet.record("signal", machine=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def set_full(self, is_full):
        """The limit on the size of files stands in for a full disk: each write fails."""
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        limit = 0 if is_full else hard
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, hard))
        self.fleet.record("full" if is_full else "room", machine=self.name)

    def lose_disk(self):
        """The next start finds an empty disk. Requires that the process has ended."""
        self.data = self.folder / f"data-{time.monotonic_ns()}"
        self.bootstrap = False

    def is_ready(self):
        status, _, _ = http1.exchange(self.readiness, "GET", "/ready", {"Host": self.readiness},
                                      timeout=1.0)
        return status == 200

    def request(self, method, path="/config", headers=None, body=b"", timeout=2.0):
        """A request of the operator to a control host."""
        host = self.control_plane
        return http1.exchange(host, method, path, {"Host": host, **(headers or {})}, body,
                              timeout=timeout)

    def metric(self, name):
        """The value of a metric without labels, or None."""
        status, _, body = http1.exchange(f"{self.ip}:{METRICS}", "GET", "/metrics",
                                         {"Host": self.ip}, timeout=1.0)
        found = re.search(rf"^{name}(?:\{{\}})? (\S+)", body.decode("utf-8", "replace"), re.M)
        return float(found.group(1)) if status == 200 and found else None

    def log(self):
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")


class Fleet:
    """Control hosts, sidecars and targets. services: name -> number of targets."""

    def __init__(self, record, services, controls=3, bounds=None, heartbeat_s=1.0, slots=18,
                 work=lambda request: {}, memory_mb=MEMORY_MB):
        self.record = record
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
        self.bounds = {"drain": "2000ms", "grace": "6s", "convergence": "2000ms",
                       "retry_budget_ratio": 0.2, "retry_window": "10s", "budget_slack": 58,
                       **(bounds or {})}
        self.memory_mb = memory_mb
        self.heartbeat_s = heartbeat_s
        self.heartbeat_text = f"{int(heartbeat_s * 1000)}ms"
        self.network = free_network()
        self.last_ip = 0
        self.controls = []
        for number in range(controls):
            self.controls.append(Machine(self, "control", number))
        self.sidecars = []
        self.targets = {}
        for service, count in services.items():
            for _ in range(count):
                machine = Machine(self, "sidecar", len(self.sidecars), service)
                self.sidecars.append(machine)
                self.targets[machine.name] = Target(
                    f"i-{machine.name}", service, machine.zone, machine.app_address, slots, record,
                    work)
        self.services = list(services)
        self.version = 0

    def next_ip(self):
        self.last_ip += 1
        return f"{self.network}.{self.last_ip}"

    def start(self):
        for machine in self.controls + self.sidecars:
            machine.start()
        for machine in self.sidecars:
            self.targets[machine.name].check_in_regularly(machine.control_plane, self.heartbeat_s)

    def route(self, name, service, route_type="safe", timeout="2500ms", latency="1000ms"):
        return {"name": name, "path_prefix": f"/{name}/", "route_type": route_type,
                "timeout": timeout, "target_latency": latency, "priority": 1, "service": service,
                "attempts": 2}

    def config(self, version, routes):
        return {
            "version": f"{version:08x}",
            "services": [{"name": name, "health_check": PROBE_PATH, "max_connections": 110,
                          "protocol": "h1", "tls": False} for name in self.services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout": "3000ms", "idle_timeout": "15000ms"},
            "virtual_hosts": [{"host": HOST, "host_routes": routes}],
        }

    def put_config(self, routes, seconds=15.0):
        """Sends the next configuration to one control host after the other until it is accepted.
        Returns whether it was."""
        base, self.version = self.version, self.version + 1
        body = json.dumps(self.config(self.version, routes)).encode()

        def attempt():
            for machine in self.controls:
                status, _, _ = http1.exchange(
                    machine.control_plane, "PUT", "/config",
                    {"Host": machine.control_plane, "If-Match": f"{base:08x}",
                     "Content-Type": "application/json"}, body, timeout=1.0)
                self.record("config", at=machine.name, version=self.version, status=status)
                if status == 200:
                    return True
            return False

        return http1.wait_for(attempt, seconds, 0.2)

    def wait_ready(self, seconds=20.0):
        """Waits until all sidecars are ready and each service answers at each of them."""
        return http1.wait_for(lambda: all(m.is_ready() for m in self.sidecars), seconds)

    def stop(self):
        for machine in self.sidecars + self.controls:
            machine.kill()
        for target in self.targets.values():
            target.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


_next_id = random.getrandbits(48)
_id_lock = threading.Lock()


def new_attempt_id():
    global _next_id
    with _id_lock:
        _next_id += 1
        return f"{_next_id:016x}"


def call(record, machine, path, method="GET", deadline_ms=2500, body=b"", timeout=None):
    """One requester attempt at a machine, on a connection of its own. Returns (id, status,
    headers, body); the status is None if the connection ended without an answer."""
    ident = new_attempt_id()
    record("sent", id=ident, at=machine.name, method=method, path=path, deadline_ms=deadline_ms)
    status, headers, answer = http1.exchange(
        machine.outbound, method, path,
        {"Host": HOST, "Attempt-Id": ident, "Deadline-Ms": deadline_ms}, body,
        timeout=timeout or deadline_ms / 1000 + 1)
    record("answered", id=ident, status=status, by_target="server-seal" in headers,
           text=None if status == 200 else answer.decode("utf-8", "replace").strip())
    return ident, status, headers, answer


def read_all(fleet):
    """What each control host answers to a read: the version, or the status."""
    answers = {}
    for machine in fleet.controls:
        status, _, body = http1.exchange(
            machine.control_plane, "GET", "/config", {"Host": machine.control_plane}, timeout=1.0)
        answers[machine.name] = json.loads(body)["version"] if status == 200 else status
    fleet.record("read", **answers)
    return answers

"""Callers that send requests to daemons and check every answer, for the demo and the bench."""

import http.client
import itertools
import json
import random
import threading
import time


class Call:
    """One request and what its caller knows of it after all resends."""

    __slots__ = ("key", "service", "state", "sends", "cut", "mixed")

    def __init__(self, key, service):
        self.key = key
        self.service = service
        self.state = "no-answer"
        self.sends = 0
        self.cut = False
        self.mixed = False


class Callers:
    """Threads that send requests until they are stopped."""

    # A request without a certain answer is sent again, with its key, to another daemon.
    MAX_SENDS = 6

    def __init__(self, fleet, threads=6, pause=0.01, seed=1):
        self.fleet = fleet
        self.pause = pause
        self.stop_event = threading.Event()
        self.calls = []
        self.lock = threading.Lock()
        self.numbers = itertools.count()
        self.threads = [
            threading.Thread(target=self._run, args=(seed * 1000 + n,), daemon=True)
            for n in range(threads)
        ]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stop_event.set()
        for thread in self.threads:
            thread.join()

    def _run(self, seed):
        choose = random.Random(seed)
        connections = {}
        while not self.stop_event.is_set():
            service = choose.choice(list(self.fleet.services))
            call = Call(f"{seed}-{next(self.numbers)}", service)
            self._send(call, choose, connections)
            with self.lock:
                self.calls.append(call)
            time.sleep(self.pause)

    def _send(self, call, choose, connections):
        idempotent = self.fleet.services[call.service]["idempotent"]
        entries = [t for t in self.fleet.targets if t.service == call.service]
        for attempt in range(self.MAX_SENDS):
            target = choose.choice(entries)
            call.sends += 1
            outcome = self._send_once(call, target, idempotent, connections)
            if outcome in ("ran", "not-run", "unknown"):
                call.state = outcome
            if outcome == "ran":
                return
            if call.state == "unknown" and not idempotent and attempt >= 2:
                return
            time.sleep(0.05 * (attempt + 1))

    def _send_once(self, call, target, idempotent, connections):
        connection = connections.pop(target.data, None)
        if connection is None:
            host, port = target.data.rsplit(":", 1)
            connection = http.client.HTTPConnection(host, int(port), timeout=5)
        headers = {"x-request-id": call.key, "x-tenant": f"tenant-{hash(call.key) % 3}"}
        body = None
        if not idempotent:
            headers["idempotency-key"] = call.key
            body = json.dumps({"key": call.key})
        method = "GET" if idempotent else "POST"
        try:
            connection.request(method, f"/{call.service}/{call.key}", body, headers)
            answer = connection.getresponse()
            text = answer.read()
        except http.client.IncompleteRead:
            call.cut = True
            connection.close()
            return "none"
        except (OSError, http.client.HTTPException):
            connection.close()
            return "none"
        if answer.getheader("Connection", "").lower() != "close":
            connections[target.data] = connection
        outcome = answer.getheader("x-cornelweir-outcome", "none")
        if outcome == "ran":
            try:
                echoed = json.loads(text).get("request_id")
            except ValueError:
                echoed = None
            if echoed != call.key:
                call.mixed = True
        return outcome


def runs_by_key(fleet):
    """How often each idempotency key was run, from the records of the upstreams."""
    counts = {}
    for target in fleet.targets:
        if target.record is None or not target.record.exists():
            continue
        for line in target.record.read_text(errors="replace").splitlines():
            key = line.split(" ", 1)[0]
            if key and key != "-":
                counts[key] = counts.get(key, 0) + 1
    return counts

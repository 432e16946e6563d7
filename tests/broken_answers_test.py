#!/usr/bin/env python3
"""Lets targets send broken answers, with real processes: three control hosts, four sidecars. Fails
if a caller gets one of them as an answer, if a request that must not be repeated runs twice or is
refused as not run although it ran, if a process ends, or if a valid answer does not arrive whole.

    tests/broken_answers_test.py --daemon build/programs/cornelweird [--seed N] [--logs FOLDER]
"""

import argparse
import collections
import dataclasses
import pathlib
import random
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402
import play as plays  # noqa: E402

SERVICE = "forms"
DEADLINE_MS = 5000
# More than the kernel buffers for a connection on loopback, and a body that fits into its buffers.
LARGE_UPLOAD = 12_000_000
SMALL_UPLOAD = 300_000
# Statuses that promise that a request has not run.
NOT_RUN = {408, 421, 429, 503}
OK = "HTTP/1.1 200 OK"
BODY = "the whole body"
LENGTH = f"Content-Length: {len(BODY)}"


@dataclasses.dataclass
class Case:
    """An answer: its lines before the body, its body, and how it is sent."""

    name: str
    lines: list
    body: str = BODY
    valid: bool = False
    reset: bool = False
    # Size of the request. Above 0, the answer is sent before the request is read.
    upload: int = 0
    read: int = 0
    delay: float = 0.0

    def plan(self, ident):
        """The final answer names its request and bears a signature, as that of a sound target
        does."""
        own = [f"Attempt-Id: {ident}", f"Server-Seal: seal.{ident}.{len(self.body)}"]
        final = max(i for i, line in enumerate(self.lines) if line.startswith("HTTP/")) + 1
        lines = self.lines[:final] + own + self.lines[final:]
        raw = "\r\n".join(lines) + "\r\n\r\n" + self.body
        return {"raw": raw.encode("latin-1"), "reset": self.reset, "read": self.read,
                "delay": self.delay}


def invalid_heads():
    for status in ("000", "001", "099", "600", "999"):
        yield Case(f"status {status}", [f"HTTP/1.1 {status} Answer", LENGTH])
    for what, name in {"blank": "Bad Name", "tab": "Bad\tName", "NUL": "Bad\0Name",
                       "control": "Bad\1Name", "DEL": "Bad\x7fName", "high byte": "Bad\xe9Name",
                       "blank before the colon": "Bad ", "nothing": ""}.items():
        yield Case(f"name with {what}, last", [OK, LENGTH, f"{name}: x"])
        yield Case(f"name with {what}, before the length", [OK, f"{name}: x", LENGTH])
    yield Case("no colon", [OK, LENGTH, "Bad"])
    yield Case("framing field with a blank", [OK, "Content Length: 4"])
    yield Case("framing field with a control byte", [OK, "Content-\1Length: 4"])
    for blank in (" ", "\t"):
        yield Case(f"folded value {blank!r}", [OK, "X: a", f"{blank}b", LENGTH])
        yield Case(f"folded length {blank!r}", [OK, "X: a", f"{blank}Content-Length: 4"])
        yield Case(f"folded behind the signature {blank!r}", [OK, f"{blank}X: a", LENGTH])
    for coding in ("gzip", "xchunked"):
        yield Case(f"coding {coding}", [OK, f"Transfer-Encoding: {coding}"])
    yield Case("coding gzip, chunked", [OK, "Transfer-Encoding: gzip, chunked"],
               body="4\r\nbody\r\n0\r\n\r\n")
    yield Case("trailer with a bad name", [OK, "Transfer-Encoding: chunked"],
               body="4\r\nbody\r\n0\r\nBad Name: x\r\n\r\n")


def parts_of_bodies():
    yield Case("part without a length, reset", [OK], reset=True)
    yield Case("part with a length, reset", [OK, "Content-Length: 99"], reset=True)
    for upload in (SMALL_UPLOAD, LARGE_UPLOAD):
        for read in (0, 65536):
            for delay in (0.0, 0.02, 0.4):
                name = f"upload of {upload}, {read} read, after {delay} s"
                yield Case(f"{name}, reset", [OK], reset=True, upload=upload, read=read,
                           delay=delay)
        yield Case(f"upload of {upload}, nothing of the body, reset", [OK], body="", reset=True,
                   upload=upload)
        yield Case(f"upload of {upload}, closed unread", [OK], upload=upload)
        yield Case(f"upload of {upload}, status 000", ["HTTP/1.1 000 Answer", LENGTH],
                   upload=upload)


def valid_answers():
    yield Case("with a length", [OK, LENGTH], valid=True)
    yield Case("without a length", [OK], valid=True)
    yield Case("largest status", ["HTTP/1.1 599 Answer", LENGTH], valid=True)
    yield Case("after an interim response",
               ["HTTP/1.1 103 Early Hints", "", OK, LENGTH], valid=True)


class Play:
    def __init__(self, record, seed):
        self.record = record
        self.seed = seed
        self.random = random.Random(seed)
        self.cases = [*invalid_heads(), *parts_of_bodies(), *valid_answers()]
        self.failures = []
        self.fleet = fleets.Fleet(record, {SERVICE: 4}, work=self.work)
        for target in self.fleet.targets.values():
            target.answer_early = self.answer_early

    def case(self, path):
        number = path.split("/")[2]
        return self.cases[int(number)] if number.isdigit() else None

    def work(self, request):
        case = self.case(request["path"])
        return case.plan(request["id"]) if case else {}

    def answer_early(self, method, path, headers):
        case = None if path.startswith("/health") else self.case(path)
        return case.plan(headers.get("attempt-id", "")) if case and case.upload else None

    def start(self):
        self.fleet.start()
        routes = [self.fleet.route("safe", SERVICE, "safe", f"{DEADLINE_MS}ms"),
                  self.fleet.route("unsafe", SERVICE, "unsafe", f"{DEADLINE_MS}ms")]
        return self.fleet.put_config(routes) and self.fleet.wait_ready() and http1.wait_for(
            lambda: all(self.call(m, "/safe/ordinary")[1] == 200 for m in self.fleet.sidecars), 20)

    def call(self, machine, path, method="GET", body=b""):
        return fleets.call(self.record, machine, path, method, DEADLINE_MS, body)

    def fail(self, case, method, text):
        self.failures.append(f"{case.name} ({method}): {text}")

    def ask(self, number, method):
        case = self.cases[number]
        machine = self.random.choice(self.fleet.sidecars)
        route = "safe" if method == "GET" else "unsafe"
        ident, status, headers, body = self.call(machine, f"/{route}/{number}", method,
                                                 b"x" * case.upload)
        runs = len(self.record.of("run", id=ident))
        if not case.valid and (status is not None and status < 500 or "server-seal" in headers):
            self.fail(case, method, f"the caller got status {status}, body {body[:40]!r}")
        if case.valid and (body.decode("latin-1") != BODY or "server-seal" not in headers):
            self.fail(case, method, f"the caller got status {status}, body {body[:40]!r}")
        if method != "GET" and runs > 1:
            self.fail(case, method, f"ran {runs} times")
        if method != "GET" and runs > 0 and status in NOT_RUN:
            self.fail(case, method, f"status {status} says that it did not run")

    def play(self):
        if not self.start():
            sys.exit("the fleet did not become ready")
        requests = [(number, method) for number, case in enumerate(self.cases)
                    for method in (("POST",) if case.upload else ("GET", "POST"))]
        self.random.shuffle(requests)
        ordinary = collections.Counter()
        for number, method in requests:
            self.ask(number, method)
            machine = self.random.choice(self.fleet.sidecars)
            ordinary[self.call(machine, "/safe/ordinary")[1]] += 1
        if set(ordinary) != {200}:
            self.failures.append(f"ordinary requests ended with {dict(ordinary)}")
        for machine in self.fleet.controls + self.fleet.sidecars:
            if not machine.is_running():
                self.failures.append(f"the process of {machine.name} has ended")
        return f"seed {self.seed}: {len(requests)} answers"


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seed", type=int, default=1)
    plays.main(parser, lambda record, arguments: Play(record, arguments.seed))


if __name__ == "__main__":
    main()

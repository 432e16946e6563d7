#!/usr/bin/env python3
"""Sends drawn configurations to three control hosts, with real processes. Fails if one that was
acknowledged is read back otherwise than it was sent: from any host, after all hosts were killed and
started again, or from a host with a new disk. Also fails if a valid one is refused, or an invalid
one acknowledged.

    tests/config_readback_test.py --daemon build/programs/cornelweird [--seed N] [--count N]
"""

import argparse
import json
import pathlib
import random
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402
import play as plays  # noqa: E402

# A daemon that was restarted may need some seconds until it can prove what is newest.
READ_SECONDS = 20.0
LARGE_ROUTES = 3000


def exactly(text):
    """The document with each number as it was written: 1 and 1.0 are different."""
    return json.loads(text, parse_int=lambda n: ("number", n), parse_float=lambda n: ("number", n))


class Drawer:
    """Draws configurations, each with some of the forms that a document may have."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)

    def draw(self, version):
        routes = [self.fleet.route("view", "forms"), self.fleet.route("submit", "intake", "unsafe")]
        config = self.fleet.config(version, routes)
        forms = [self.empty_host, self.repeated_host, self.unknown_members, self.fractions,
                 self.workspaces, self.left_out, self.public, self.numbers, self.large]
        for form in self.random.sample(forms, self.random.randint(1, 4)):
            form(config)
        return config

    def hosts(self, config):
        return config["virtual_hosts"]

    def routes(self, config):
        return [route for entry in self.hosts(config) for route in entry["host_routes"]]

    def empty_host(self, config):
        if self.random.random() < 0.2:
            self.hosts(config).clear()
        for number in range(self.random.randint(1, 3)):
            at = self.random.randint(0, len(self.hosts(config)))
            self.hosts(config).insert(
                at, {"host": f"empty-{number}.example", "host_routes": []})

    def repeated_host(self, config):
        entry = {"host": fleets.HOST, "host_routes": [self.fleet.route("again", "forms")]}
        self.hosts(config).insert(self.random.randint(0, len(self.hosts(config))), entry)

    def unknown_members(self, config):
        places = [config, config["limits"], *config["services"], *self.hosts(config),
                  *self.routes(config)]
        value = self.random.choice(["team-a", 7, 1.50, None, [], {"a": [1, {"b": "\u00e9"}]}])
        self.random.choice(places)["owner"] = value

    def fractions(self, config):
        for route in self.routes(config):
            route["timeout"] = self.random.choice(["1500.5ms", "2.5005s", "1500.0ms"])
            route["target_latency"] = self.random.choice(["0.5ms", "999.9ms", "1s"])
        config["limits"]["idle_timeout"] = "15000.5ms"

    def workspaces(self, config):
        config["tenants"] = self.random.choice([[], [
            {"name": "w1", "api_keys": ["k1", "k2"], "rate_per_s": 57.6, "burst": 60.0005},
            {"name": "w2", "api_keys": [], "priority": 0, "rate_per_s": 0.0004},
            {"name": "w3", "api_keys": ["k3"], "rate_per_s": None}]])

    def left_out(self, config):
        for service in config["services"]:
            service.pop(self.random.choice(["protocol", "tls"]), None)

    def public(self, config):
        for route in self.routes(config):
            route["public"] = self.random.random() < 0.5

    def numbers(self, config):
        config["note"] = [10**30, 1e300, -0.0, 2**63, 0.1]

    def large(self, config):
        self.hosts(config).append({"host": "large.example", "host_routes": [
            self.fleet.route(f"r{n}", "forms") for n in range(LARGE_ROUTES)]})


def with_long_timeout(config):
    config["virtual_hosts"][0]["host_routes"][0]["timeout"] = "600000.4ms"
    return json.dumps(config)


def with_long_objective(config):
    config["virtual_hosts"][0]["host_routes"][0].update(timeout="1000.4ms",
                                                        target_latency="61000.4ms")
    return json.dumps(config)


def with_repeated_member(config):
    return '{"limits": {}, ' + json.dumps(config)[1:]


class Play:
    def __init__(self, record, seed, count):
        self.record = record
        self.seed = seed
        self.count = count
        self.fleet = fleets.Fleet(record, {"forms": 1, "intake": 1})
        self.drawer = Drawer(self.fleet, seed)
        self.version = 0
        self.failures = []

    def fail(self, text):
        self.failures.append(f"version {self.version}: {text}")

    def put(self, base, body):
        """The first clear answer of a control host: a status below 500."""
        answer = {}

        def attempt():
            for machine in self.fleet.controls:
                status, _, _ = machine.request(
                    "PUT", headers={"If-Match": f"{base:08x}", "Content-Type": "application/json"},
                    body=body.encode(), timeout=5.0)
                if status is not None and status < 500:
                    answer["status"] = status
                    return True
            return False

        http1.wait_for(attempt, READ_SECONDS, 0.2)
        self.record("put", base=base, status=answer.get("status"), bytes=len(body))
        return answer.get("status")

    def check_read(self, machine, sent, when):
        answer = {}

        def attempt():
            status, _, body = machine.request("GET", timeout=5.0)
            answer["body"] = body
            return status == 200

        if not http1.wait_for(attempt, READ_SECONDS, 0.2):
            self.fail(f"{machine.name} did not answer a read {when}")
        elif exactly(answer["body"]) != exactly(sent):
            self.fail(f"{machine.name} reads back another document {when}: {sent!r:.200}")

    def check_invalid(self):
        """Documents whose times are out of range by a fraction, or that can't be read in full."""
        for make_invalid in (with_long_timeout, with_long_objective, with_repeated_member):
            config = self.fleet.config(self.version + 1, [self.fleet.route("view", "forms")])
            status = self.put(self.version, make_invalid(config))
            if status is None or not 400 <= status < 500:
                self.fail(f"an invalid document got status {status}: {make_invalid.__name__}")
            if status == 200:
                self.version += 1

    def change(self):
        base, self.version = self.version, self.version + self.drawer.random.randint(1, 9)
        config = self.drawer.draw(self.version)
        sent = json.dumps(config, indent=self.drawer.random.choice([None, 1]), ensure_ascii=False)
        if self.put(base, sent) != 200:
            self.fail(f"a valid document is not acknowledged: {sent!r:.200}")
            self.version = base
            return None
        for machine in self.fleet.controls:
            self.check_read(machine, sent, "after the acknowledgement")
        if self.put(base, sent) != 200:
            self.fail("a resend is not acknowledged")
        if self.put(base, json.dumps({**config, "other": 1})) != 412:
            self.fail("another document with the same version is not refused")
        return sent

    def restart(self, sent):
        for machine in self.fleet.controls:
            machine.kill()
        for machine in self.fleet.controls:
            machine.start()
        for machine in self.fleet.controls:
            self.check_read(machine, sent, "after a kill of all hosts")

    def replace_disk(self, sent):
        machine = self.drawer.random.choice(self.fleet.controls)
        machine.kill()
        machine.lose_disk()
        machine.start()
        self.check_read(machine, sent, "with a new disk")

    def play(self):
        for machine in self.fleet.controls:
            machine.start()
        first = json.dumps(self.fleet.config(1, [self.fleet.route("view", "forms")]))
        self.version = 1
        if self.put(0, first) != 200:
            sys.exit("the first configuration is not acknowledged")
        self.check_invalid()
        sent = first
        for number in range(self.count):
            sent = self.change() or sent
            if number % 10 == 9:
                self.restart(sent)
        self.restart(sent)
        self.replace_disk(sent)
        return f"seed {self.seed}: {self.count} changes"


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=20)
    plays.main(parser, lambda record, arguments: Play(record, arguments.seed, arguments.count))


if __name__ == "__main__":
    main()

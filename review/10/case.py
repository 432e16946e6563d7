#!/usr/bin/env python3
"""A version removes the last route of a host and keeps the host. Fails if a control host reads back
an acknowledged version whose hosts or routes are not those that were sent.

TROUBLE=0 does the same, but the version removes the host as well."""

import json
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "tests" / "stand_ins"))

import fleet as fleets  # noqa: E402
import http1  # noqa: E402

# BROKEN is no status that Python itself exits with; run.sh turns it into 1.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 3
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTNERS = "partners.example"
CONTACT_WINDOW_S = 3.0


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = fleets.Fleet(record, {"forms": 1, "intake": 1})

    def config(self, version, partner_routes):
        """The routes of callers, and a second host with these routes; None leaves it out."""
        fleet = self.fleet
        config = fleet.config(version, [fleet.route("view", "forms"),
                                        fleet.route("submit", "intake", "unsafe")])
        if partner_routes is not None:
            config["virtual_hosts"].append({"host": PARTNERS, "host_routes": partner_routes})
        return config

    def put(self, base, config):
        """Sends the configuration until a control host acknowledges it."""

        def attempt():
            for machine in self.fleet.controls:
                status, _, _ = machine.request(
                    "PUT", headers={"If-Match": f"{base:08x}", "Content-Type": "application/json"},
                    body=json.dumps(config).encode(), timeout=1.0)
                self.record("config", at=machine.name, version=config["version"], status=status)
                if status == 200:
                    return True
            return False

        return http1.wait_for(attempt, 15.0, 0.2)

    def run(self):
        self.fleet.start()
        summary = self.fleet.route("summary", "forms")
        sent = self.config(2, [] if TROUBLE else None)
        if not (self.put(0, self.config(1, [summary])) and self.put(1, sent)):
            return COULD_NOT_RUN
        time.sleep(CONTACT_WINDOW_S)
        self.record("sent", version=sent["version"], hosts=hosts_of(sent))
        different = []
        for machine in self.fleet.controls:
            status, _, body = machine.request("GET")
            if status != 200:
                return COULD_NOT_RUN
            read = json.loads(body)
            self.record("read", at=machine.name, version=read["version"], hosts=hosts_of(read))
            if read["version"] != sent["version"] or hosts_of(read) != hosts_of(sent):
                different.append(machine.name)
        self.record("judged", different=",".join(different) or "none")
        return BROKEN if different else HELD


def hosts_of(config):
    return {entry["host"]: [route["name"] for route in entry["host_routes"]]
            for entry in config["virtual_hosts"]}


def main():
    case = Case(fleets.Record(HERE / "record.txt"))
    try:
        code = case.run()
    except Exception as error:  # The case could not run to its end.
        case.record("error", error=repr(error))
        code = COULD_NOT_RUN
    finally:
        case.fleet.stop()
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code])
    sys.exit(code)


if __name__ == "__main__":
    main()

"""A sidecar is stopped with SIGTERM under a grace of 10 s while it serves requests of up to 5 s."""

import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins"))

import fleet as fleets  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds and the time limit of the sheet of the large installation.
BOUNDS = {"drain": "2500ms", "grace": "10s", "convergence": "2500ms", "budget_slack": 430}
GRACE_S = 10.0
TIME_LIMIT_MS = 5000
WORK_S = 4.5
# After the signal. Requesters get no new work after two misses of /ready, one second apart.
SENT_AFTER_S = [0.4, 0.7, 1.0, 1.3]


def work(request):
    return {"seconds": WORK_S if request["path"].endswith("/long") else 0.02}


def main():
    record = fleets.Record(HERE / "record.txt")
    record("case", trouble=TROUBLE)
    fleet = fleets.Fleet(record, {"intake": 3}, bounds=BOUNDS, work=work)
    try:
        fleet.start()
        routes = [fleet.route("submit", "intake", "unsafe", timeout="5000ms", latency="2000ms")]
        if not fleet.put_config(routes) or not fleet.wait_ready():
            return 2
        machine = fleet.sidecars[0]
        for _ in range(6):
            for each in fleet.sidecars:
                if fleets.call(record, each, "/submit/short", "POST")[1] != 200:
                    record("warm-up request failed")
        time.sleep(1.0)
        stopped_at = time.monotonic()
        if TROUBLE:
            machine.send_signal(signal.SIGTERM)
        threads, answers = [], []

        def attempt():
            sent = time.monotonic()
            ident, status, headers, body = fleets.call(
                record, machine, "/submit/long", "POST", TIME_LIMIT_MS, b"interview")
            answers.append((ident, status, "server-seal" in headers, time.monotonic() - sent))

        for delay in SENT_AFTER_S:
            time.sleep(max(0.0, stopped_at + delay - time.monotonic()))
            threads.append(threading.Thread(target=attempt))
            threads[-1].start()
        if TROUBLE:
            try:
                machine.process.wait(GRACE_S - (time.monotonic() - stopped_at))
                record("ended", machine=machine.name,
                       after_s=round(time.monotonic() - stopped_at, 2))
            except subprocess.TimeoutExpired:
                machine.send_signal(signal.SIGKILL)
        for thread in threads:
            thread.join()
        time.sleep(WORK_S)
        broken = 0
        for ident, status, by_target, took in answers:
            runs = record.of("run", id=ident)
            whole = status == 200 and by_target
            in_time = took * 1000 < TIME_LIMIT_MS
            # The rule excuses a target that is still at work in the last sixth of the grace.
            ends = [at for at, _ in record.of("done", id=ident)]
            excused = any(at + record.started > stopped_at + GRACE_S * 5 / 6 for at in ends)
            cut = bool(runs) and not whole and in_time and not excused
            broken += cut
            record("judged", id=ident, ran=len(runs), status=status, took_s=round(took, 2), cut=cut)
        record("result", cut=broken, of=len(answers))
        if not any(record.of("run", id=a[0]) for a in answers):
            return 2
        return 1 if broken else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    fleets.run_case(main)

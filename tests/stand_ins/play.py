"""The command line of a test that plays with a fleet of real processes."""

import pathlib
import shutil
import sys
import tempfile

import fleet as fleets


def main(parser, make_play):
    """Runs play.play() of make_play(record, arguments), which returns a summary and adds to
    play.failures. Exits with 1 if there are failures."""
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--logs", type=pathlib.Path, help="keeps the record and the logs there")
    arguments = parser.parse_args()
    folder = arguments.logs or pathlib.Path(tempfile.mkdtemp(prefix="play-"))
    folder.mkdir(parents=True, exist_ok=True)
    play = make_play(fleets.Record(folder / "record.txt"), arguments)
    for role in play.fleet.deploy["roles"].values():
        role["run"] = str(pathlib.Path(arguments.daemon).resolve())
    try:
        summary = play.play()
        machines = [m for m in play.fleet.controls + play.fleet.sidecars if m.process is not None]
        for machine in machines if arguments.logs else []:
            (folder / f"{machine.name}.log").write_text(machine.log(), encoding="utf-8")
    finally:
        play.fleet.stop()
        if not arguments.logs:
            shutil.rmtree(folder, ignore_errors=True)
    for failure in play.failures:
        print(f"FAILED: {failure}")
    print(f"{summary}, {len(play.failures)} failures")
    sys.exit(1 if play.failures else 0)

#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the daemon: nothing. Their stand-ins
# are the Python modules of tests/stand_ins and the cases themselves; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import pathlib

for pattern in ("tests/stand_ins/*.py", "review/[6-9]/case.py", "review/10/case.py"):
    for path in sorted(pathlib.Path(".").glob(pattern)):
        ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK

#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of the cases start. They are Python programs, so building
# them means to compile them once and to check that the interpreter has what they import.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import pathlib
import sys
import tomllib

assert sys.version_info >= (3, 11)
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
PYTHON

#!/usr/bin/env bash
# The stand-ins are Python files of the standard library; checks that they
# compile with the interpreter that the scripts use.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON

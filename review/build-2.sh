#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are Python files that need only
# the standard library, so that nothing is compiled but their byte code.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
END
for each in 6 7 8 9 10; do
  [ ! -e "$each/case.py" ] || python3 -m py_compile "$each/case.py"
done
python3 -m py_compile standins_2.py

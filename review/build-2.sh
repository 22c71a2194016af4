#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are Python files that need only
# the standard library, so that they are only checked.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
END
for each in standins_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$each"
done

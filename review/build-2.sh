#!/bin/bash
# Builds what the scripts of review/6 to review/9 start beside auburnedge. Their stand-ins are Python programs that use
# the standard library only, so they are only compiled, in memory, to find out whether this Python can run them.
set -eu
cd "$(dirname "$0")"
python3 -B - lib2/fleet.py 6/case.py 7/case.py 8/case.py 9/case.py <<'PYTHON'
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
PYTHON

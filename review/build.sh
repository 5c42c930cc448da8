#!/bin/sh
# The stand-ins are Python 3 without further packages, so there is nothing to
# compile; checks that they load and that the daemon was built.
set -e
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review"); import standins.world'
test -x target/bin/auburnedge

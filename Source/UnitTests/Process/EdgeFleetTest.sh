#!/usr/bin/env bash
# Guards against flows that planned work breaks, and against promises that break
# when hosts, backend servers and the registry fail: four daemons between
# stand-ins on loopback, planned work first, then faults as well.
set -euo pipefail
here=$(dirname "$0")
python3 "$here/edge_fleet.py" "$1" --seed 1 --seconds 8 --calm
python3 "$here/edge_fleet.py" "$1" --seed 2 --seconds 12

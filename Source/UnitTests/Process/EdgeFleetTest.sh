#!/usr/bin/env bash
# Guards against planned changes that break flows, and against violated
# guarantees when hosts, backend servers and the registry fail. Runs four daemons
# between stand-ins on loopback, first with planned changes only, then with
# faults too, then with a registry that is restored from a copy.
set -euo pipefail
here=$(dirname "$0")
python3 "$here/edge_fleet.py" "$1" --seed 1 --seconds 8 --calm
python3 "$here/edge_fleet.py" "$1" --seed 2 --seconds 12
python3 "$here/edge_fleet.py" "$1" --seed 3 --seconds 3 --calm --restored

#!/usr/bin/env bash
# Guards against planned changes that break flows, and against violated
# guarantees when hosts, backend servers and the registry fail. Runs four daemons
# between stand-ins on loopback, first with planned changes and evacuated zones, then with faults
# too, then with a registry that is restored from a copy, and with entries
# of another writer, for which hosts exceeded their memory, never became ready or
# stopped following changes. The last two guard against resets of open flows: by hosts that read old packets after a
# start, and by hosts that start while the registry lacks the flow's server.
set -euo pipefail
here=$(dirname "$0")
python3 "$here/edge_fleet.py" "$1" --seed 1 --seconds 10 --calm --evacuations
python3 "$here/edge_fleet.py" "$1" --seed 2 --seconds 12
python3 "$here/edge_fleet.py" "$1" --seed 3 --seconds 3 --calm --restored
python3 "$here/edge_fleet.py" "$1" --seed 1 --seconds 10 --calm --odd-entries
python3 "$here/edge_fleet.py" "$1" --seed 2 --seconds 1 --hosts 3 --registry-away
python3 "$here/edge_fleet.py" "$1" --seed 2 --seconds 1 --unlisted

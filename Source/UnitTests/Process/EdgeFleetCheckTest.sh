#!/usr/bin/env bash
# Guards against a soak that no longer reports open flows which are reset or sent
# to other servers.
set -euo pipefail
python3 -B "$(dirname "$0")/edge_fleet_check.py"

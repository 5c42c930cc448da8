#!/usr/bin/env bash
# Guards against figures in docs/CAPACITY.md that do not follow from
# docs/measurements.json and the plan figures, and against a check that passes
# whatever the page says.
set -euo pipefail
root=$(cd "$(dirname "$0")/../../.." && pwd)
"$root/scripts/capacity" --check

copy=$(mktemp -d)
trap 'rm -r "$copy"' EXIT
mkdir "$copy/scripts" "$copy/docs"
cp "$root/scripts/capacity" "$copy/scripts"
cp "$root/docs/CAPACITY.md" "$root/docs/measurements.json" "$copy/docs"
sed -i '/^| open flows per host /s/[0-9]/9/' "$copy/docs/CAPACITY.md"
if cmp -s "$root/docs/CAPACITY.md" "$copy/docs/CAPACITY.md"; then
  echo "the page has no row to change" >&2
  exit 1
fi
if "$copy/scripts/capacity" --check 2>/dev/null; then
  echo "a changed figure passed the check" >&2
  exit 1
fi

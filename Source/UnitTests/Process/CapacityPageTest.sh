#!/usr/bin/env bash
# Guards against values in docs/notes/capacity-auburnrouted.md that don't follow from
# docs/measurements.json and the planned load, and against a check that accepts
# any page.
set -euo pipefail
root=$(cd "$(dirname "$0")/../../.." && pwd)
"$root/scripts/capacity" --check

copy=$(mktemp -d)
trap 'rm -r "$copy"' EXIT
mkdir -p "$copy/scripts" "$copy/docs/notes"
cp "$root/scripts/capacity" "$copy/scripts"
cp "$root/docs/measurements.json" "$copy/docs"
page=docs/notes/capacity-auburnrouted.md
cp "$root/$page" "$copy/$page"
sed -i '/^| open flows per host /s/[0-9]/9/' "$copy/$page"
if cmp -s "$root/$page" "$copy/$page"; then
  echo "$page has no row 'open flows per host' to change" >&2
  exit 1
fi
if "$copy/scripts/capacity" --check 2>/dev/null; then
  echo "scripts/capacity --check accepted a changed value" >&2
  exit 1
fi

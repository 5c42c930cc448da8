#!/usr/bin/env bash
# Guards against wrong exit codes and against flag errors of Abseil that end
# with another code or with several lines of help. First argument: folder of
# the programs.
set -u
tool=$1/auburnctl
examples=$(cd "$(dirname "$0")/../../.." && pwd)/examples
fail=0
expect() { # exit code, arguments of the tool
  local want=$1 got lines
  shift
  err=$("$tool" "$@" 2>&1 >/dev/null)
  got=$?
  lines=$(printf '%s' "$err" | grep -c '')
  if [ "$got" -ne "$want" ] || { [ "$want" -eq 2 ] && [ "$lines" -ne 1 ]; }; then
    echo "auburnctl $*: exit code $got, expected $want; $lines lines: $err" >&2
    fail=1
  fi
}
expect 0 check "$examples/carenage.json"
expect 0 check --daemon "$examples/daemon.json"
expect 0 show counter --settings "$examples/carenage.json" --json
expect 0 diff "$examples/carenage.json" "$examples/carenage.json"
expect 0 --help
expect 0 --version
expect 1 check "$examples"
expect 1 check "$examples/daemon.json"
expect 1 diff "$examples/carenage.json" /dev/null
expect 2
expect 2 check
expect 2 check --nonesuch "$examples/carenage.json"
expect 2 check --json=maybe "$examples/carenage.json"
expect 2 show counter --settings
expect 2 show counter --settings=
expect 2 check --flagfile=/dev/null "$examples/carenage.json"
expect 2 ---
expect 1 -- check --daemon
exit $fail

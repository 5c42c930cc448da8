#!/usr/bin/env bash
# Guards against wrong exit codes. Flag errors that Abseil handles itself end
# with another exit code or print several lines of help instead of one. First
# argument: folder of the programs.
set -u
tool=$1/auburnctl
examples=$(cd "$(dirname "$0")/../../.." && pwd)/examples
fail=0
expect_exit_code() { # expected exit code, arguments of auburnctl
  local want=$1 got lines
  shift
  err=$("$tool" "$@" 2>&1 >/dev/null)
  got=$?
  lines=$(printf '%s' "$err" | grep -c '')
  if [ "$got" -ne "$want" ] || { [ "$want" -eq 2 ] && [ "$lines" -ne 1 ]; }; then
    echo "auburnctl $*: exit code $got, expected $want; $lines lines on stderr: $err" >&2
    fail=1
  fi
}
expect_exit_code 0 check "$examples/carenage.json"
expect_exit_code 0 check --daemon "$examples/daemon.json"
expect_exit_code 0 show counter --settings "$examples/carenage.json" --json
expect_exit_code 0 diff "$examples/carenage.json" "$examples/carenage.json"
expect_exit_code 0 --help
expect_exit_code 0 --version
expect_exit_code 1 check "$examples"
expect_exit_code 1 check "$examples/daemon.json"
expect_exit_code 1 diff "$examples/carenage.json" /dev/null
expect_exit_code 2
expect_exit_code 2 check
expect_exit_code 2 check --nonesuch "$examples/carenage.json"
expect_exit_code 2 check --json=maybe "$examples/carenage.json"
expect_exit_code 2 show counter --settings
expect_exit_code 2 show counter --settings=
expect_exit_code 2 check --flagfile=/dev/null "$examples/carenage.json"
expect_exit_code 2 ---
expect_exit_code 1 -- check --daemon
exit $fail

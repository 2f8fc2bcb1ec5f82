#!/usr/bin/env bash
# Runs the case after the build of deploy/system.toml and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption. RECORD names another record file.
cd "$(dirname "$0")" || exit 2
n=$(basename "$PWD")
export RECORD="${RECORD:-$PWD/record.txt}"
cd ../.. || exit 2
if [ ! -x "target/review/case-$n" ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
timeout -k 5 118 "target/review/case-$n"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

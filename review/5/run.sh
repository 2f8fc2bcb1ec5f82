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
folder=$(mktemp -d) || exit 2
export TMPDIR="$folder"
# timeout leads a process group of its own, with all daemons in it.
timeout -k 5 113 "target/review/case-$n" &
group=$!
trap 'kill -TERM "$group"' TERM INT
wait "$group"
status=$?
trap - TERM INT
wait "$group" 2>/dev/null
kill -KILL -- "-$group" 2>/dev/null && sleep 0.5
[ -n "${KEEP:-}" ] || rm -rf "$folder"
[ "$status" -le 2 ] || status=2
exit "$status"

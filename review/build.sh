#!/usr/bin/env bash
# Builds what the scripts of the cases start, the stand-ins included, into
# target/review/. Run after the build of deploy/system.toml, whose libraries it
# uses.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -I. -Itests -Isource -DBOOST_ALLOW_DEPRECATED_HEADERS
  -DBOOST_BIND_GLOBAL_PLACEHOLDERS -DBOOST_COROUTINES_NO_DEPRECATION_WARNING)
libraries=(target/source/libcomfreyfold_wire.a
  target/source/libcomfreyfold_wire_generated.a
  target/source/libcomfreyfold_net.a target/source/libcomfreyfold_clients.a
  target/source/libcomfreyfold_net.a target/source/libcomfreyfold_core.a
  -lthrift -lboost_coroutine -lboost_context -lboost_thread -lboost_system
  -lcrypto -lpthread)

# compile SOURCE: prints nothing, leaves an object in $out.
compile() {
  local object="$out/$(echo "$1" | tr / _).o"
  if [ ! "$object" -nt "$1" ] || [ review/harness/fleet.h -nt "$object" ]; then
    g++ "${flags[@]}" -c "$1" -o "$object"
  fi
  objects+=("$object")
}

objects=()
compile review/harness/fleet.cpp &
compile tests/standins/platform_store.cc &
compile tests/standins/raw_server.cc &
wait
for it in review/harness/fleet.cpp tests/standins/platform_store.cc \
  tests/standins/faults.cc tests/standins/raw_server.cc \
  tests/harness/process.cc; do
  compile "$it"
done
shared=("${objects[@]}")
for it in review/[1-5]/case.cpp; do
  [ -e "$it" ] || continue
  n=$(basename "$(dirname "$it")")
  objects=()
  compile "$it"
  g++ "${objects[@]}" "${shared[@]}" "${libraries[@]}" -o "$out/case-$n"
done

#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2.
# Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j 6 --target review-2

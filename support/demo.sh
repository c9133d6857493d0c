#!/usr/bin/env bash
# Builds everything, runs a deployment on this machine and checks its guarantees.
# Usage: support/demo.sh [--deployment kapadwala|retreat]
set -euo pipefail
cd "$(dirname "$0")/.."

bash support/setup.sh
build=${ENDIVEQUAY_BUILD_DIR:-build}-none
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" >"$build.log" 2>&1 || { tail -40 "$build.log"; exit 1; }
exec python3 support/demo.py --build "$build" "$@"

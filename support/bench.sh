#!/usr/bin/env bash
# Prints every figure as "figure NAME VALUE UNIT bound BOUND ok|MISSED"; exits 1 if one is MISSED.
# Usage: support/bench.sh. Takes some minutes; run it on a quiet machine.
set -uo pipefail
cd "$(dirname "$0")/.."

bash support/setup.sh
build=${ENDIVEQUAY_BUILD_DIR:-build}-none
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" >"$build.log" 2>&1 || { tail -40 "$build.log"; exit 1; }

status=0
run() {
    echo "== $*"
    "$@" || status=1
}
run "$build/bench/limits/bench_limits"
run "$build/bench/spread/bench_spread"
run "$build/bench/experiment/endivequay_bench"
run python3 support/benchhttp.py --build "$build"
run python3 support/faults.py --build "$build"
exit "$status"

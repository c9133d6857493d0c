#!/usr/bin/env bash
# Checks formatting and runs clang-tidy. Usage: support/lint.sh [package...]; ENDIVEQUAY_FIX=1 reformats.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=("$@")
((${#packages[@]} > 0)) || packages=(core engine gateway platform config policy coordination store transport daemon cli standins bench support)
mapfile -t files < <(git ls-files -co --exclude-standard "${packages[@]/%//}" | grep -E '\.(cpp|h)$')
if [[ ${ENDIVEQUAY_FIX:-0} == 1 ]]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi

build=${ENDIVEQUAY_BUILD_DIR:-build}-none
cmake -S . -B "$build" -G Ninja >/dev/null
# Uses clang-tidy 16, because 14 cannot parse the range views of libstdc++ 12. Test sources are left
# out: their macros trip many checks, and compiler warnings cover them.
printf '%s\n' "${files[@]}" | grep -E '/src/.*\.cpp$' |
    xargs -P "$(nproc)" -n 1 clang-tidy-16 -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option \
        2> >(grep -vE '^[0-9]+ warnings? (generated|and [0-9]+ errors? generated)|^Suppressed |^Use -header-filter' >&2)
python3 support/checkevents.py
echo "lint: ${#files[@]} files clean"

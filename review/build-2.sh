#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python scripts and need no build. Checks for what they need.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
test -x target/daemon/endivequayd || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q review/lib-2 review/6 review/7 review/8 review/9 review/10

#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. All are Python; nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in platform/soak/http_messages.py platform/soak/store.py review/lib/*.py review/*/run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done

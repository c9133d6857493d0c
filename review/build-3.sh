#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python without packages: this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for folder in ("platform/soak", "review/lib-3", *(f"review/{n}" for n in range(11, 16))):
    for path in sorted(Path(folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("the stand-ins compile")
PYTHON

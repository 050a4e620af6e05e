#!/usr/bin/env bash
# Prepares the stand-ins that the scripts review/6 and following start. They are Python programs of
# the standard library and need no build, so this only checks that they can be read. The router
# itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin-2/*.py [6-9]/case.py <<'PYTHON'
import ast
import sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PYTHON

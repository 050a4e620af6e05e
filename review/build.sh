#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python (3.9 or newer) without dependencies, so this
# only checks that each file can be compiled.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for file in common/*.py */case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done

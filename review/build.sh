#!/bin/sh
# Builds the stand-ins of the cases: they are Python files without dependencies,
# so that this only checks that they compile with the python3 that runs them.
set -eu
cd "$(dirname "$0")"
python3 -B -c '
import pathlib
for file in sorted(pathlib.Path(".").rglob("*.py")):
    compile(file.read_text(), str(file), "exec")
'

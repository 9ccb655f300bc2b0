#!/bin/sh
# Checks the stand-ins of the scripts. They are Python and need nothing but
# target/deps, the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 -B - <<'PY'
import ast
import pathlib

import attrs

for path in sorted(pathlib.Path("review").glob("**/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("review: stand-ins checked, attrs", attrs.__version__)
PY

#!/bin/sh
# Checks the stand-ins of cases 6 to 10. They need Python's standard library only, so
# that there is nothing to build; the hosts come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 - review/lib-2/*.py review/[6-9]/*.py <<'END'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding="utf-8"), name)
END

#!/bin/sh
# Builds every stand-in that a script of review/11 to review/15 starts, after the build
# of the deploy file. They are in review/lib-3, run in the process of the script itself,
# need no other package, and are only compiled here.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/lib-3/stand.py
for case in review/1[1-5]/*.py; do
  [ ! -f "$case" ] || python3 -m py_compile "$case"
done

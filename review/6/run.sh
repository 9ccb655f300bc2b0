#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Planned work in a large region first; if the rule held there, three hosts with two
# disruptions.
cd "$(dirname "$0")" || exit 2
timeout -k 5 85 python3 case.py
code=$?
if [ "$code" -eq 0 ]; then
    timeout -k 5 25 python3 small.py
    code=$?
fi
[ "$code" -le 2 ] || code=2
exit "$code"

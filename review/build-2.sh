#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/standins_2.py
for number in 6 7 8 9 10; do
    if test -d "review/$number"; then .venv/bin/python -m compileall -q "review/$number"; fi
done

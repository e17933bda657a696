#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file: nothing but Python and its standard
# library is needed, so that they are only compiled once to see that they can be, and no file is written.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for file in review/standins_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done

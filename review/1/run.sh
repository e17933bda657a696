#!/bin/sh
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || exit 2
exec ../../.venv/bin/python -B case.py

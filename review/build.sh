#!/bin/sh
# Builds the stand-ins of the cases: they are Python and need nothing but the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review

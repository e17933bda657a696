#!/bin/sh
# The stand-ins of the cases are Python and need no build beyond that of the deploy file: this checks that its
# interpreter reads them, and writes nothing.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -B - <<'END'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END

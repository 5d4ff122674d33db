#!/bin/sh
# The stand-ins are Python programs that need the standard library alone: there is nothing to compile. Checks that the
# interpreter which the deploy file's build leaves can load them. The routers of case 2, and one of case 3, have an
# operator file, for which the project needs its own requirements-extras.txt. Without a registry case 2 can't run, and
# case 3 leaves that router out.
cd "$(dirname "$0")/.." || exit 2
python=${PYTHON:-.venv/bin/python}
"$python" -c "import lark, msgspec" 2>/dev/null || "$python" -m pip -q install -r requirements-extras.txt \
    || echo "requirements-extras.txt could not be installed: case 2 can't run, case 3 leaves the operator file out"
exec "$python" -m compileall -q review/standins review/1 review/2 review/3

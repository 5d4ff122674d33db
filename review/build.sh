#!/bin/sh
# The stand-ins are Python programs that need the standard library alone: there is nothing to compile. Checks that the
# interpreter which the deploy file's build leaves can load them. One half of case 2 has a router with an operator
# file, which needs the project's own requirements-extras.txt; without a registry that half is left out.
cd "$(dirname "$0")/.." || exit 2
python=${PYTHON:-.venv/bin/python}
"$python" -c "import lark, msgspec" 2>/dev/null || "$python" -m pip -q install -r requirements-extras.txt \
    || echo "requirements-extras.txt could not be installed: case 2 plays the configuration file alone"
exec "$python" -m compileall -q review/standins review/1 review/2 review/3

#!/bin/sh
# The stand-ins are Python programs that need the standard library alone: there is nothing to compile. Checks that the
# interpreter which the deploy file's build leaves can load them. The routers of cases 2 and 3 have an operator file,
# for which the project needs its own requirements-extras.txt; without a registry these two cases can't run.
cd "$(dirname "$0")/.." || exit 2
python=${PYTHON:-.venv/bin/python}
"$python" -c "import lark, msgspec" 2>/dev/null || "$python" -m pip -q install -r requirements-extras.txt \
    || echo "requirements-extras.txt could not be installed: cases 2 and 3 can't run"
exec "$python" -m compileall -q review/standins review/1 review/2 review/3

#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the router. The stand-ins are plain Python; case 6
# needs the router's extras (operator file). Without them it exits with 2.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || exit 1
.venv/bin/pip -q install -r requirements-extras.txt || echo "no extras: case 6 can't run" >&2
.venv/bin/python -m compileall -q review/standins-2 review/6 review/7 review/8 review/9 review/10

#!/bin/sh
# The stand-ins are Python programs that need the standard library alone: there is nothing to compile or fetch.
# Checks that the interpreter which the deploy file's build leaves can load them.
cd "$(dirname "$0")/.." || exit 2
exec "${PYTHON:-.venv/bin/python}" -m compileall -q review/standins review/1 review/2 review/3

#!/bin/sh
# Builds the stand-ins of the second review: they are Python, on the standard library alone.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for file in review/standins_2.py review/[0-9]*/case.py; do
    .venv/bin/python -m py_compile "$file"
done

#!/bin/sh
# Builds the stand-ins of the review: Python on the standard library alone, so they are only compiled.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m py_compile review/standins.py review/*/case.py

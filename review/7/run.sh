#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python "$folder/case.py"
case $? in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac

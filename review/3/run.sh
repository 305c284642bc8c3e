#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH="$PWD"
timeout --signal=INT --kill-after=4 115 python3 "$here/case.py"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")"
PYTHONPATH="$PWD/../../target/deps" PYTHONDONTWRITEBYTECODE=1 \
    timeout --signal=INT --kill-after=5 112 python3 case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"

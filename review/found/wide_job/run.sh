#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../../.." || exit 2
PYTHONPATH=target/deps exec python3 review/found/wide_job/case.py "${TROUBLE:-1}"

#!/usr/bin/env bash
# Checks that the stand-ins and the cases can be run. They are Python and use only libraries that
# the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPATH="$PWD/../target/deps" PYTHONDONTWRITEBYTECODE=1
for number in 6 7 8 9 10; do
    [ ! -f "$number/case.py" ] || (cd "$number" && python3 -c "import case")
done

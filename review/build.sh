#!/bin/sh
# The stand-ins are Python and need no build; this checks that they can be loaded after the build of
# the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review exec python3 -c "import standins.cell"

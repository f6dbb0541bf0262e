#!/usr/bin/env bash
# The stand-ins of the third review are Python files that use the libraries which the build of the
# deploy file has put into target/deps. This compiles them and checks that those libraries load.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -c 'import aiohttp'
python3 -m py_compile review/standins3/cell3.py review/1[1-5]/case.py

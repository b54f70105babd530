#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. All of them are Python
# without dependencies: the project's store from src, and review/standins_2.py.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q src/pimentohoist_standins review/standins_2.py review/[0-9]*/
PYTHONPATH=src:review python3 -c 'import standins_2, pimentohoist_standins.keyed_store'

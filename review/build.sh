#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are Python and need no package but those of
# the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q src/pimentohoist_standins review

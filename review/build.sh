#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies, so there is nothing to
# compile. Checks that the interpreter can load them.
set -euo pipefail
cd "$(dirname "$0")/standin"
python3 -B -c 'import world, engine, app, crashing'

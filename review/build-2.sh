#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: checks that Python 3 can load them.
# They use its standard library only and write nothing here.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin-2/*.py [0-9]*/case2.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done

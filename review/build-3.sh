#!/bin/sh
# The stand-ins of review 3 are scripts for Python 3 without further libraries (common-3/stand.py):
# there is nothing to build. Checks that they can run.
set -eu
cd "$(dirname "$0")"
for file in common-3/stand.py 11/case.py 12/case.py 14/case.py common-3/trials/two_crashes.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done

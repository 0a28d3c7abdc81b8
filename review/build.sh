#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python 3 without libraries, so there is
# nothing to compile; this checks that they can be read. `oriolerudder` itself is built by the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done

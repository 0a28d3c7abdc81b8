#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins (common-2/standins.py and each case.py) are Python 3
# with its standard library only; here they are compiled once, so that a fault in them shows early.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PY'
import glob, sys
files = sorted(glob.glob("common-2/*.py") + [name for n in range(6, 11) for name in glob.glob(f"{n}/case.py")])
for name in files:
    with open(name) as file:
        compile(file.read(), name, "exec")
print(f"{len(files)} files compile with Python {sys.version.split()[0]}")
PY

#!/bin/sh
# Builds the stand-ins that the scripts of this review start.  They are written
# in Python and run from their sources, so it is enough that these compile.
cd "$(dirname "$0")" || exit 1
python3 - standins-2/*.py $(ls [6-9]/case.py 10/case.py 2>/dev/null) <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, 'exec')
PY

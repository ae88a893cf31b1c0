#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python modules
# (lib-2 and each case's run.py) and need the standard library only, so that
# there is nothing to compile; this checks that the interpreter reads them.
set -eu
cd "$(dirname "$0")"
python3 -B - lib-2/*.py 6/run.py 7/run.py 8/run.py 9/run.py 10/run.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
CHECK

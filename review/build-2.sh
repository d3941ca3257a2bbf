#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They are Python programs, so that there is nothing to
# build: this checks that they can be read by the interpreter that is there (3.11 or later, no packages).
cd "$(dirname "$0")" || exit 2
python3 -B - lib-2/*.py [0-9]*/case.py <<'CHECK'
import os
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
CHECK

#!/bin/sh
# Builds what the scripts of the third review start beside the deployment's program. Their stand-ins
# are Python files that need nothing but the interpreter, so that there is only this to check.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for path in sorted([*pathlib.Path("lib-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/case.py")]):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
PY

#!/bin/sh
# Checks what the scripts of review/11 to review/15 need. Their stand-ins are Python programs of this folder, which need no
# build; the program of the system comes from the build command of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 10):
    sys.exit("Python 3.10 or newer is needed")
for folder in ("common-3", "11", "12", "13", "14", "15"):
    for path in pathlib.Path(folder).glob("*.py"):
        compile(path.read_text(), str(path), "exec")
PYTHON

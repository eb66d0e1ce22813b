#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They are Python 3 programs
# of its standard library alone (python3 is in packages.txt), so this only
# checks that they compile.
set -eu
cd "$(dirname "$0")/.."

python3 - <<'END'
import glob
import sys

for name in sorted(glob.glob("review/lib-3/*.py") +
                   glob.glob("review/1[1-5]/*.py")):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
sys.exit(0)
END

#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs (lib/stand.py), which need
# no build; python3 is a package of packages.txt. Checks that they compile.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null
for file in lib/*.py [0-9]/*.py known/*/*.py; do
  [ ! -f "$file" ] || python3 -c \
    "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done

#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if it couldn't run.
# TROUBLE=0 leaves the bad part out.
export TROUBLE=${TROUBLE:-1}
exec timeout -k 5 115 python3 "$(dirname "$0")/run.py"

#!/usr/bin/env bash
# A request in a body of unknown length. Exits with 1 if the rule was broken, 0
# if it held, 2 if it couldn't run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../../.." || exit 2

check=target/review-2/check-body
if [ ! -x "$check" ] || [ ! -x target/citronwharf_gateway ]; then
  echo "build target/citronwharf_gateway and run review/build-2.sh first" >&2
  exit 2
fi
timeout --signal=KILL 110 "$check" review/known-2/body/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2

#!/usr/bin/env bash
# Builds the programs of the scripts of the second review into target/review-2.
# The gateway itself is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
for case in 6 7 8 9 10 known-2/body; do
  g++ -std=c++17 -O1 "review/$case/check.cc" review/lib-2/harness.cc \
    -pthread -o "$out/check-${case##*/}"
done

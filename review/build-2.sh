#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 and beyond-2 start, into target/review-2.
# Needs only what the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
out=../../target/review-2
mkdir -p "$out"
for name in brittle limit parts headers raised; do
    g++ -std=c++20 -O1 -Wall -o "$out/$name" "$name.cpp" -lboost_json -pthread &
done
failed=0
for job in $(jobs -p); do
    wait "$job" || failed=1
done
exit $failed

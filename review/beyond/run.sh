#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
folder="review/beyond"
timeout --kill-after=5 100 target/review/case-beyond \
    target/bin/roseworks-gateway "$folder" "$temporary"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"

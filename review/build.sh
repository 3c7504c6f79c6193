#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, the project's own
# stand-in of the platform's store included.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++20 -O1 -I.)
shared=(review/standins/harness.cpp review/standins/small_deployment.cpp
    review/standins/group_store.cpp review/standins/engine_deployment.cpp
    tests/support/platform_store.cpp)
objects=()
for file in "${shared[@]}"; do
    object="$out/$(basename "$file" .cpp).o"
    g++ "${flags[@]}" -c "$file" -o "$object" &
    objects+=("$object")
done
wait
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$number" \
        -lboost_json -lpthread &
done
wait
for source in review/*/case.cpp; do
    test -x "$out/case-$(basename "$(dirname "$source")")"
done

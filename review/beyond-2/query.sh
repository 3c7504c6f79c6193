#!/usr/bin/env bash
# Finding: a request that crashes replicas comes again with another query each time.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins-2/run-case.sh"
export MODE=query
export SECONDS_LONG=25
run_case parts "$folder" record-query.txt

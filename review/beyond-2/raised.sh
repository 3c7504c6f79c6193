#!/usr/bin/env bash
# Finding: a raised max_body_bytes doesn't reach connections that are open.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins-2/run-case.sh"
run_case raised "$folder" record-raised.txt

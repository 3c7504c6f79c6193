#!/usr/bin/env bash
# Second symptom of the same fault: a replica in need is back at its address, and its Server-Limit is lost. Writes record-limit.txt.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins-2/run-case.sh"
run_case limit "$folder" record-limit.txt

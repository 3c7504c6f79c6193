#!/usr/bin/env bash
# A part of prompts crashes replicas; requests with it come six at a time.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins-2/run-case.sh"
export MODE=batches
export SECONDS_LONG=35
run_case parts "$folder"

#!/usr/bin/env bash
# A part of prompts crashes replicas; all processes are killed at one moment.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins-2/run-case.sh"
export MODE=herd
export SECONDS_LONG=75
run_case parts "$folder"

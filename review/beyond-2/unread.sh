#!/usr/bin/env bash
# Finding: clients that read no answer hold the places of plain replicas.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins-2/run-case.sh"
export UNREAD=1
run_case headers "$folder" record-unread.txt

#!/usr/bin/env bash
# A replica in need crashes and is back at its address: its Server-Limit is lost.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins-2/run-case.sh"
run_case limit "$folder"

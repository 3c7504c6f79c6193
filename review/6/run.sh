#!/usr/bin/env bash
# Brittle replicas: one crashes, is back at its address, and falls over again and again.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins-2/run-case.sh"
run_case brittle "$folder"

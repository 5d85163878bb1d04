#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/9 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
go build -buildvcs=false -o bin/standins2 .

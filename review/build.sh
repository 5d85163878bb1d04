#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They need the Go standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
go build -o ../../target/review-standins .

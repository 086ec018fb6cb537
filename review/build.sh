#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/review-standin .

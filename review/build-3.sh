#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 from the project's root. They use the standard
# library alone.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-3 .

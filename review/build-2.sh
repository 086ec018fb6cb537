#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. The entry daemon itself is
# built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-drill review/drill/*.go

#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. The build line of the deploy file goes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1
mkdir -p target
go build -o target/review-3 ./review/harness3

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 and later start. The program itself is built by
# the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/cases ./review/harness2

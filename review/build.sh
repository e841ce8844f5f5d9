#!/usr/bin/env bash
# Builds the program that starts the nodes and holds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/harness ./review/harness

#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin-2 ./review/standin-2

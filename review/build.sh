#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the standard library only, into bin/, which git ignores. The program itself is built by
# the deploy file's build command.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/standin

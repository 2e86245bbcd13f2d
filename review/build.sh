#!/bin/sh
# Builds the stand-ins of the cases into bin/, which git ignores. The nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -o bin/review-play ./review/play

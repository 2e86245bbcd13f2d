#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into bin/review-2. The build of the deploy file comes first; this one needs no network after it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/play2

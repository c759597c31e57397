#!/usr/bin/env bash
# Builds the stand-ins of the third review, which have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target/review-3
GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-3/standins3 .

#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2, which the build of
# the deploy file makes beside its programs.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-2/standins-2 .

#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
go build -o ../../target/review-standins .

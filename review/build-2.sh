#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS= go build -o ../../target/standin-2 .

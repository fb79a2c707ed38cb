#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off GOPROXY=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -trimpath -o ../bin/standin .

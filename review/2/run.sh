#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption (the partitions of the two hosts from the store).
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x review/bin/standin ] && [ -x target/edge ] || { echo "cannot run: build with deploy/system.toml and review/build.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec review/bin/standin leaving "review/2/record.txt"

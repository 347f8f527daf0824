#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-2-rig .

#!/bin/sh
# Builds the stand-ins and clients of the scripts, which need only Go's standard library.
set -e
cd "$(dirname "$0")/rig"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-rig .

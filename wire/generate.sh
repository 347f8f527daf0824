#!/usr/bin/env bash
# Regenerates the wire types from their schemas. CONTRIBUTING.md tells how to
# install protoc, protoc-gen-go, protoc-gen-connect-go and goa.
set -euo pipefail
cd "$(dirname "$0")"
PATH="$PATH:$(go env GOPATH)/bin"
protoc --go_out=. --go_opt=module=tarragonshed.example/wire \
  --connect-go_out=. --connect-go_opt=module=tarragonshed.example/wire \
  peer/*.proto

#!/usr/bin/env bash
# Regenerates the wire types from their schemas. CONTRIBUTING.md explains how to
# install protoc, protoc-gen-go, protoc-gen-connect-go and goa.
set -euo pipefail
cd "$(dirname "$0")"
PATH="$PATH:$(go env GOPATH)/bin"
protoc --go_out=. --go_opt=module=tarragonshed.example/wire \
  --connect-go_out=. --connect-go_opt=module=tarragonshed.example/wire \
  peer/*.proto
for api in platform operator; do
  goa gen "tarragonshed.example/wire/$api/design" -o "$api" >/dev/null
  # The example command line and the documents of the API are not used.
  rm -rf "$api"/gen/http/cli "$api"/gen/http/openapi*
  find "$api/gen" -name cli.go -delete
done

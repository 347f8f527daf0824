#!/usr/bin/env bash
# PINNED: an instance refuses a part of its requests, and statements run with the values of other sessions.
# With TROUBLE=0 in the environment the disruption is left out.
# Build the system by the line of deploy/system.toml, and the stand-ins by review/build-2.sh, first.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2-rig ] || [ ! -x target/tarragonshed-platform ]; then
  echo "not built"
  exit 2
fi
exec target/review-2-rig values review/8/record.txt

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file.
# Needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOWORK=off go build -o ../../target/stand-2 .

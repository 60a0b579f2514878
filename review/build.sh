#!/bin/sh
# Builds the stand-ins that the scripts start. It needs Go and no network.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOPROXY=off GOFLAGS=-buildvcs=false go build -o ../../target/review/standin .

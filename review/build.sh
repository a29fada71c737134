#!/bin/sh
# Builds the stand-ins and drivers of all cases into review/bin. They use the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o bin/ ./stand/case...

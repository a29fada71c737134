#!/bin/sh
# The whole check: format, vet, staticcheck, tests under the race detector, build.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd decide internal)
if [ -n "$unformatted" ]; then
	echo "not gofmt'ed: $unformatted" >&2
	exit 1
fi
go vet ./...
go tool staticcheck ./...
go test -race ./...
mkdir -p bin
go build -o bin/ ./cmd/...

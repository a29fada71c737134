#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start, into stand-2/bin. It needs no network.
set -e
cd "$(dirname "$0")"
mkdir -p stand-2/bin
go build -o stand-2/bin/cases ./stand-2/cases >stand-2/bin/build.log 2>&1 || { tail -20 stand-2/bin/build.log; exit 1; }

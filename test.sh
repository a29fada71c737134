#!/bin/sh
# The whole check: format, vet, linters, unreached code, tests under the race detector, build.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd decide internal)
if [ -n "$unformatted" ]; then
	echo "not gofmt'ed: $unformatted" >&2
	exit 1
fi
go vet ./...
# The tools have a module of their own, so that what they need is not what the programs need.
go tool -modfile=tools/go.mod golangci-lint run ./...
unreached=$(go tool -modfile=tools/go.mod deadcode -test ./...)
if [ -n "$unreached" ]; then
	echo "no program and no test reaches: $unreached" >&2
	exit 1
fi
# Tests that are known to fail are printed, with their cause and issue, and passed over: just these.
# An entry begins with the test, or with TEST/CASE, and a colon.
known=
if [ -s KNOWN-RED.txt ]; then
	echo "known to fail, and not run:"
	cat KNOWN-RED.txt
	known=$(cut -d: -f1 KNOWN-RED.txt | sed 's:/:$/^:g; s:^:^:; s:$:$:' | paste -sd '|' -)
fi
go test -race ${known:+-skip "$known"} ./...
# The crowds, one package after the other: with the race detector or beside other tests their clients, and so the nodes,
# would have too little of the processor.
go test -p 1 -run '^(TestCrowdLeavesGoodClientsServed|TestCrowdsAndSignals|TestAnswersOfAllForms)$' ${known:+-skip "$known"} ./cmd/jasperpin ./internal/soak
# Built as it is deployed: the platform wants the node linked dynamically against libc.
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)"
if ! LC_ALL=C readelf --program-headers bin/jasperpin | grep -q 'program interpreter'; then
	echo "bin/jasperpin has no dynamic interpreter: see build in deploy/balancer.toml" >&2
	exit 1
fi

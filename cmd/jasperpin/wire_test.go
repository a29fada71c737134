package main

import (
	"testing"

	"jasperpin/internal/golden"
)

// TestJSONForms compares what the commands print with --json with an earlier version's.
func TestJSONForms(t *testing.T) {
	t.Parallel()
	golden.JSON[changeResult](t, "agreed")
	golden.JSON[logEntry](t, "past")
	golden.JSON[editEntry](t, "edit")
	golden.JSON[distributionStatus](t, "distribution")
	golden.JSON[relayReport](t, "relay-report")
	golden.JSON[clusterMembers](t, "membership")
	golden.JSON[voterStatus](t, "told")
}

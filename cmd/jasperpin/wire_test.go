package main

import (
	"testing"

	"jasperpin/internal/golden"
)

// TestJSONForms holds what the commands write with --json to the form of an earlier version.
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

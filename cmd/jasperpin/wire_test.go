package main

import (
	"testing"

	"jasperpin/internal/golden"
)

// TestJSONForms compares the --json output of the commands with golden files of an earlier version.
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

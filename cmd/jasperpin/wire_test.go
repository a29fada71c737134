package main

import (
	"testing"

	"jasperpin/internal/golden"
)

// TestJSONForms holds what the commands write with --json to the form of an earlier version.
func TestJSONForms(t *testing.T) {
	t.Parallel()
	golden.JSON[agreed](t, "agreed")
	golden.JSON[past](t, "past")
	golden.JSON[edit](t, "edit")
	golden.JSON[distribution](t, "distribution")
	golden.JSON[relayReport](t, "relay-report")
	golden.JSON[membership](t, "membership")
	golden.JSON[told](t, "told")
}

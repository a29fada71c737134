package hotrestart

import (
	"testing"

	"jasperpin/internal/golden"
)

// TestMessageForm compares the lines between two processes of a node, which may be of two versions,
// with those that an earlier version wrote.
func TestMessageForm(t *testing.T) {
	t.Parallel()
	golden.JSON[message](t, "message")
	var m message
	golden.Fill(&m)
	line, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "line", line)
}

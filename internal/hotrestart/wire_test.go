package hotrestart

import (
	"testing"

	"jasperpin/internal/golden"
)

// TestMessageForm checks that messages, which may be exchanged between two versions, have the same
// encoding as in an earlier version.
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

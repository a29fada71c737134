package metrics

import (
	"bytes"
	"testing"
	"time"

	"jasperpin/internal/golden"
	"jasperpin/internal/invariant"
)

// TestWriteKeepsOperatorsFormat: all metrics are written. Operators' tools read the lines, so they must be the
// same byte for byte as in earlier versions.
func TestWriteKeepsOperatorsFormat(t *testing.T) {
	t.Parallel()
	b := New()
	b.Violations = &invariant.Counts{}
	b.OpenRequests.Store(1)
	b.ConfigsAccepted.Store(2)
	b.ConfigsInvalid.Store(3)
	for i, name := range []string{"alpha", "beta"} {
		c := b.Class(name)
		n := uint64(10 * (i + 1))
		c.Served.Store(n + 1)
		c.Rejected.Store(n + 2)
		c.Failed.Store(n + 3)
		c.Forwarded.Store(n + 4)
	}
	r := &b.Repeats
	r.Answered.Store(31)
	r.Waited.Store(32)
	r.Mismatched.Store(33)
	r.Busy.Store(34)
	r.StoreFull.Store(35)
	r.RanWithoutKey.Store(36)
	b.SetKeyUsage(fixedUsage{})
	var text bytes.Buffer
	if err := b.Write(&text, Servers{Listed: 4, OutOfRotation: 5, LongestLockHold: 60 * time.Millisecond, LongestTimerDelay: 70 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "figures.txt", text.Bytes())
}

type fixedUsage struct{}

func (fixedUsage) Usage() (entries int, bytes int64) { return 41, 42 }
func (fixedUsage) Commits() uint64                   { return 43 }

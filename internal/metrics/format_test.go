package metrics

import (
	"bytes"
	"testing"
	"time"

	"jasperpin/internal/golden"
	"jasperpin/internal/invariant"
)

// TestWriteKeepsTheOperatorsFormat: all metrics are written. The lines are those of an earlier version, byte for
// byte: operators' tools read them.
func TestWriteKeepsTheOperatorsFormat(t *testing.T) {
	t.Parallel()
	b := New()
	b.Broken = &invariant.Counts{}
	b.Open.Store(1)
	b.Accepted.Store(2)
	b.Invalid.Store(3)
	for i, name := range []string{"alpha", "beta"} {
		c := b.Class(name)
		n := uint64(10 * (i + 1))
		c.Fulfilled.Store(n + 1)
		c.Throttled.Store(n + 2)
		c.Faulted.Store(n + 3)
		c.Relayed.Store(n + 4)
	}
	r := &b.Repeats
	r.Answered.Store(31)
	r.Waited.Store(32)
	r.Mismatched.Store(33)
	r.Busy.Store(34)
	r.Full.Store(35)
	r.Passed.Store(36)
	b.Keys(fixedUsage{})
	var text bytes.Buffer
	if err := b.Write(&text, Servers{Listed: 4, Out: 5, LongestHold: 60 * time.Millisecond, LatestTimer: 70 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "figures.txt", text.Bytes())
}

type fixedUsage struct{}

func (fixedUsage) Held() (entries int, bytes int64) { return 41, 42 }
func (fixedUsage) Commits() uint64                  { return 43 }

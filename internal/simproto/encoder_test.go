package simproto

import (
	"bytes"
	"testing"
)

// TestActions compares each action with its encoding, including the actions that are not used yet.
func TestActions(t *testing.T) {
	for name, tc := range map[string]struct {
		write func(*Encoder)
		want  string
	}{
		"watch":      {func(e *Encoder) { e.WatchEndpoints(3, true) }, "00 03000000 0300 01"},
		"unwatch":    {func(e *Encoder) { e.WatchEndpoints(3, false) }, "00 03000000 0300 00"},
		"stop":       {func(e *Encoder) { e.Cancel(3, 1, 2) }, "02 08000000 0300 01000000 0200"},
		"broken":     {func(e *Encoder) { e.Broken(3, "no") }, "03 06000000 0300 0200 6e6f"},
		"disconnect": {func(e *Encoder) { e.CloseIdle(3, 7) }, "04 06000000 0300 07000000"},
		"decline":    {func(e *Encoder) { e.Reject(3, 1, 0) }, "05 0e000000 0300 01000000 0000000000000000"},
		"resolve":    {func(e *Encoder) { e.PollEndpoints(3) }, "06 02000000 0300"},
		"broadcast":  {func(e *Encoder) { e.SendToPeer(3, 0xffff, []byte("hi 7")) }, "07 0a000000 0300 ffff 0400 68692037"},
		"sample":     {func(e *Encoder) { e.HealthCheck(3, 7) }, "08 06000000 0300 07000000"},
		"give up":    {func(e *Encoder) { e.Fail(3, 1) }, "0a 06000000 0300 01000000"},
	} {
		var e Encoder
		e.Reset()
		tc.write(&e)
		if got := e.Bytes()[4:]; !bytes.Equal(got, unhex(t, tc.want)) {
			t.Errorf("%s: action was encoded as %x, want %s", name, got, tc.want)
		}
	}
}

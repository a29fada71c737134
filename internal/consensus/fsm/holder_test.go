package fsm

import (
	"testing"
	"time"
)

// TestHolderStopsBeforeItsLeaseExpires walks one holder through grants, renewals, lost answers and rejections. After
// each step it checks until when the holder may act, under which token, and what it sends next and when. With a
// TTL of 24 s it stops 3 s early and renews after 8 s.
func TestHolderStopsBeforeItsLeaseExpires(t *testing.T) {
	t.Parallel()
	h := NewHolder(24 * time.Second)
	for _, c := range []struct {
		name      string
		step      func()
		now       time.Duration
		token     uint64
		held      bool
		deadline  time.Duration
		next      time.Duration
		operation Op
	}{
		{"a new holder acquires at once", func() {}, 0, 0, false, 0, 0, Acquire},
		{"a grant counts from when it was requested", func() { h.Granted(10*time.Second, 3) }, 15 * time.Second, 3, true, 31 * time.Second, 18 * time.Second, Renew},
		{"a lost answer changes nothing but the next request", func() { h.Unanswered(18 * time.Second) }, 18 * time.Second, 3, true, 31 * time.Second, 21 * time.Second, Renew},
		{"a renewal extends the lease", func() { h.Granted(21*time.Second, 3) }, 22 * time.Second, 3, true, 42 * time.Second, 29 * time.Second, Renew},
		{"an answer to an earlier request shortens nothing", func() { h.Granted(20*time.Second, 3) }, 22 * time.Second, 3, true, 42 * time.Second, 28 * time.Second, Renew},
		{"the holder stops at its deadline", func() {}, 42 * time.Second, 3, false, 42 * time.Second, 28 * time.Second, Acquire},
		{"a grant under another token starts anew", func() { h.Granted(15*time.Second, 9) }, 16 * time.Second, 9, true, 36 * time.Second, 23 * time.Second, Renew},
		{"a rejection ends the lease", func() { h.Rejected(30 * time.Second) }, 30 * time.Second, 0, false, 0, 36 * time.Second, Acquire},
	} {
		c.step()
		token, held := h.Holds(c.now)
		if token != c.token || held != c.held {
			t.Errorf("%s: token %d, held %v, want %d, %v", c.name, token, held, c.token, c.held)
		}
		if h.Deadline() != c.deadline || h.NextRequest() != c.next {
			t.Errorf("%s: until %v, next request at %v, want %v, %v", c.name, h.Deadline(), h.NextRequest(), c.deadline, c.next)
		}
		cmd := h.Request(c.now, "lease", "holder")
		if cmd.Op != c.operation || cmd.Name != "lease" || cmd.Holder != "holder" || cmd.TTL != 24*time.Second {
			t.Errorf("%s: sends %+v, want %s", c.name, cmd, c.operation)
		}
		if cmd.Op == Renew && cmd.FencingToken != c.token {
			t.Errorf("%s: renews under token %d, want %d", c.name, cmd.FencingToken, c.token)
		}
	}
}

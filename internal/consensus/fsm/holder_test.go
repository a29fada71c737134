package fsm

import (
	"testing"
	"time"
)

// TestHolderStopsBeforeItsLeaseExpires takes one holder through grants, renewals, lost responses and rejections.
// After each step it checks the holder's deadline, its token, and the type and time of its next request. With a TTL
// of 24 s the holder stops 3 s early and renews after 8 s.
func TestHolderStopsBeforeItsLeaseExpires(t *testing.T) {
	t.Parallel()
	holder := NewHolder(24 * time.Second)
	for _, tc := range []struct {
		name      string
		step      func()
		now       time.Duration
		token     uint64
		held      bool
		deadline  time.Duration
		next      time.Duration
		operation Op
	}{
		{"a new holder acquires immediately", func() {}, 0, 0, false, 0, 0, Acquire},
		{"the TTL of a grant starts with its request", func() { holder.Granted(10*time.Second, 3) }, 15 * time.Second, 3, true, 31 * time.Second, 18 * time.Second, Renew},
		{"a lost response changes only the next request", func() { holder.Unanswered(18 * time.Second) }, 18 * time.Second, 3, true, 31 * time.Second, 21 * time.Second, Renew},
		{"a renewal extends the lease", func() { holder.Granted(21*time.Second, 3) }, 22 * time.Second, 3, true, 42 * time.Second, 29 * time.Second, Renew},
		{"the response to an earlier request does not shorten the lease", func() { holder.Granted(20*time.Second, 3) }, 22 * time.Second, 3, true, 42 * time.Second, 28 * time.Second, Renew},
		{"the holder stops at its deadline", func() {}, 42 * time.Second, 3, false, 42 * time.Second, 28 * time.Second, Acquire},
		{"a grant under another token replaces the deadline", func() { holder.Granted(15*time.Second, 9) }, 16 * time.Second, 9, true, 36 * time.Second, 23 * time.Second, Renew},
		{"a rejection ends the lease", func() { holder.Rejected(30 * time.Second) }, 30 * time.Second, 0, false, 0, 36 * time.Second, Acquire},
	} {
		tc.step()
		token, held := holder.Holds(tc.now)
		if token != tc.token || held != tc.held {
			t.Errorf("%s: the holder has token %d, held %v; want %d, %v", tc.name, token, held, tc.token, tc.held)
		}
		if holder.Deadline() != tc.deadline || holder.NextRequest() != tc.next {
			t.Errorf("%s: the holder has deadline %v and its next request at %v, want %v and %v", tc.name, holder.Deadline(), holder.NextRequest(), tc.deadline, tc.next)
		}
		cmd := holder.Request(tc.now, "lease", "holder")
		if cmd.Op != tc.operation || cmd.Name != "lease" || cmd.Holder != "holder" || cmd.TTL != 24*time.Second {
			t.Errorf("%s: the next request is %+v, want operation %s for the lease", tc.name, cmd, tc.operation)
		}
		if cmd.Op == Renew && cmd.FencingToken != tc.token {
			t.Errorf("%s: the renewal has token %d, want %d", tc.name, cmd.FencingToken, tc.token)
		}
	}
}

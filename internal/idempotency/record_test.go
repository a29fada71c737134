package idempotency

import (
	"slices"
	"testing"
	"time"
)

// TestImportKeepsNewest imports the record of a run, then the record of its end, then a late copy of the first.
// The end must remain, for at most the retention of its class, and must release the waiting request. Dropping a
// key must return the request that waits for it.
func TestImportKeepsNewest(t *testing.T) {
	s := newTestStore(t, testSettings())
	k := Key{"t", "credit", "0"}
	run := Record{Key: k, Digest: Digest{1}, Running: true, Run: 99, Remaining: time.Minute}
	s.Import(0, run)
	waits := s.Begin(0, k, Digest{1}).Ticket
	ended := Record{Key: k, Digest: Digest{1}, Answer: Answer{Status: 201}, Remaining: time.Hour}
	if got := s.Import(time.Second, ended); !slices.Equal(got, []Ticket{waits}) {
		t.Errorf("importing the end of the run released %v, want %d", got, waits)
	}
	s.Import(time.Second, run)
	if got := s.Begin(2*time.Second, k, Digest{1}); got.Verdict != Replay || got.Answer.Status != 201 {
		t.Errorf("repeat after a late record of the run: got %+v", got)
	}
	if got := s.Begin(12*time.Second, k, Digest{1}); got.Verdict != Run {
		t.Errorf("after the 10 s retention of its class, a key imported with 1 h remaining got %+v", got)
	}
	waits = s.Begin(12*time.Second, k, Digest{1}).Ticket
	if got := s.Drop(k); !slices.Equal(got, []Ticket{waits}) || len(s.requests) != 0 {
		t.Errorf("Drop returned %v and left %d requests", got, len(s.requests))
	}
}

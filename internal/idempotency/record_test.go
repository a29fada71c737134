package idempotency

import (
	"slices"
	"testing"
	"time"
)

// TestImportKeepsNewest: a store imports the record of a run, then that of its end, then a late record of the
// run again. The end stays, for no longer than the class retains it, and goes to the request that waited. A
// dropped key returns the request that waits for it.
func TestImportKeepsNewest(t *testing.T) {
	s := newTestStore(t, testSettings())
	k := Key{"t", "credit", "0"}
	run := Record{Key: k, Digest: Digest{1}, Running: true, Run: 99, TimeLeft: time.Minute}
	s.Import(0, run)
	waits := s.Begin(0, k, Digest{1}).Ticket
	ended := Record{Key: k, Digest: Digest{1}, Answer: Answer{Status: 201}, TimeLeft: time.Hour}
	if got := s.Import(time.Second, ended); !slices.Equal(got, []Ticket{waits}) {
		t.Errorf("the end of the run goes to %v, want %d", got, waits)
	}
	s.Import(time.Second, run)
	if got := s.Begin(2*time.Second, k, Digest{1}); got.Verdict != Replay || got.Answer.Status != 201 {
		t.Errorf("after a late record of its run a repeat gets %+v", got)
	}
	if got := s.Begin(12*time.Second, k, Digest{1}); got.Verdict != Run {
		t.Errorf("after the 10 s of its class a key of a record with an hour left gets %+v", got)
	}
	waits = s.Begin(12*time.Second, k, Digest{1}).Ticket
	if got := s.Drop(k); !slices.Equal(got, []Ticket{waits}) || len(s.requests) != 0 {
		t.Errorf("dropping the key returned %v, and %d requests are left", got, len(s.requests))
	}
}

package limit

import (
	"testing"
	"time"
)

// TestHealthFollowsFailedShare: a pool whose requests all fail is faulty from the tenth on. It stays faulty after
// one success, until most of its requests are served again.
func TestHealthFollowsFailedShare(t *testing.T) {
	var h Health
	for range minFaultySamples - 1 {
		if h.Record(0, false) {
			t.Fatal("health is faulty after fewer than minFaultySamples outcomes, want healthy")
		}
	}
	if !h.Record(0, false) {
		t.Fatal("health is not faulty after minFaultySamples failures, want faulty")
	}
	if !h.Record(0, true) {
		t.Fatal("health is healthy after one success, want faulty")
	}
	faulty := true
	for range 4 * minFaultySamples {
		faulty = h.Record(time.Second, true)
	}
	if faulty {
		t.Error("health is still faulty after all recent requests were served, want healthy")
	}
}

package limit

import (
	"testing"
	"time"
)

// TestHealthFollowsFailedShare: a pool whose requests all fail is faulty from the tenth on, and stays so
// after one success, until most are served again.
func TestHealthFollowsFailedShare(t *testing.T) {
	var h Health
	for range minFaultySamples - 1 {
		if h.Record(0, false) {
			t.Fatal("faulty after too few ends")
		}
	}
	if !h.Record(0, false) {
		t.Fatal("not faulty with nothing served")
	}
	if !h.Record(0, true) {
		t.Fatal("healthy after one success")
	}
	faulty := true
	for range 4 * minFaultySamples {
		faulty = h.Record(time.Second, true)
	}
	if faulty {
		t.Error("still faulty with everything served")
	}
}

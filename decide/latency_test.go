package decide

import (
	"testing"
	"time"
)

// A node starts under overload and sees latencies far beyond what it expects. It came to expect many
// seconds, and never used its servers again; the expectation stays within the objective.
func TestExpectedLatencyStaysWithinObjective(t *testing.T) {
	b, _ := start(testSettings(), 6)
	s := b.ready[0]
	for range 50 {
		a := attempt{server: s, sentAt: b.now, expectedLatency: time.Millisecond, inFlight: true}
		b.recordLatency(&request{}, &a, float64(100*time.Millisecond), false)
	}
	if got := time.Duration(b.classes[0].meanLatency); got > b.settings.Classes[0].LatencyObjective {
		t.Errorf("a class with an objective of %v is expected to take %v", b.settings.Classes[0].LatencyObjective, got)
	}
}

package decide

import (
	"testing"
	"time"
)

// A node starts under overload and measures latencies far above the expected ones. It came to expect latencies
// of many seconds and never used its servers again. The expected latency must stay within the objective.
func TestExpectedLatencyStaysWithinObjective(t *testing.T) {
	b, _ := start(testSettings(), 6)
	s := b.ready[0]
	for range 50 {
		a := attempt{server: s, sentAt: b.now, expectedLatency: time.Millisecond, inFlight: true}
		b.recordLatency(&request{}, &a, float64(100*time.Millisecond), false)
	}
	if got := time.Duration(b.classes[0].meanLatency); got > b.settings.Classes[0].LatencyObjective {
		t.Errorf("expected latency of a class with an objective of %v is %v, want at most the objective", b.settings.Classes[0].LatencyObjective, got)
	}
}

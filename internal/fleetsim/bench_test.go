package fleetsim

import (
	"testing"
	"time"
)

// BenchmarkFleet is a second of a tier at full size.
func BenchmarkFleet(b *testing.B) {
	for b.Loop() {
		if _, err := Run(Settings{Nodes: 30, Servers: 200, Load: 0.75, For: time.Second, Seed: 1}); err != nil {
			b.Fatal(err)
		}
	}
}

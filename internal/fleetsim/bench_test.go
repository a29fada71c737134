package fleetsim

import (
	"testing"
	"time"
)

// BenchmarkFleet simulates one second of a fleet of full size.
func BenchmarkFleet(b *testing.B) {
	for b.Loop() {
		if _, err := Run(Settings{Nodes: 30, Servers: 200, Load: 0.75, Duration: time.Second, Seed: 1}); err != nil {
			b.Fatal(err)
		}
	}
}

// Package seeded has the property tests that import it draw the same cases in every run,
// so that a run's verdict is that of the code. -rapid.seed draws others.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // which has the flag
)

func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}

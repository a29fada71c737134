// Package seeded makes the property tests of packages that import it draw the same cases in every run, so that the
// result of a run depends on the code only. The flag -rapid.seed sets another seed.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}

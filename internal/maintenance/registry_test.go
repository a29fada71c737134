package maintenance

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestExcludeAndInclude: a server is excluded twice. One Include ends its exclusion.
func TestExcludeAndInclude(t *testing.T) {
	r := New()
	if r.Include("a", 0) {
		t.Error("Include returns true for a server that was not excluded")
	}
	for range 2 {
		if err := r.Exclude("a", time.Second); err != nil || !r.Excluded("a") {
			t.Fatalf("Exclude: error %v, excluded: %v", err, r.Excluded("a"))
		}
	}
	if got := fmt.Sprint(r.List()); got != "[a]" {
		t.Errorf("excluded servers: %s, want [a]", got)
	}
	if !r.Include("a", 2*time.Second) || r.Excluded("a") {
		t.Error("one call of Include did not end the exclusion")
	}
}

// TestIncludedServerCountsAsRestarted: the start time of a server that was included again is that of the inclusion,
// until discovery lists a start after the exclusion.
func TestIncludedServerCountsAsRestarted(t *testing.T) {
	r := New()
	const born, out, back = 10 * time.Second, 100 * time.Second, 110 * time.Second
	for _, id := range []string{"a", "b"} {
		if err := r.Exclude(id, out); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.StartedAt("a", born); got != born {
		t.Errorf("while excluded: start time %v, want %v", got, born)
	}
	r.Include("a", back)
	for _, c := range []struct{ listed, want time.Duration }{{0, back}, {born, back}, {out, out}, {105 * time.Second, 105 * time.Second}, {120 * time.Second, 120 * time.Second}} {
		if got := r.StartedAt("a", c.listed); got != c.want {
			t.Errorf("listed start %v: start time %v, want %v", c.listed, got, c.want)
		}
	}
	if got := r.StartedAt("c", born); got != born {
		t.Errorf("a server that was never excluded: start time %v, want %v", got, born)
	}
	r.Include("b", back+rememberIncluded+time.Second) // removes servers that were included long ago
	if got := r.StartedAt("a", born); got != born {
		t.Errorf("long after the inclusion: start time %v, want %v", got, born)
	}
}

// TestExcludeRejectsInvalidAndTooMany: Exclude returns ErrID for invalid ids, and ErrFull for more servers than
// MaxExcluded.
func TestExcludeRejectsInvalidAndTooMany(t *testing.T) {
	r := New()
	for _, id := range []string{"", "a b", "a\nb", "\x00", "a\x7f", "\xff", strings.Repeat("x", MaxID+1)} {
		if err := r.Exclude(id, 0); !errors.Is(err, ErrID) {
			t.Errorf("%q: got error %v, want ErrID", id, err)
		}
	}
	for i := range MaxExcluded {
		if err := r.Exclude(fmt.Sprint(i), 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Exclude("more", 0); !errors.Is(err, ErrFull) {
		t.Errorf("beyond MaxExcluded: got error %v, want ErrFull", err)
	}
	if err := r.Exclude("0", 0); err != nil {
		t.Errorf("a server that is already excluded: %v", err)
	}
}

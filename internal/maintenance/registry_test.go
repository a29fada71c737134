package maintenance

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestExcludeAndInclude: a server is excluded twice. One include lets it serve again.
func TestExcludeAndInclude(t *testing.T) {
	r := New()
	if r.Include("a", 0) {
		t.Error("a server that was not excluded was included")
	}
	for range 2 {
		if err := r.Exclude("a", time.Second); err != nil || !r.Excluded("a") {
			t.Fatalf("exclude: %v, excluded %v", err, r.Excluded("a"))
		}
	}
	if got := fmt.Sprint(r.List()); got != "[a]" {
		t.Errorf("excluded: %s", got)
	}
	if !r.Include("a", 2*time.Second) || r.Excluded("a") {
		t.Error("one call did not include it")
	}
}

// TestIncludedServerCountsAsStartedThen: a server that was included again counts as started at that moment, until
// discovery lists a start after its exclusion.
func TestIncludedServerCountsAsStartedThen(t *testing.T) {
	r := New()
	const born, out, back = 10 * time.Second, 100 * time.Second, 110 * time.Second
	for _, id := range []string{"a", "b"} {
		if err := r.Exclude(id, out); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.StartedAt("a", born); got != born {
		t.Errorf("while excluded: %v", got)
	}
	r.Include("a", back)
	for _, c := range []struct{ listed, want time.Duration }{{0, back}, {born, back}, {out, out}, {105 * time.Second, 105 * time.Second}, {120 * time.Second, 120 * time.Second}} {
		if got := r.StartedAt("a", c.listed); got != c.want {
			t.Errorf("listed %v: %v, want %v", c.listed, got, c.want)
		}
	}
	if got := r.StartedAt("c", born); got != born {
		t.Errorf("a server that was never excluded: %v", got)
	}
	r.Include("b", back+rememberIncluded+time.Second) // forgets what was included long ago
	if got := r.StartedAt("a", born); got != born {
		t.Errorf("long after: %v", got)
	}
}

// TestExcludeRejectsInvalidAndTooMany: ids that cannot be a server's get ErrID, and more servers than may be
// excluded get ErrFull.
func TestExcludeRejectsInvalidAndTooMany(t *testing.T) {
	r := New()
	for _, id := range []string{"", "a b", "a\nb", "\x00", "a\x7f", "\xff", strings.Repeat("x", MaxID+1)} {
		if err := r.Exclude(id, 0); !errors.Is(err, ErrID) {
			t.Errorf("%q: %v", id, err)
		}
	}
	for i := range MaxExcluded {
		if err := r.Exclude(fmt.Sprint(i), 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Exclude("more", 0); !errors.Is(err, ErrFull) {
		t.Errorf("beyond the bound: %v", err)
	}
	if err := r.Exclude("0", 0); err != nil {
		t.Errorf("a server that is excluded already: %v", err)
	}
}

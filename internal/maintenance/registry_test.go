package maintenance

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestOutAndBack takes a server out twice and puts it back once.
func TestOutAndBack(t *testing.T) {
	r := New()
	if r.Include("a", 0) {
		t.Error("one that was never out was put back")
	}
	for range 2 {
		if err := r.Exclude("a", time.Second); err != nil || !r.Excluded("a") {
			t.Fatalf("out: %v, %v", err, r.Excluded("a"))
		}
	}
	if got := fmt.Sprint(r.List()); got != "[a]" {
		t.Errorf("excluded: %s", got)
	}
	if !r.Include("a", 2*time.Second) || r.Excluded("a") {
		t.Error("one call did not put it back")
	}
}

// TestSince has a server that was put back count as started then, until discovery tells
// of a start after it was taken out.
func TestSince(t *testing.T) {
	r := New()
	const born, out, back = 10 * time.Second, 100 * time.Second, 110 * time.Second
	for _, id := range []string{"a", "b"} {
		if err := r.Exclude(id, out); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.Since("a", born); got != born {
		t.Errorf("while out: %v", got)
	}
	r.Include("a", back)
	for _, c := range []struct{ told, want time.Duration }{{0, back}, {born, back}, {out, out}, {105 * time.Second, 105 * time.Second}, {120 * time.Second, 120 * time.Second}} {
		if got := r.Since("a", c.told); got != c.want {
			t.Errorf("told %v: %v, want %v", c.told, got, c.want)
		}
	}
	if got := r.Since("c", born); got != born {
		t.Errorf("one never out: %v", got)
	}
	r.Include("b", back+backFor+time.Second) // forgets what was put back long ago
	if got := r.Since("a", born); got != born {
		t.Errorf("long after: %v", got)
	}
}

// TestBounds turns away ids that cannot be, and more servers than are kept.
func TestBounds(t *testing.T) {
	r := New()
	for _, id := range []string{"", "a b", "a\nb", "\x00", "a\x7f", "\xff", strings.Repeat("x", MaxID+1)} {
		if err := r.Exclude(id, 0); !errors.Is(err, ErrID) {
			t.Errorf("%q: %v", id, err)
		}
	}
	for i := range MaxOut {
		if err := r.Exclude(fmt.Sprint(i), 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Exclude("more", 0); !errors.Is(err, ErrFull) {
		t.Errorf("beyond the bound: %v", err)
	}
	if err := r.Exclude("0", 0); err != nil {
		t.Errorf("one that is out already: %v", err)
	}
}

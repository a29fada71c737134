package planner

import (
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// ready makes a chooser whose planners have all proved themselves.
func ready(t *testing.T, planners int) (*Chooser, time.Duration) {
	t.Helper()
	c := New(Defaults, planners, 1)
	var now time.Duration
	for range 100 {
		now += Defaults.StepEvery
		for i := range planners {
			c.Answered(now, i, time.Millisecond)
		}
	}
	for i := range planners {
		if c.Part(now, i) != 1 {
			t.Fatalf("planner %d is asked for %v after 100 answers", i, c.Part(now, i))
		}
	}
	return c, now
}

// TestBroke leaves a planner that broke alone, asks the next, and comes back in
// steps.
func TestBroke(t *testing.T) {
	c, now := ready(t, 2)
	c.Broke(now, 0)
	if n, _, ok := c.Ask(now, -1); !ok || n != 1 {
		t.Fatalf("asks %d, %v", n, ok)
	}
	if _, _, ok := c.Ask(now, 1); ok {
		t.Error("asks somebody after the last")
	}
	c.Broke(now, 1)
	if _, _, ok := c.Ask(now, -1); ok {
		t.Error("asks although all are gone")
	}
	now += 2 * Defaults.Rest
	asked := 0
	for range 1000 {
		if n, _, ok := c.Ask(now, -1); ok && n == 0 {
			asked++
		}
	}
	if asked < 20 || asked > 120 {
		t.Errorf("just back it is asked for %d of 1000, a step is 50", asked)
	}
	steps := 0
	for c.Part(now, 0) < 1 {
		was := c.Part(now, 0)
		now += Defaults.StepEvery
		c.Answered(now, 0, time.Millisecond)
		if got := c.Part(now, 0); got > 2*was {
			t.Fatalf("from %v to %v at once", was, got)
		}
		if steps++; steps > 20 {
			t.Fatal("it never is whole again")
		}
	}
}

// TestSilent gives a planner up after some answers missed in a row, and rests
// longer each time.
func TestSilent(t *testing.T) {
	c, now := ready(t, 1)
	last := time.Duration(0)
	for round := range 6 {
		asked := 0
		for {
			if _, _, ok := c.Ask(now, -1); !ok && c.Part(now, 0) == 0 {
				break
			}
			c.Late(now, 0)
			if asked++; asked > 10 {
				t.Fatal("it is asked for ever")
			}
		}
		began := now
		for c.Part(now, 0) == 0 {
			now += time.Millisecond
		}
		rest := now - began
		if rest < last/2 || rest > 2*Defaults.RestMost {
			t.Errorf("round %d: rest of %v after one of %v", round, rest, last)
		}
		last = rest
	}
	if last < Defaults.RestMost {
		t.Errorf("in the end it rests %v, want %v or more", last, Defaults.RestMost)
	}
}

// TestSlow asks a planner that is late now and then for less.
func TestSlow(t *testing.T) {
	c, now := ready(t, 1)
	for i := range 400 {
		now += 10 * time.Millisecond
		if i%3 == 0 {
			c.Late(now, 0)
		} else {
			c.Answered(now, 0, 15*time.Millisecond)
		}
	}
	if got := c.Part(now, 0); got > 0.1 || got == 0 {
		t.Errorf("late every third time it is asked for %v", got)
	}
	if _, wait, ok := c.Ask(now, -1); ok && (wait < Defaults.Least || wait > Defaults.Most) {
		t.Errorf("waits %v", wait)
	}
}

// TestChooserProperties has anything happen in any order: nobody is asked who
// rests, waits and parts stay in their bounds, and rest ends.
func TestChooserProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 4).Draw(t, "planners")
		c := New(Defaults, n, rapid.Uint64().Draw(t, "seed"))
		rests := make([]time.Duration, n) // not before
		var now time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "passes"))
			after := rapid.IntRange(-1, n).Draw(t, "after")
			i, wait, ok := c.Ask(now, after)
			if !ok {
				continue
			}
			if i <= after || i >= n || wait < Defaults.Least || wait > Defaults.Most || now < rests[i] {
				t.Fatalf("asks %d after %d of %d for %v; it rests until %v, now %v", i, after, n, wait, rests[i], now)
			}
			switch rapid.IntRange(0, 3).Draw(t, "comes") {
			case 0, 1:
				c.Answered(now, i, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took")))
			case 2:
				c.Late(now, i)
			case 3:
				c.Broke(now, i)
				rests[i] = now + Defaults.Rest
			}
			if p := c.Part(now, i); p < 0 || p > 1 {
				t.Fatalf("part %v", p)
			}
		}
		now += 2 * Defaults.RestMost
		for i := range n {
			if c.Part(now, i) == 0 {
				t.Fatalf("planner %d is never asked again", i)
			}
		}
	})
}

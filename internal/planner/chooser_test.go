package planner

import (
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// recovered returns a Chooser that asks all of its planners for all requests.
func recovered(t *testing.T, planners int) (*Chooser, time.Duration) {
	t.Helper()
	c := NewChooser(DefaultChooserSettings, planners, 1)
	var now time.Duration
	for range 100 {
		now += DefaultChooserSettings.RampInterval
		for i := range planners {
			c.AnswerReceived(now, i, time.Millisecond)
		}
	}
	for i := range planners {
		if c.Share(now, i) != 1 {
			t.Fatalf("planner %d is asked for %v after 100 answers", i, c.Share(now, i))
		}
	}
	return c, now
}

// TestChooserAfterLostConnection loses the connection to a planner: the next one is asked, and
// after its backoff the first is asked again for a share of requests that grows in steps.
func TestChooserAfterLostConnection(t *testing.T) {
	c, now := recovered(t, 2)
	c.ConnectionLost(now, 0)
	if n, _, ok := c.Choose(now, -1); !ok || n != 1 {
		t.Fatalf("asks %d, %v", n, ok)
	}
	if _, _, ok := c.Choose(now, 1); ok {
		t.Error("asks somebody after the last")
	}
	c.ConnectionLost(now, 1)
	if _, _, ok := c.Choose(now, -1); ok {
		t.Error("asks although all connections are lost")
	}
	now += 2 * DefaultChooserSettings.Backoff
	asked := 0
	for range 1000 {
		if n, _, ok := c.Choose(now, -1); ok && n == 0 {
			asked++
		}
	}
	if asked < 20 || asked > 120 {
		t.Errorf("right after its backoff it is asked for %d of 1000, the ramp begins at 50", asked)
	}
	steps := 0
	for c.Share(now, 0) < 1 {
		was := c.Share(now, 0)
		now += DefaultChooserSettings.RampInterval
		c.AnswerReceived(now, 0, time.Millisecond)
		if got := c.Share(now, 0); got > 2*was {
			t.Fatalf("from %v to %v at once", was, got)
		}
		if steps++; steps > 20 {
			t.Fatal("it is never asked for all requests again")
		}
	}
}

// TestChooserAfterMissedAnswers has a planner miss answers in a row: it is given up, for longer
// each time.
func TestChooserAfterMissedAnswers(t *testing.T) {
	c, now := recovered(t, 1)
	last := time.Duration(0)
	for round := range 6 {
		asked := 0
		for {
			if _, _, ok := c.Choose(now, -1); !ok && c.Share(now, 0) == 0 {
				break
			}
			c.AnswerMissed(now, 0)
			if asked++; asked > 10 {
				t.Fatal("it is never given up")
			}
		}
		began := now
		for c.Share(now, 0) == 0 {
			now += time.Millisecond
		}
		backoff := now - began
		if backoff < last/2 || backoff > 2*DefaultChooserSettings.MaxBackoff {
			t.Errorf("round %d: backoff of %v after one of %v", round, backoff, last)
		}
		last = backoff
	}
	if last < DefaultChooserSettings.MaxBackoff {
		t.Errorf("in the end its backoff is %v, want %v or more", last, DefaultChooserSettings.MaxBackoff)
	}
}

// TestChooserOfSlowPlanner has a planner answer late now and then: it is asked for a smaller share
// of requests.
func TestChooserOfSlowPlanner(t *testing.T) {
	c, now := recovered(t, 1)
	for i := range 400 {
		now += 10 * time.Millisecond
		if i%3 == 0 {
			c.AnswerMissed(now, 0)
		} else {
			c.AnswerReceived(now, 0, 15*time.Millisecond)
		}
	}
	if got := c.Share(now, 0); got > 0.1 || got == 0 {
		t.Errorf("late every third time it is asked for %v", got)
	}
	if _, wait, ok := c.Choose(now, -1); ok && (wait < DefaultChooserSettings.MinWait || wait > DefaultChooserSettings.MaxWait) {
		t.Errorf("waits %v", wait)
	}
}

// TestChooserProperties has answers, missed answers and lost connections happen in any order: no
// planner is chosen during its backoff, waits and shares stay within their bounds, and each backoff
// ends.
func TestChooserProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 4).Draw(t, "planners")
		c := NewChooser(DefaultChooserSettings, n, rapid.Uint64().Draw(t, "seed"))
		backoffEnds := make([]time.Duration, n) // not before these
		var now time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "passes"))
			after := rapid.IntRange(-1, n).Draw(t, "after")
			i, wait, ok := c.Choose(now, after)
			if !ok {
				continue
			}
			if i <= after || i >= n || wait < DefaultChooserSettings.MinWait || wait > DefaultChooserSettings.MaxWait || now < backoffEnds[i] {
				t.Fatalf("asks %d after %d of %d for %v; its backoff ends at %v, now %v", i, after, n, wait, backoffEnds[i], now)
			}
			switch rapid.IntRange(0, 3).Draw(t, "comes") {
			case 0, 1:
				c.AnswerReceived(now, i, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took")))
			case 2:
				c.AnswerMissed(now, i)
			case 3:
				c.ConnectionLost(now, i)
				backoffEnds[i] = now + DefaultChooserSettings.Backoff
			}
			if p := c.Share(now, i); p < 0 || p > 1 {
				t.Fatalf("share %v", p)
			}
		}
		now += 2 * DefaultChooserSettings.MaxBackoff
		for i := range n {
			if c.Share(now, i) == 0 {
				t.Fatalf("planner %d is never asked again", i)
			}
		}
	})
}

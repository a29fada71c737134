package planner

import (
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// newRecoveredChooser returns a Chooser whose planners all have a share of 1, and the current time.
func newRecoveredChooser(t *testing.T, planners int) (*Chooser, time.Duration) {
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
			t.Fatalf("planner %d is asked for a share of %v after 100 answers, want 1", i, c.Share(now, i))
		}
	}
	return c, now
}

// TestChooserAfterLostConnection loses the connection to a planner: the next one is asked, and after the
// backoff the first is asked again for a share of requests that grows in steps.
func TestChooserAfterLostConnection(t *testing.T) {
	chooser, now := newRecoveredChooser(t, 2)
	chooser.ConnectionLost(now, 0)
	if n, _, ok := chooser.Choose(now, -1); !ok || n != 1 {
		t.Fatalf("Choose returned planner %d, %v after the connection to planner 0 was lost, want planner 1", n, ok)
	}
	if _, _, ok := chooser.Choose(now, 1); ok {
		t.Error("a planner is chosen after the last one")
	}
	chooser.ConnectionLost(now, 1)
	if _, _, ok := chooser.Choose(now, -1); ok {
		t.Error("a planner is chosen although all connections are lost")
	}
	now += 2 * DefaultChooserSettings.Backoff
	asked := 0
	for range 1000 {
		if n, _, ok := chooser.Choose(now, -1); ok && n == 0 {
			asked++
		}
	}
	if asked < 20 || asked > 120 {
		t.Errorf("right after its backoff the planner is asked for %d of 1000 requests; the ramp starts at 50", asked)
	}
	steps := 0
	for chooser.Share(now, 0) < 1 {
		was := chooser.Share(now, 0)
		now += DefaultChooserSettings.RampInterval
		chooser.AnswerReceived(now, 0, time.Millisecond)
		if got := chooser.Share(now, 0); got > 2*was {
			t.Fatalf("the planner's share of requests grows from %v to %v in one step", was, got)
		}
		if steps++; steps > 20 {
			t.Fatal("planner is never asked for all requests again")
		}
	}
}

// TestChooserAfterMissedAnswers lets a planner miss consecutive answers: each time it enters a longer
// backoff.
func TestChooserAfterMissedAnswers(t *testing.T) {
	c, now := newRecoveredChooser(t, 1)
	last := time.Duration(0)
	for round := range 6 {
		asked := 0
		for {
			if _, _, ok := c.Choose(now, -1); !ok && c.Share(now, 0) == 0 {
				break
			}
			c.AnswerMissed(now, 0)
			if asked++; asked > 10 {
				t.Fatal("planner never enters backoff")
			}
		}
		began := now
		for c.Share(now, 0) == 0 {
			now += time.Millisecond
		}
		backoff := now - began
		if backoff < last/2 || backoff > 2*DefaultChooserSettings.MaxBackoff {
			t.Errorf("round %d: the backoff is %v after a backoff of %v, which is out of range", round, backoff, last)
		}
		last = backoff
	}
	if last < DefaultChooserSettings.MaxBackoff {
		t.Errorf("last backoff is %v, want at least %v", last, DefaultChooserSettings.MaxBackoff)
	}
}

// TestChooserOfSlowPlanner lets every third answer of a planner be late: the planner is asked for a
// smaller share of requests.
func TestChooserOfSlowPlanner(t *testing.T) {
	c, now := newRecoveredChooser(t, 1)
	for i := range 400 {
		now += 10 * time.Millisecond
		if i%3 == 0 {
			c.AnswerMissed(now, 0)
		} else {
			c.AnswerReceived(now, 0, 15*time.Millisecond)
		}
	}
	if got := c.Share(now, 0); got > 0.1 || got == 0 {
		t.Errorf("planner with every third answer late is asked for a share of %v, want above 0 and at most 0.1", got)
	}
	if _, wait, ok := c.Choose(now, -1); ok && (wait < DefaultChooserSettings.MinWait || wait > DefaultChooserSettings.MaxWait) {
		t.Errorf("the wait for an answer is %v, which is out of range", wait)
	}
}

// TestChooserProperties reports answers, missed answers and lost connections in random order: no planner
// is chosen during its backoff, waits and shares stay within their bounds, and each backoff ends.
func TestChooserProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 4).Draw(t, "planners")
		chooser := NewChooser(DefaultChooserSettings, n, rapid.Uint64().Draw(t, "seed"))
		backoffEnds := make([]time.Duration, n) // by planner: lower bound of the time at which its backoff ends
		var now time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "time step"))
			after := rapid.IntRange(-1, n).Draw(t, "after")
			i, wait, ok := chooser.Choose(now, after)
			if !ok {
				continue
			}
			if i <= after || i >= n || wait < DefaultChooserSettings.MinWait || wait > DefaultChooserSettings.MaxWait || now < backoffEnds[i] {
				t.Fatalf("planner %d chosen after %d of %d with a wait of %v; its backoff ends at %v, now %v", i, after, n, wait, backoffEnds[i], now)
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				chooser.AnswerReceived(now, i, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took")))
			case 2:
				chooser.AnswerMissed(now, i)
			case 3:
				chooser.ConnectionLost(now, i)
				backoffEnds[i] = now + DefaultChooserSettings.Backoff
			}
			if p := chooser.Share(now, i); p < 0 || p > 1 {
				t.Fatalf("share of requests %v is out of range, want 0 to 1", p)
			}
		}
		now += 2 * DefaultChooserSettings.MaxBackoff
		for i := range n {
			if chooser.Share(now, i) == 0 {
				t.Fatalf("planner %d is never asked again", i)
			}
		}
	})
}

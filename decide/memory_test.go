package decide

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// TestMemoryGoesOn has a second Balancer know what the first has learned: who is slow,
// who is ejected, what classes take, how much a cold server has had.
func TestMemoryGoesOn(t *testing.T) {
	b, _ := start(testSettings(), 8)
	now := b.now
	list := servers(8)
	list[3].StartedAt = now - time.Second // a cold one
	b.set.SlowStartWindow, b.set.SlowStartShare, b.set.OverloadMultiple = 20*time.Second, 0.1, 2
	b.UpdateEndpoints(now, UpdateCached, list)
	b.byID[list[0].ID].saw(5, now)
	b.eject(b.byID[list[1].ID], "test")
	b.byID[list[3].ID].tokens = -7
	b.classes[0].latency, b.window, b.budget = float64(123*time.Millisecond), 17, 3
	b.okMeter.add(now, 60)
	b.away(b.byID[list[5].ID], 0)

	text, err := json.Marshal(b.Snapshot(now + time.Second))
	if err != nil {
		t.Fatal(err)
	}
	var m Snapshot
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	next, _ := start(testSettings(), 8)
	next.set = b.set
	next.UpdateEndpoints(now+time.Second, UpdateCached, list)
	next.Restore(now+time.Second, m)
	for i, e := range list {
		was, is := b.byID[e.ID], next.byID[e.ID]
		if was.ejected != is.ejected || math.Abs(was.stretchAt(now)-is.stretchAt(now)) > 0.01 {
			t.Errorf("server %d: ejected %v, stretch %.2f; was %v, %.2f", i, is.ejected, is.stretchAt(now), was.ejected, was.stretchAt(now))
		}
	}
	if is := next.byID[list[5].ID]; !next.doubted(is) || next.warmth(is) == 1 || is.awayAt != now {
		t.Errorf("one that took no connection at %v: doubted %v, warmth %v, away at %v", now, next.doubted(is), next.warmth(is), is.awayAt)
	}
	if got := next.byID[list[3].ID].tokens; got != -7 {
		t.Errorf("a cold server's budget is %v", got)
	}
	if ejected(next) != 1 || next.classes[0].latency != b.classes[0].latency || next.window != 17 || next.budget != 3 {
		t.Errorf("%d ejected, latency %v, window %v, budget %v", ejected(next), next.classes[0].latency, next.window, next.budget)
	}
	if was, is := b.okMeter.at(now+time.Second), next.okMeter.at(now+time.Second); math.Abs(was-is) > 1e-6 {
		t.Errorf("%v answers a second, %v before", is, was)
	}
	list[1].StartedAt = now // restarted since: it owes nothing
	third, _ := start(testSettings(), 8)
	third.UpdateEndpoints(now+time.Second, UpdateCached, list)
	third.Restore(now+time.Second, m)
	if third.byID[list[1].ID].ejected {
		t.Error("a server that has started anew is still ejected")
	}
}

// TestRecallBounds believes no memory more than can be: whatever it says, the Balancer
// keeps sending to servers that are listed, and its numbers stay numbers.
func TestRecallBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		odd := rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Just(math.Inf(-1)))
		span := rapid.Custom(func(r *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(r, "ns")) })
		m := Snapshot{
			SuccessRate: odd.Draw(r, "ok"), FailureRate: odd.Draw(r, "bad"), SendRate: odd.Draw(r, "sent"), RetryBudget: odd.Draw(r, "budget"),
			LatencyPressure: odd.Draw(r, "fill"), LatencySignal: odd.Draw(r, "crowd"), SmoothedInFlight: odd.Draw(r, "level"),
		}
		for range rapid.IntRange(0, 6).Draw(r, "classes") {
			m.Classes = append(m.Classes, ClassSnapshot{Latency: odd.Draw(r, "latency"), BaseLatency: odd.Draw(r, "base"), WorkHint: odd.Draw(r, "hint"), Answers: rapid.Int().Draw(r, "n"), ClientTimeout: span.Draw(r, "span"), TimeoutVotes: rapid.Int().Draw(r, "votes")})
		}
		b, rec := start(testSettings(), 4)
		for _, e := range servers(4) {
			m.Servers = append(m.Servers, ServerSnapshot{
				ID: e.ID, StartedAt: e.StartedAt, LatencyRatio: odd.Draw(r, "stretch"), LatencyAge: span.Draw(r, "seen"), Ejected: rapid.Bool().Draw(r, "ejected"),
				EjectedFor: span.Draw(r, "for"), Multiplier: rapid.Int().Draw(r, "x"), ConsecutiveFailures: rapid.Int().Draw(r, "run"), BackoffLeft: 0, SlowStartTokens: odd.Draw(r, "tokens"),
			})
		}
		b.Restore(b.now, m)
		if math.IsNaN(b.budget+b.fill+b.crowd+b.level+b.local.warm) || ejected(b) > 1 {
			r.Fatalf("budget %v, fill %v, crowd %v, level %v, warm %v, %d ejected", b.budget, b.fill, b.crowd, b.level, b.local.warm, ejected(b))
		}
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + time.Minute})
		if len(rec.sends) != 1 {
			r.Fatalf("nothing was sent: %+v", rec)
		}
	})
}

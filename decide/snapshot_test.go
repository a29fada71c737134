package decide

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// A second Balancer takes over from a first: it knows which servers are slow or ejected, what classes take,
// and what a server in slow start has been sent.
func TestSnapshotIsRestored(t *testing.T) {
	b, _ := start(testSettings(), 8)
	now := b.now
	list := servers(8)
	list[3].StartedAt = now - time.Second // in slow start
	b.settings.SlowStartWindow, b.settings.SlowStartShare, b.settings.OverloadMultiple = 20*time.Second, 0.1, 2
	b.UpdateEndpoints(now, UpdateCached, list)
	b.serversByID[list[0].ID].recordLatencyRatio(5, now)
	b.eject(b.serversByID[list[1].ID], "test")
	b.serversByID[list[3].ID].slowStartTokens = -7
	b.classes[0].meanLatency, b.concurrencyLimit, b.retryBudget = float64(123*time.Millisecond), 17, 3
	b.successRate.add(now, 60)
	b.recordConnectionLost(b.serversByID[list[5].ID], 0)

	text, err := json.Marshal(b.Snapshot(now + time.Second))
	if err != nil {
		t.Fatal(err)
	}
	var snap Snapshot
	if err := json.Unmarshal(text, &snap); err != nil {
		t.Fatal(err)
	}
	next, _ := start(testSettings(), 8)
	next.settings = b.settings
	next.UpdateEndpoints(now+time.Second, UpdateCached, list)
	next.Restore(now+time.Second, snap)
	for i, e := range list {
		was, is := b.serversByID[e.ID], next.serversByID[e.ID]
		if was.ejected != is.ejected || math.Abs(was.currentLatencyRatio(now)-is.currentLatencyRatio(now)) > 0.01 {
			t.Errorf("server %d: ejected %v, latency ratio %.2f; was %v, %.2f", i, is.ejected, is.currentLatencyRatio(now), was.ejected, was.currentLatencyRatio(now))
		}
	}
	if is := next.serversByID[list[5].ID]; !next.restartSuspected(is) || next.slowStartFactor(is) == 1 || is.connectionLostAt != now {
		t.Errorf("one that took no connection at %v: suspected %v, slow-start factor %v, lost at %v", now, next.restartSuspected(is), next.slowStartFactor(is), is.connectionLostAt)
	}
	if got := next.serversByID[list[3].ID].slowStartTokens; got != -7 {
		t.Errorf("the budget of a server in slow start is %v", got)
	}
	if ejectedServers(next) != 1 || next.classes[0].meanLatency != b.classes[0].meanLatency || next.concurrencyLimit != 17 || next.retryBudget != 3 {
		t.Errorf("%d ejected, latency %v, limit %v, budget %v", ejectedServers(next), next.classes[0].meanLatency, next.concurrencyLimit, next.retryBudget)
	}
	if was, is := b.successRate.rateAt(now+time.Second), next.successRate.rateAt(now+time.Second); math.Abs(was-is) > 1e-6 {
		t.Errorf("%v answers a second, %v before", is, was)
	}
	list[1].StartedAt = now // restarted since
	third, _ := start(testSettings(), 8)
	third.UpdateEndpoints(now+time.Second, UpdateCached, list)
	third.Restore(now+time.Second, snap)
	if third.serversByID[list[1].ID].ejected {
		t.Error("a server that has restarted is still ejected")
	}
}

// A snapshot says anything at all. The Balancer still sends to servers that are listed, and its numbers
// stay numbers.
func TestRecallBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		odd := rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Just(math.Inf(-1)))
		span := rapid.Custom(func(r *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(r, "ns")) })
		snap := Snapshot{
			SuccessRate: odd.Draw(r, "ok"), FailureRate: odd.Draw(r, "bad"), SendRate: odd.Draw(r, "sent"), RetryBudget: odd.Draw(r, "budget"),
			LatencyPressure: odd.Draw(r, "fill"), LatencySignal: odd.Draw(r, "crowd"), SmoothedInFlight: odd.Draw(r, "level"),
		}
		for range rapid.IntRange(0, 6).Draw(r, "classes") {
			snap.Classes = append(snap.Classes, ClassSnapshot{MeanLatency: odd.Draw(r, "latency"), UnloadedLatency: odd.Draw(r, "base"), MeanWorkHint: odd.Draw(r, "hint"), Answers: rapid.Int().Draw(r, "n"), ClientTimeout: span.Draw(r, "span"), ClientTimeoutVotes: rapid.Int().Draw(r, "votes")})
		}
		b, effects := start(testSettings(), 4)
		for _, e := range servers(4) {
			snap.Servers = append(snap.Servers, ServerSnapshot{
				ID: e.ID, StartedAt: e.StartedAt, LatencyRatio: odd.Draw(r, "stretch"), LatencyRatioAge: span.Draw(r, "seen"), Ejected: rapid.Bool().Draw(r, "ejected"),
				EjectedFor: span.Draw(r, "for"), EjectionMultiplier: rapid.Int().Draw(r, "x"), ConsecutiveFailures: rapid.Int().Draw(r, "run"), OverloadedLeft: 0, SlowStartTokens: odd.Draw(r, "tokens"),
			})
		}
		b.Restore(b.now, snap)
		if math.IsNaN(b.retryBudget+b.latencyPressure+b.latencySignal+b.smoothedInFlight+b.local.warmCapacity) || ejectedServers(b) > 1 {
			r.Fatalf("retry budget %v, pressure %v, signal %v, in flight %v, warm %v, %d ejected", b.retryBudget, b.latencyPressure, b.latencySignal, b.smoothedInFlight, b.local.warmCapacity, ejectedServers(b))
		}
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + time.Minute})
		if len(effects.sends) != 1 {
			r.Fatalf("nothing was sent: %+v", effects)
		}
	})
}

package decide

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// A second Balancer restores the snapshot of a first one: which servers are slow or ejected, the
// latencies of classes, and the budget of a server in slow start.
func TestSnapshotIsRestored(t *testing.T) {
	b, _ := start(testSettings(), 8)
	now := b.now
	list := servers(8)
	list[3].StartedAt = now - time.Second // the server is in slow start
	b.settings.SlowStartWindow, b.settings.SlowStartShare, b.settings.OverloadMultiple = 20*time.Second, 0.1, 2
	b.UpdateEndpoints(now, UpdateCached, list)
	b.serversByID[list[0].ID].recordLatencyRatio(5, now)
	b.eject(b.serversByID[list[1].ID], "test")
	b.serversByID[list[3].ID].slowStartTokens = -7
	b.classes[0].meanLatency, b.concurrencyLimit, b.retryBudget = float64(123*time.Millisecond), 17, 3
	b.successRate.add(now, 60)
	b.recordUnreachable(b.serversByID[list[5].ID], 0)

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
		before, after := b.serversByID[e.ID], next.serversByID[e.ID]
		if before.ejected != after.ejected || math.Abs(before.currentLatencyRatio(now)-after.currentLatencyRatio(now)) > 0.01 {
			t.Errorf("server %d: ejected is %v, latency ratio is %.2f; want %v and %.2f as before", i, after.ejected, after.currentLatencyRatio(now), before.ejected, before.currentLatencyRatio(now))
		}
	}
	if after := next.serversByID[list[5].ID]; !next.restartSuspected(after) || next.slowStartFactor(after) == 1 || after.unreachableAt != now {
		t.Errorf("server that was unreachable at %v: suspected is %v, slow-start factor is %v, unreachable at %v; want the restart suspected as before", now, next.restartSuspected(after), next.slowStartFactor(after), after.unreachableAt)
	}
	if got := next.serversByID[list[3].ID].slowStartTokens; got != -7 {
		t.Errorf("the budget of a server in slow start is %v, want -7", got)
	}
	if ejectedServers(next) != 1 || next.classes[0].meanLatency != b.classes[0].meanLatency || next.concurrencyLimit != 17 || next.retryBudget != 3 {
		t.Errorf("restored state has %d ejected servers, latency %v, limit %v and budget %v; want the values of the snapshot", ejectedServers(next), next.classes[0].meanLatency, next.concurrencyLimit, next.retryBudget)
	}
	if before, after := b.successRate.rateAt(now+time.Second), next.successRate.rateAt(now+time.Second); math.Abs(before-after) > 1e-6 {
		t.Errorf("success rate is %v a second, want %v as before", after, before)
	}
	list[1].StartedAt = now // the server has restarted since the snapshot
	third, _ := start(testSettings(), 8)
	third.UpdateEndpoints(now+time.Second, UpdateCached, list)
	third.Restore(now+time.Second, snap)
	if third.serversByID[list[1].ID].ejected {
		t.Error("server that has restarted is still ejected, want it in service")
	}
}

// A snapshot contains arbitrary values. The Balancer still sends to listed servers, and no value becomes NaN.
func TestRecallBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		number := rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Just(math.Inf(-1)))
		duration := rapid.Custom(func(r *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(r, "ns")) })
		snap := Snapshot{
			SuccessRate: number.Draw(r, "ok"), FailureRate: number.Draw(r, "bad"), SendRate: number.Draw(r, "sent"), RetryBudget: number.Draw(r, "budget"),
			LatencyPressure: number.Draw(r, "fill"), LatencySignal: number.Draw(r, "crowd"), SmoothedInFlight: number.Draw(r, "level"),
		}
		for range rapid.IntRange(0, 6).Draw(r, "classes") {
			snap.Classes = append(snap.Classes, ClassSnapshot{MeanLatency: number.Draw(r, "latency"), UnloadedLatency: number.Draw(r, "base"), MeanWorkHint: number.Draw(r, "hint"), Answers: rapid.Int().Draw(r, "n"), ClientTimeout: duration.Draw(r, "span"), ClientTimeoutVotes: rapid.Int().Draw(r, "votes")})
		}
		b, effects := start(testSettings(), 4)
		for _, e := range servers(4) {
			snap.Servers = append(snap.Servers, ServerSnapshot{
				ID: e.ID, StartedAt: e.StartedAt, LatencyRatio: number.Draw(r, "stretch"), LatencyRatioAge: duration.Draw(r, "seen"), Ejected: rapid.Bool().Draw(r, "ejected"),
				EjectedFor: duration.Draw(r, "for"), EjectionMultiplier: rapid.Int().Draw(r, "x"), ConsecutiveFailures: rapid.Int().Draw(r, "run"), OverloadedRemaining: 0, SlowStartTokens: number.Draw(r, "tokens"),
			})
		}
		b.Restore(b.now, snap)
		if math.IsNaN(b.retryBudget+b.latencyPressure+b.latencySignal+b.smoothedInFlight+b.local.warmCapacity) || ejectedServers(b) > 1 {
			r.Fatalf("retry budget %v, pressure %v, signal %v, in flight %v, warm %v, %d ejected", b.retryBudget, b.latencyPressure, b.latencySignal, b.smoothedInFlight, b.local.warmCapacity, ejectedServers(b))
		}
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + time.Minute})
		if len(effects.sends) != 1 {
			r.Fatalf("request was not sent once: %+v", effects)
		}
	})
}

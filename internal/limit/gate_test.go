package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGateNeverExceedsItsPlaces: requests of several tenants arrive, wait, give up and end at random, and the
// limits change. Never more are in flight or queued than allowed, and none waits for ever.
func TestGateNeverExceedsItsPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most, queue := rapid.IntRange(1, 12).Draw(t, "places"), rapid.IntRange(0, 12).Draw(t, "queue")
		set := GateSettings{Concurrent: most, Queue: queue, QueueWait: time.Second, Tenants: map[string]TenantSettings{
			"a": {Weight: 3}, "b": {Concurrent: 2}, Others: {},
		}}
		g := NewGate(set)
		in := make(map[string]int)
		queued := make(map[uint64]string)
		admitted := func(tickets []uint64) {
			for _, id := range tickets {
				name, ok := queued[id]
				if !ok {
					t.Fatalf("ticket %d is admitted and was not queued", id)
				}
				delete(queued, id)
				in[name]++
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			name := g.Tenant(rapid.SampledFrom([]string{"a", "b", "x", "y"}).Draw(t, "tenant"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				switch v, id, _ := g.Arrive(0, name); v {
				case Admitted:
					in[name]++
				case Queued:
					queued[id] = name
				}
			case 2:
				if in[name] > 0 {
					in[name]--
					admitted(g.Done(name))
				}
			case 3:
				for id := range queued {
					if !g.Leave(id) {
						t.Fatalf("ticket %d cannot leave", id)
					}
					delete(queued, id)
					break
				}
			case 4:
				set.Concurrent = rapid.IntRange(1, 12).Draw(t, "places now")
				most = max(most, set.Concurrent)
				admitted(g.Configure(set))
			}
			sum := 0
			for _, n := range in {
				sum += n
			}
			if sum != g.Held() || sum > most || in["b"] > 2 || len(queued) != g.Waiting() || len(queued) > queue {
				t.Fatalf("in flight %v of %d, counted %d; %d queued of %d, counted %d", in, most, g.Held(), len(queued), queue, g.Waiting())
			}
			if len(g.tenants) > 3 {
				t.Fatalf("%d tenants are known, want 3 at the most", len(g.tenants))
			}
		}
		for name, n := range in {
			for range n {
				in[name]--
				admitted(g.Done(name))
			}
		}
		for len(queued) > 0 { // those admitted meanwhile end, too
			before := len(queued)
			for name, n := range in {
				if n > 0 {
					in[name]--
					admitted(g.Done(name))
				}
			}
			if len(queued) == before {
				t.Fatalf("%d wait for ever, with %v in flight", len(queued), in)
			}
		}
	})
}

// TestGateSharesFairly: one tenant floods a gate. Another one's request still finds a place, and queued
// requests of both are admitted by their weights.
func TestGateSharesFairly(t *testing.T) {
	g := NewGate(GateSettings{Concurrent: 10, Queue: 100, QueueWait: time.Second, Tenants: map[string]TenantSettings{"flood": {Weight: 1}, "calm": {Weight: 3}}})
	queued := make(map[uint64]string)
	for range 60 {
		if v, id, _ := g.Arrive(0, "flood"); v == Queued {
			queued[id] = "flood"
		}
	}
	if g.Held() != 8 {
		t.Fatalf("the flood has %d of 10 places, want 8", g.Held())
	}
	if v, _, _ := g.Arrive(0, "calm"); v != Admitted {
		t.Fatalf("calm's request during the flood: %v", v)
	}
	for range 40 {
		if v, id, _ := g.Arrive(0, "calm"); v == Queued {
			queued[id] = "calm"
		}
	}
	served := make(map[string]int)
	for range 8 {
		for _, id := range g.Done("flood") {
			served[queued[id]]++
		}
	}
	// Calm had 2 places and has its share of 6 now; what is left stays in reserve.
	if served["calm"] != 4 || served["flood"] > 2 {
		t.Errorf("of 8 places given back: %v", served)
	}
	if v, _, _ := NewGate(GateSettings{Tenants: map[string]TenantSettings{"a": {Rate: 1}}}).Arrive(0, "a"); v != Admitted {
		t.Errorf("the first within its rate: %v", v)
	}
}

// TestGateTellsTenantLimitFromServiceLimit: a tenant beyond its own rate gets another verdict than one that
// finds the service's used up.
func TestGateTellsTenantLimitFromServiceLimit(t *testing.T) {
	g := NewGate(GateSettings{Rate: 2, Burst: 2, Tenants: map[string]TenantSettings{"a": {Rate: 1}}})
	for i, want := range []Verdict{Admitted, TooMany} {
		if v, _, wait := g.Arrive(0, "a"); v != want || (wait > 0) != (v == TooMany) {
			t.Errorf("request %d of a: %v, wait %v", i, v, wait)
		}
	}
	for i, want := range []Verdict{Admitted, Crowded} {
		if v, _, wait := g.Arrive(0, Others); v != want || (wait > 0) != (v == Crowded) {
			t.Errorf("request %d of others: %v, wait %v", i, v, wait)
		}
	}
}

// TestGateHoldsOnlyTenantsThatCame: of a tenant that has sent no request the gate holds nothing but its
// weight; one that is no longer named counts until its requests have ended.
func TestGateHoldsOnlyTenantsThatCame(t *testing.T) {
	set := GateSettings{Concurrent: 10, Tenants: make(map[string]TenantSettings)}
	for i := range 9 {
		set.Tenants[fmt.Sprint("tenant-", i)] = TenantSettings{}
	}
	g := NewGate(set)
	if len(g.tenants) > 0 {
		t.Errorf("%d tenants are known before one came", len(g.tenants))
	}
	in := 0
	for range 10 {
		if v, _, _ := g.Arrive(0, "tenant-0"); v == Admitted {
			in++
		}
	}
	// A fifth of the places is in reserve for the other eight and for those not named.
	if in != 8 || len(g.tenants) != 1 {
		t.Errorf("%d requests in flight of %d tenants, want 8 of one", in, len(g.tenants))
	}
	// It keeps its eight places when it is no longer named, and counts until it has given them back.
	g.Configure(GateSettings{Concurrent: 10, Tenants: map[string]TenantSettings{"other": {Weight: 8}}})
	if g.Held() != 8 || g.weights != 10 {
		t.Errorf("%d in flight and a weight of %g, want 8 and 10", g.Held(), g.weights)
	}
}

// TestGateForgetsOtherTenantsLimits: the limits of tenants not named are taken out of the settings. They hold
// no longer.
func TestGateForgetsOtherTenantsLimits(t *testing.T) {
	g := NewGate(GateSettings{Tenants: map[string]TenantSettings{Others: {Concurrent: 1}}})
	for i, want := range []Verdict{Admitted, TooMany} {
		if got, _, _ := g.Arrive(0, Others); got != want {
			t.Errorf("request %d: %v, want %v", i, got, want)
		}
	}
	g.Configure(GateSettings{})
	if got, _, _ := g.Arrive(0, Others); got != Admitted {
		t.Errorf("without limits: %v", got)
	}
}

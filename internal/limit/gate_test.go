package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// gateModel is a gate with what a property test expects of it.
type gateModel struct {
	*rapid.T
	gate       *Gate
	settings   GateSettings
	mostPlaces int               // that the settings ever allowed
	inFlight   map[string]int    // by tenant
	queued     map[uint64]string // tenants, by ticket
}

// TestGateNeverExceedsItsPlaces: requests of several tenants arrive, wait, give up and end at random, and the
// limits change. Never more are in flight or queued than allowed, and none waits for ever.
func TestGateNeverExceedsItsPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{T: t, inFlight: make(map[string]int), queued: make(map[uint64]string)}
		m.settings = GateSettings{
			Concurrent: rapid.IntRange(1, 12).Draw(t, "places"), Queue: rapid.IntRange(0, 12).Draw(t, "queue"), QueueWait: time.Second,
			Tenants: map[string]TenantSettings{"a": {Weight: 3}, "b": {Concurrent: 2}, OtherTenants: {}},
		}
		m.mostPlaces = m.settings.Concurrent
		m.gate = NewGate(m.settings)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			name := m.gate.TenantKey(rapid.SampledFrom([]string{"a", "b", "x", "y"}).Draw(t, "tenant"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				m.arrive(name)
			case 2:
				if m.inFlight[name] > 0 {
					m.end(name)
				}
			case 3:
				m.giveUp()
			case 4:
				m.settings.Concurrent = rapid.IntRange(1, 12).Draw(t, "places now")
				m.mostPlaces = max(m.mostPlaces, m.settings.Concurrent)
				m.admitted(m.gate.Configure(m.settings))
			}
			m.check()
		}
		m.endAll()
	})
}

func (m *gateModel) arrive(name string) {
	switch verdict, ticket, _ := m.gate.Arrive(0, name); verdict {
	case Admitted:
		m.inFlight[name]++
	case Queued:
		m.queued[ticket] = name
	}
}

// end ends a request of a tenant.
func (m *gateModel) end(name string) {
	m.inFlight[name]--
	m.admitted(m.gate.Release(name))
}

// giveUp takes any queued request out of the queue.
func (m *gateModel) giveUp() {
	for ticket := range m.queued {
		if !m.gate.CancelTicket(ticket) {
			m.Fatalf("ticket %d cannot leave the queue", ticket)
		}
		delete(m.queued, ticket)
		return
	}
}

// admitted notes the tickets that the gate has admitted.
func (m *gateModel) admitted(tickets []uint64) {
	for _, ticket := range tickets {
		name, ok := m.queued[ticket]
		if !ok {
			m.Fatalf("ticket %d is admitted and was not queued", ticket)
		}
		delete(m.queued, ticket)
		m.inFlight[name]++
	}
}

// check checks that the gate counts right and stays within its limits.
func (m *gateModel) check() {
	sum := 0
	for _, n := range m.inFlight {
		sum += n
	}
	if sum != m.gate.InFlight() || sum > m.mostPlaces || m.inFlight["b"] > 2 {
		m.Fatalf("in flight %v of %d, counted %d", m.inFlight, m.mostPlaces, m.gate.InFlight())
	}
	if len(m.queued) != m.gate.QueueLength() || len(m.queued) > m.settings.Queue {
		m.Fatalf("%d queued of %d, counted %d", len(m.queued), m.settings.Queue, m.gate.QueueLength())
	}
	if len(m.gate.tenants) > 3 {
		m.Fatalf("%d tenants are known, want 3 at the most", len(m.gate.tenants))
	}
}

// endAll ends all requests, those that are admitted meanwhile, too: none may be left in the queue.
func (m *gateModel) endAll() {
	for name, n := range m.inFlight {
		for range n {
			m.end(name)
		}
	}
	for len(m.queued) > 0 {
		before := len(m.queued)
		for name, n := range m.inFlight {
			if n > 0 {
				m.end(name)
			}
		}
		if len(m.queued) == before {
			m.Fatalf("%d wait for ever, with %v in flight", len(m.queued), m.inFlight)
		}
	}
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
	if g.InFlight() != 8 {
		t.Fatalf("the flood has %d of 10 places, want 8", g.InFlight())
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
		for _, id := range g.Release("flood") {
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
	for i, want := range []Verdict{Admitted, TenantLimited} {
		if v, _, wait := g.Arrive(0, "a"); v != want || (wait > 0) != (v == TenantLimited) {
			t.Errorf("request %d of a: %v, wait %v", i, v, wait)
		}
	}
	for i, want := range []Verdict{Admitted, AtCapacity} {
		if v, _, wait := g.Arrive(0, OtherTenants); v != want || (wait > 0) != (v == AtCapacity) {
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
	if g.InFlight() != 8 || g.weights != 10 {
		t.Errorf("%d in flight and a weight of %g, want 8 and 10", g.InFlight(), g.weights)
	}
}

// TestGateForgetsOtherTenantsLimits: the limits of tenants not named are taken out of the settings. They hold
// no longer.
func TestGateForgetsOtherTenantsLimits(t *testing.T) {
	g := NewGate(GateSettings{Tenants: map[string]TenantSettings{OtherTenants: {Concurrent: 1}}})
	for i, want := range []Verdict{Admitted, TenantLimited} {
		if got, _, _ := g.Arrive(0, OtherTenants); got != want {
			t.Errorf("request %d: %v, want %v", i, got, want)
		}
	}
	g.Configure(GateSettings{})
	if got, _, _ := g.Arrive(0, OtherTenants); got != Admitted {
		t.Errorf("without limits: %v", got)
	}
}

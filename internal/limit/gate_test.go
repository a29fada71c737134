package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// gateModel is a gate with its expected state, for a property test.
type gateModel struct {
	*rapid.T
	gate     *Gate
	settings GateSettings
	maxSlots int               // the most slots that any settings so far allowed
	inFlight map[string]int    // number of requests, by tenant
	queued   map[uint64]string // tenants, by ticket
}

// TestGateNeverExceedsItsSlots: requests of several tenants arrive, wait, are cancelled and end at random, and the
// limits change. The requests in flight and in the queue never exceed the limits, and no request waits forever.
func TestGateNeverExceedsItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &gateModel{T: t, inFlight: make(map[string]int), queued: make(map[uint64]string)}
		model.settings = GateSettings{
			Concurrent: rapid.IntRange(1, 12).Draw(t, "slots"), Queue: rapid.IntRange(0, 12).Draw(t, "queue"), QueueWait: time.Second,
			Tenants: map[string]TenantSettings{"a": {Weight: 3}, "b": {Concurrent: 2}, OtherTenantsKey: {}},
		}
		model.maxSlots = model.settings.Concurrent
		model.gate = NewGate(model.settings)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			name := model.gate.TenantKey(rapid.SampledFrom([]string{"a", "b", "x", "y"}).Draw(t, "tenant"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				model.arrive(name)
			case 2:
				if model.inFlight[name] > 0 {
					model.end(name)
				}
			case 3:
				model.cancel()
			case 4:
				model.settings.Concurrent = rapid.IntRange(1, 12).Draw(t, "new slots")
				model.maxSlots = max(model.maxSlots, model.settings.Concurrent)
				model.admitted(model.gate.Configure(model.settings))
			}
			model.check()
		}
		model.endAll()
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

// cancel cancels any queued request.
func (m *gateModel) cancel() {
	for ticket := range m.queued {
		if !m.gate.CancelTicket(ticket) {
			m.Fatalf("ticket %d cannot be cancelled", ticket)
		}
		delete(m.queued, ticket)
		return
	}
}

// admitted records the tickets that the gate has admitted.
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

// check checks the gate's counts, and that they are within the limits.
func (m *gateModel) check() {
	sum := 0
	for _, n := range m.inFlight {
		sum += n
	}
	if sum != m.gate.InFlight() || sum > m.maxSlots || m.inFlight["b"] > 2 {
		m.Fatalf("in flight %v with %d slots, counted %d", m.inFlight, m.maxSlots, m.gate.InFlight())
	}
	if len(m.queued) != m.gate.QueueLength() || len(m.queued) > m.settings.Queue {
		m.Fatalf("%d queued of %d, counted %d", len(m.queued), m.settings.Queue, m.gate.QueueLength())
	}
	if len(m.gate.tenants) > 3 {
		m.Fatalf("%d tenants are in memory, want at most 3", len(m.gate.tenants))
	}
}

// endAll ends all requests, including those that are admitted meanwhile. None may remain in the queue.
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
			m.Fatalf("%d requests wait forever, with %v in flight", len(m.queued), m.inFlight)
		}
	}
}

// TestGateSharesFairly: one tenant floods a gate. A request of another tenant still gets a slot, and queued requests
// of both are admitted by their weights.
func TestGateSharesFairly(t *testing.T) {
	gate := NewGate(GateSettings{Concurrent: 10, Queue: 100, QueueWait: time.Second, Tenants: map[string]TenantSettings{"flood": {Weight: 1}, "calm": {Weight: 3}}})
	queued := make(map[uint64]string)
	for range 60 {
		if v, id, _ := gate.Arrive(0, "flood"); v == Queued {
			queued[id] = "flood"
		}
	}
	if gate.InFlight() != 8 {
		t.Fatalf("the tenant flood has %d of 10 slots, want 8", gate.InFlight())
	}
	if v, _, _ := gate.Arrive(0, "calm"); v != Admitted {
		t.Fatalf("verdict on the request of calm during the flood: %v, want %v", v, Admitted)
	}
	for range 40 {
		if v, id, _ := gate.Arrive(0, "calm"); v == Queued {
			queued[id] = "calm"
		}
	}
	served := make(map[string]int)
	for range 8 {
		for _, id := range gate.Release("flood") {
			served[queued[id]]++
		}
	}
	// The tenant calm had 2 slots and has its share of 6 now; the remaining slots stay reserved.
	if served["calm"] != 4 || served["flood"] > 2 {
		t.Errorf("requests admitted to the 8 released slots: %v, want 4 of calm and at most 2 of flood", served)
	}
	if v, _, _ := NewGate(GateSettings{Tenants: map[string]TenantSettings{"a": {Rate: 1}}}).Arrive(0, "a"); v != Admitted {
		t.Errorf("verdict on the first request within the rate: %v, want %v", v, Admitted)
	}
}

// TestGateDistinguishesTenantLimitFromServiceLimit: a tenant that exceeds its own rate gets another verdict than a
// tenant whose request exceeds the rate of the service.
func TestGateDistinguishesTenantLimitFromServiceLimit(t *testing.T) {
	g := NewGate(GateSettings{Rate: 2, Burst: 2, Tenants: map[string]TenantSettings{"a": {Rate: 1}}})
	for i, want := range []Verdict{Admitted, TenantLimited} {
		if v, _, wait := g.Arrive(0, "a"); v != want || (wait > 0) != (v == TenantLimited) {
			t.Errorf("request %d of a: verdict %v, wait %v; want %v", i, v, wait, want)
		}
	}
	for i, want := range []Verdict{Admitted, AtCapacity} {
		if v, _, wait := g.Arrive(0, OtherTenantsKey); v != want || (wait > 0) != (v == AtCapacity) {
			t.Errorf("request %d of other tenants: verdict %v, wait %v; want %v", i, v, wait, want)
		}
	}
}

// TestGateStoresOnlyTenantsWithRequests: the gate stores nothing except the weight of a tenant that has sent no
// request. A tenant that is no longer named counts until its requests have ended.
func TestGateStoresOnlyTenantsWithRequests(t *testing.T) {
	set := GateSettings{Concurrent: 10, Tenants: make(map[string]TenantSettings)}
	for i := range 9 {
		set.Tenants[fmt.Sprint("tenant-", i)] = TenantSettings{}
	}
	gate := NewGate(set)
	if len(gate.tenants) > 0 {
		t.Errorf("%d tenants are in memory before the first request, want 0", len(gate.tenants))
	}
	in := 0
	for range 10 {
		if v, _, _ := gate.Arrive(0, "tenant-0"); v == Admitted {
			in++
		}
	}
	// A fifth of the slots is reserved for the other eight tenants and for those not named.
	if in != 8 || len(gate.tenants) != 1 {
		t.Errorf("%d requests in flight of %d tenants, want 8 of 1", in, len(gate.tenants))
	}
	// The tenant keeps its eight slots when it is no longer named, and counts until it has released them.
	gate.Configure(GateSettings{Concurrent: 10, Tenants: map[string]TenantSettings{"other": {Weight: 8}}})
	if gate.InFlight() != 8 || gate.weights != 10 {
		t.Errorf("gate has %d requests in flight and a weight of %g, want 8 and 10", gate.InFlight(), gate.weights)
	}
}

// TestGateRemovesOtherTenantsLimits: the limits of tenants that are not named are removed from the settings. They
// must no longer apply.
func TestGateRemovesOtherTenantsLimits(t *testing.T) {
	g := NewGate(GateSettings{Tenants: map[string]TenantSettings{OtherTenantsKey: {Concurrent: 1}}})
	for i, want := range []Verdict{Admitted, TenantLimited} {
		if got, _, _ := g.Arrive(0, OtherTenantsKey); got != want {
			t.Errorf("request %d: verdict %v, want %v", i, got, want)
		}
	}
	g.Configure(GateSettings{})
	if got, _, _ := g.Arrive(0, OtherTenantsKey); got != Admitted {
		t.Errorf("verdict on a request without limits: %v, want %v", got, Admitted)
	}
}

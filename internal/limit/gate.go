package limit

import "time"

// OtherTenantsKey is the name under which all tenants are counted that the settings do not name. Names that clients
// invent must not take memory.
const OtherTenantsKey = ""

// GateSettings are the limits of one service or pool. A zero value means no limit.
type GateSettings struct {
	Rate, Burst float64                   // requests per second, and the burst size in requests
	Concurrent  int                       // requests in flight at a time: the number of slots
	Queue       int                       // requests that may wait for a slot
	QueueWait   time.Duration             // how long a request may wait for a slot
	Tenants     map[string]TenantSettings // the entry OtherTenantsKey applies to all tenants that are not named
}

// TenantSettings are the limits of one tenant. A zero value means no limit.
type TenantSettings struct {
	Rate, Burst float64 // requests per second, and the burst size in requests
	Concurrent  int     // requests in flight at a time
	Weight      float64 // the tenant's share of the slots, relative to other tenants with requests; 0 means 1
}

func (s TenantSettings) weight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// Verdict is a gate's decision on a request.
type Verdict uint8

// The verdicts of a gate.
const (
	Admitted      Verdict = iota
	Queued                // the request waits for a slot
	TenantLimited         // rejected: the tenant exceeds its own limits (429)
	AtCapacity            // rejected: the service or pool is at its limits (503)
)

// Gate admits requests within a service's or a pool's limits, and shares its slots fairly among tenants: some
// slots are reserved for tenants below their fair share, so that a flood of one tenant's requests does not
// starve the others. Free slots are given to queued requests by weighted fair queueing. A Gate is not safe for
// concurrent use.
type Gate struct {
	settings   GateSettings
	bucket     Bucket
	tenants    map[string]*tenant // tenants that have sent requests: most named tenants may never send one
	weights    float64            // sum over the named tenants, and the tenants no longer named that still have requests
	inFlight   int
	lastTicket uint64
	queued     map[uint64]*waiter // queued requests by ticket
}

// reservedShare is the part of the slots, and of the queue, that is reserved for tenants below their fair share.
const reservedShare = 0.2

// NewGate returns a gate without requests.
func NewGate(settings GateSettings) *Gate {
	g := &Gate{tenants: make(map[string]*tenant), queued: make(map[uint64]*waiter)}
	g.Configure(settings)
	return g
}

// Configure changes the limits and returns the tickets of queued requests that are admitted by the change. All
// other requests in flight or queued stay so.
func (g *Gate) Configure(settings GateSettings) (admitted []uint64) {
	g.settings = settings
	g.bucket.Rate, g.bucket.Burst = settings.Rate, settings.Burst
	g.weights = 0
	for _, ts := range settings.Tenants {
		g.weights += ts.weight()
	}
	if _, named := settings.Tenants[OtherTenantsKey]; !named {
		g.weights += TenantSettings{}.weight()
	}
	for name, t := range g.tenants {
		ts, named := settings.Tenants[name]
		if !named && name != OtherTenantsKey {
			if t.inFlight == 0 && t.queue.Len() == 0 {
				delete(g.tenants, name)
				continue
			}
			g.weights += ts.weight()
			t.bucket = Bucket{}
		}
		t.configure(ts)
	}
	return g.admitQueued()
}

// Idle reports whether no request is in flight or queued.
func (g *Gate) Idle() bool { return g.inFlight == 0 && len(g.queued) == 0 }

// QueueWait returns how long a request may wait for a slot.
func (g *Gate) QueueWait() time.Duration { return g.settings.QueueWait }

// TenantKey returns the name under which a tenant is counted: its own, or OtherTenantsKey if it is not named.
func (g *Gate) TenantKey(name string) string {
	if _, named := g.settings.Tenants[name]; named {
		return name
	}
	return OtherTenantsKey
}

// Arrive admits, queues or rejects a request of a tenant, under the name that TenantKey returns. It checks, in
// this order:
//
//  1. the tenant's rate and the gate's: without a token the request is rejected, with the wait until there
//     is one. Tokens are spent even if the request is then rejected for lack of slots;
//  2. the slots: if the tenant has nothing queued and hasSlot returns true, the request is admitted;
//  3. the queue, which is shared by the same rule as the slots: the request is queued, with a ticket, or
//     rejected with a wait of 0, which means unknown.
func (g *Gate) Arrive(now time.Duration, name string) (v Verdict, ticket uint64, wait time.Duration) {
	t := g.tenant(name)
	if ok, wait := t.bucket.Take(now); !ok {
		return TenantLimited, 0, wait
	}
	if ok, wait := g.bucket.Take(now); !ok {
		t.bucket.Return()
		return AtCapacity, 0, wait
	}
	if t.queue.Len() == 0 && g.hasSlot(t) {
		g.admit(t)
		return Admitted, 0, 0
	}
	if !g.mayHaveOneMore(t, t.queue.Len(), len(g.queued), g.settings.Queue) {
		if t.atLimit() {
			return TenantLimited, 0, 0
		}
		return AtCapacity, 0, 0
	}
	return Queued, g.enqueue(t), 0
}

// hasSlot reports whether a tenant may have a slot now.
func (g *Gate) hasSlot(t *tenant) bool {
	if t.atLimit() {
		return false
	}
	return g.settings.Concurrent <= 0 || g.mayHaveOneMore(t, t.inFlight, g.inFlight, g.settings.Concurrent)
}

// mayHaveOneMore is the rule of fair shares, both for the slots and for the places in the queue. It reports whether
// a tenant may have one more of the slots, given how many the tenant has (own) and how many all tenants have
// (used). reservedShare of the slots is for tenants below their fair share, by weight. These slots stay free
// while such tenants have no requests, as a request in flight of one tenant cannot be cancelled for another's.
// If the settings name no tenants, no slots are reserved.
func (g *Gate) mayHaveOneMore(t *tenant, own, used, slots int) bool {
	if used >= slots {
		return false
	}
	if len(g.settings.Tenants) == 0 || float64(slots-used) > reservedShare*float64(slots) {
		return true
	}
	return float64(own) < float64(slots)*t.weight()/g.weights
}

func (g *Gate) admit(t *tenant) {
	t.inFlight++
	g.inFlight++
	t.served += 1 / t.weight()
}

// Release releases the slot of a request, under the name that TenantKey returned when the request arrived, and
// returns the tickets that are admitted by that. It panics if the tenant has no request in flight, which is a bug
// of the caller.
func (g *Gate) Release(name string) (admitted []uint64) {
	t := g.tenants[name]
	if t == nil || t.inFlight == 0 {
		panic("limit: a slot is released that no request has")
	}
	t.inFlight--
	g.inFlight--
	return g.admitQueued()
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int { return g.inFlight }

// QueueLength returns the number of queued requests.
func (g *Gate) QueueLength() int { return len(g.queued) }

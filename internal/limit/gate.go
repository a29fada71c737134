package limit

import "time"

// OtherTenants is the tenant that stands for all that the settings do not name: names that clients make up must
// not grow any table.
const OtherTenants = ""

// GateSettings are the limits of one service or pool. Zero values limit nothing.
type GateSettings struct {
	Rate, Burst float64                   // requests a second, and at once
	Concurrent  int                       // requests in flight at a time: the places
	Queue       int                       // requests that may wait for a place
	QueueWait   time.Duration             // how long one may wait
	Tenants     map[string]TenantSettings // OtherTenants is for all tenants not named
}

// TenantSettings are the limits of one tenant. Zero values limit nothing.
type TenantSettings struct {
	Rate, Burst float64 // requests a second, and at once
	Concurrent  int     // requests in flight at a time
	Weight      float64 // its share of the places, relative to other tenants that want some; 0 stands for 1
}

func (s TenantSettings) weight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// Verdict says what becomes of a request at a gate.
type Verdict uint8

// What becomes of a request at a gate.
const (
	Admitted      Verdict = iota
	Queued                // waits for a place
	TenantLimited         // rejected, as its tenant exceeds its own limits (429)
	AtCapacity            // rejected, as the service or pool is at its limits (503)
)

// Gate admits requests within a service's or a pool's limits, and shares its places fairly among tenants: a
// tenant below its fair share of the places finds one in reserve, so that a flood of another's requests does
// not crowd it out. Queued requests get free places in turns by weight.
type Gate struct {
	settings   GateSettings
	bucket     Bucket
	tenants    map[string]*tenant // those that have come: most that are named may never
	weights    float64            // of all tenants that are named, and of those no longer named that still have requests
	inFlight   int
	lastTicket uint64
	queued     map[uint64]*waiter // by ticket
}

// reservedShare is the part of the places, and of the queue, that only tenants below their fair share get.
const reservedShare = 0.2

// NewGate makes an empty gate.
func NewGate(settings GateSettings) *Gate {
	g := &Gate{tenants: make(map[string]*tenant), queued: make(map[uint64]*waiter)}
	g.Configure(settings)
	return g
}

// Configure changes the limits and returns the tickets admitted by that. Requests in flight or queued stay
// so.
func (g *Gate) Configure(settings GateSettings) (admitted []uint64) {
	g.settings = settings
	g.bucket.Rate, g.bucket.Burst = settings.Rate, settings.Burst
	g.weights = 0
	for _, ts := range settings.Tenants {
		g.weights += ts.weight()
	}
	if _, named := settings.Tenants[OtherTenants]; !named {
		g.weights += TenantSettings{}.weight()
	}
	for name, t := range g.tenants {
		ts, named := settings.Tenants[name]
		if !named && name != OtherTenants {
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

// QueueWait is how long a request may wait for a place.
func (g *Gate) QueueWait() time.Duration { return g.settings.QueueWait }

// TenantKey gives the name under which a tenant is counted.
func (g *Gate) TenantKey(name string) string {
	if _, named := g.settings.Tenants[name]; named {
		return name
	}
	return OtherTenants
}

// Arrive is the one rule that admits, queues or rejects a request of a tenant, under the name that TenantKey
// gives. In this order:
//
//  1. the tenant's rate and the gate's: without a token the request is rejected, with the wait until there
//     is one. Tokens are spent even where the request is then rejected for want of room;
//  2. a place, if nothing of the tenant is queued and hasPlace says that it may have one: it is admitted;
//  3. the queue, shared by the same rule as the places: it is queued, with a ticket, or rejected with no
//     known wait.
func (g *Gate) Arrive(now time.Duration, name string) (v Verdict, ticket uint64, wait time.Duration) {
	t := g.tenant(name)
	if ok, wait := t.bucket.Take(now); !ok {
		return TenantLimited, 0, wait
	}
	if ok, wait := g.bucket.Take(now); !ok {
		t.bucket.Return()
		return AtCapacity, 0, wait
	}
	if t.queue.Len() == 0 && g.hasPlace(t) {
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

// hasPlace reports whether a tenant may have a place now.
func (g *Gate) hasPlace(t *tenant) bool {
	if t.atLimit() {
		return false
	}
	return g.settings.Concurrent <= 0 || g.mayHaveOneMore(t, t.inFlight, g.inFlight, g.settings.Concurrent)
}

// mayHaveOneMore is the rule of fair shares, for the places and for the queue alike. It reports whether a
// tenant may have one more place, given how many it has (own) and how many are taken by all (used). A
// reservedShare of the places is for tenants below their fair share, by weight, and stays empty while these ask for nothing: what one tenant has
// in flight cannot be called back for another. Where no tenants are named there is nothing to share.
func (g *Gate) mayHaveOneMore(t *tenant, own, used, places int) bool {
	if used >= places {
		return false
	}
	if len(g.settings.Tenants) == 0 || float64(places-used) > reservedShare*float64(places) {
		return true
	}
	return float64(own) < float64(places)*t.weight()/g.weights
}

func (g *Gate) admit(t *tenant) {
	t.inFlight++
	g.inFlight++
	t.served += 1 / t.weight()
}

// Release gives back the place of a request, under the name that TenantKey gave when it arrived, and returns the
// tickets admitted for it. A place that nobody has is a bug of the caller: it panics.
func (g *Gate) Release(name string) (admitted []uint64) {
	t := g.tenants[name]
	if t == nil || t.inFlight == 0 {
		panic("limit: a place is given back that no request has")
	}
	t.inFlight--
	g.inFlight--
	return g.admitQueued()
}

// InFlight counts the requests in flight.
func (g *Gate) InFlight() int { return g.inFlight }

// QueueLength counts the queued requests.
func (g *Gate) QueueLength() int { return len(g.queued) }

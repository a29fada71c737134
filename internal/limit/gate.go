package limit

import (
	"container/list"
	"time"
)

// Others is the tenant that stands for all that the settings do not name: what
// strangers call themselves must not grow any table.
const Others = ""

// GateSettings are the limits of one service. Zero values limit nothing.
type GateSettings struct {
	Rate, Burst float64 // requests a second, and at once
	Concurrent  int     // requests held at a time
	// Queue is how many requests may wait for a place, QueueWait how long one may.
	Queue     int
	QueueWait time.Duration
	Tenants   map[string]TenantSettings // Others is for all tenants not named
}

// TenantSettings are the limits of one tenant. Weight is its share of the
// service's places against other tenants that want some; 0 stands for 1.
type TenantSettings struct {
	Rate, Burst float64
	Concurrent  int
	Weight      float64
}

// Verdict says what becomes of a request at the gate.
type Verdict uint8

// A request is let in, waits for a place, or is refused. TooMany is the tenant's
// own doing (429), Crowded is not (503).
const (
	Admitted Verdict = iota
	Queued
	TooMany
	Crowded
)

// Gate holds a service's places and shares them among its tenants: a tenant below
// its fair share of the places finds one in reserve, so that a flood of another
// does not crowd it out. Waiting requests get free places by turns of weight.
type Gate struct {
	set     GateSettings
	bucket  Bucket
	tenants map[string]*tenant // those that have come: most that are named may never
	weights float64            // of all that are named, and of those no longer named that have not left
	held    int
	ticket  uint64             // the last one
	waiting map[uint64]*waiter // by ticket
}

type tenant struct {
	TenantSettings
	name    string
	bucket  Bucket
	held    int
	passed  float64   // work let in by weight: the least is served next
	waiters list.List // of *waiter
}

type waiter struct {
	id uint64
	t  *tenant
	at *list.Element // in the tenant's line
}

// reserve is the part of the places that only tenants below their fair share get.
const reserve = 0.2

// NewGate makes an empty gate.
func NewGate(set GateSettings) *Gate {
	g := &Gate{tenants: make(map[string]*tenant), waiting: make(map[uint64]*waiter)}
	g.Configure(set)
	return g
}

// Configure changes the limits and returns the tickets let in by that. What is
// held and who waits stay.
func (g *Gate) Configure(set GateSettings) []uint64 {
	g.set = set
	g.bucket.Rate, g.bucket.Burst = set.Rate, set.Burst
	g.weights = 0
	for _, ts := range set.Tenants {
		g.weights += ts.weight()
	}
	if _, named := set.Tenants[Others]; !named {
		g.weights += TenantSettings{}.weight()
	}
	for name, t := range g.tenants {
		ts, named := set.Tenants[name]
		if !named && name != Others {
			if t.held == 0 && t.waiters.Len() == 0 {
				delete(g.tenants, name)
				continue
			}
			g.weights += ts.weight()
			t.bucket = Bucket{}
		}
		t.configure(ts)
	}
	return g.admit()
}

// QueueWait is how long a request may wait for a place.
func (g *Gate) QueueWait() time.Duration { return g.set.QueueWait }

func (g *Gate) tenant(name string) *tenant {
	t := g.tenants[name]
	if t == nil {
		t = &tenant{name: name}
		t.configure(g.set.Tenants[name])
		g.tenants[name] = t
	}
	return t
}

// Tenant gives the name under which a tenant is counted.
func (g *Gate) Tenant(name string) string {
	if _, named := g.set.Tenants[name]; named {
		return name
	}
	return Others
}

// Arrive decides on a request of a tenant, under the name that Tenant gives. A ticket stands for
// one that waits; wait is when to come back, where that is known.
func (g *Gate) Arrive(now time.Duration, name string) (v Verdict, ticket uint64, wait time.Duration) {
	t := g.tenant(name)
	if ok, wait := t.bucket.Take(now); !ok {
		return TooMany, 0, wait
	}
	if ok, wait := g.bucket.Take(now); !ok {
		t.bucket.Back()
		return Crowded, 0, wait
	}
	if t.waiters.Len() == 0 && g.room(t) {
		g.let(t)
		return Admitted, 0, 0
	}
	if !g.fits(t, t.waiters.Len(), len(g.waiting), g.set.Queue) {
		if t.Concurrent > 0 && t.held >= t.Concurrent {
			return TooMany, 0, 0
		}
		return Crowded, 0, 0
	}
	g.ticket++
	w := &waiter{id: g.ticket, t: t}
	if t.waiters.Len() == 0 {
		t.passed = max(t.passed, g.least()) // idling earns nothing
	}
	w.at = t.waiters.PushBack(w)
	g.waiting[w.id] = w
	return Queued, w.id, 0
}

// room says whether a tenant may have a place now.
func (g *Gate) room(t *tenant) bool {
	if t.Concurrent > 0 && t.held >= t.Concurrent {
		return false
	}
	return g.set.Concurrent <= 0 || g.fits(t, t.held, g.held, g.set.Concurrent)
}

// fits says whether a tenant that holds so many of the places may have one more.
// Some are in reserve for tenants below their share, and stay empty while these
// ask for nothing: what one tenant has in work cannot be called back for another.
func (g *Gate) fits(t *tenant, own, used, places int) bool {
	if used >= places {
		return false
	}
	if len(g.set.Tenants) == 0 || float64(places-used) > reserve*float64(places) {
		return true
	}
	return float64(own) < float64(places)*t.weight()/g.weights
}

func (t *tenant) configure(set TenantSettings) {
	t.TenantSettings = set
	t.bucket.Rate, t.bucket.Burst = set.Rate, set.Burst
}

func (s TenantSettings) weight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

func (g *Gate) let(t *tenant) {
	t.held++
	g.held++
	t.passed += 1 / t.weight()
}

// least is the least work let in of the tenants in line.
func (g *Gate) least() float64 {
	least, any := 0.0, false
	for _, o := range g.tenants {
		if o.waiters.Len() > 0 && (!any || o.passed < least) {
			least, any = o.passed, true
		}
	}
	return least
}

// Done gives back the place of a request, under the name that Tenant gave when it
// arrived, and returns the tickets let in for it.
func (g *Gate) Done(name string) []uint64 {
	t := g.tenants[name]
	if t == nil || t.held == 0 {
		panic("limit: a place is given back that nobody holds")
	}
	t.held--
	g.held--
	return g.admit()
}

// admit lets in who waits, by turns.
func (g *Gate) admit() (in []uint64) {
	for {
		var next *tenant
		for _, t := range g.tenants {
			if t.waiters.Len() == 0 || !g.room(t) {
				continue
			}
			if next == nil || t.passed < next.passed || t.passed == next.passed && t.name < next.name {
				next = t
			}
		}
		if next == nil {
			return in
		}
		w := next.waiters.Front().Value.(*waiter)
		g.unlist(w)
		g.let(next)
		in = append(in, w.id)
	}
}

func (g *Gate) unlist(w *waiter) {
	w.t.waiters.Remove(w.at)
	delete(g.waiting, w.id)
}

// Leave takes a ticket out of line. It says false where it is not in line any
// more: it has been let in, and its place must be given back.
func (g *Gate) Leave(ticket uint64) bool {
	w := g.waiting[ticket]
	if w == nil {
		return false
	}
	g.unlist(w)
	return true
}

// Held counts the requests that are in.
func (g *Gate) Held() int { return g.held }

// Waiting counts the requests in line.
func (g *Gate) Waiting() int { return len(g.waiting) }

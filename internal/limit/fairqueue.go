package limit

import "container/list"

// tenant is a tenant that has requests at a gate, or had some.
type tenant struct {
	TenantSettings
	name     string
	bucket   Bucket
	inFlight int
	served   float64   // requests admitted, each divided by the weight: the least is served next
	queue    list.List // of *waiter, first come first
}

// waiter is a queued request.
type waiter struct {
	ticket  uint64
	tenant  *tenant
	element *list.Element // in the tenant's queue
}

// tenant gives the tenant of a name, which begins to be known by its first request.
func (g *Gate) tenant(name string) *tenant {
	t := g.tenants[name]
	if t == nil {
		t = &tenant{name: name}
		t.configure(g.settings.Tenants[name])
		g.tenants[name] = t
	}
	return t
}

func (t *tenant) configure(settings TenantSettings) {
	t.TenantSettings = settings
	t.bucket.Rate, t.bucket.Burst = settings.Rate, settings.Burst
}

// atLimit reports whether the tenant has as many requests in flight as it may.
func (t *tenant) atLimit() bool { return t.Concurrent > 0 && t.inFlight >= t.Concurrent }

// enqueue queues a request and gives its ticket. A tenant that had nothing queued starts level with the one
// that is served next: idle time earns no credit.
func (g *Gate) enqueue(t *tenant) (ticket uint64) {
	g.lastTicket++
	w := &waiter{ticket: g.lastTicket, tenant: t}
	if t.queue.Len() == 0 {
		t.served = max(t.served, g.leastServed())
	}
	w.element = t.queue.PushBack(w)
	g.queued[w.ticket] = w
	return w.ticket
}

// leastServed is the least served of the tenants that have something queued; 0 if none has.
func (g *Gate) leastServed() float64 {
	least, found := 0.0, false
	for _, t := range g.tenants {
		if t.queue.Len() > 0 && (!found || t.served < least) {
			least, found = t.served, true
		}
	}
	return least
}

// admitQueued admits queued requests while there are places, and returns their tickets. The tenant that has
// been served the least, by weight, goes first.
func (g *Gate) admitQueued() (admitted []uint64) {
	for {
		next := g.nextTenant()
		if next == nil {
			return admitted
		}
		w := next.queue.Front().Value.(*waiter)
		g.dequeue(w)
		g.admit(next)
		admitted = append(admitted, w.ticket)
	}
}

// nextTenant is the least served tenant that has something queued and may have a place, or nil.
func (g *Gate) nextTenant() (next *tenant) {
	for _, t := range g.tenants {
		if t.queue.Len() == 0 || !g.hasPlace(t) {
			continue
		}
		if next == nil || t.served < next.served || t.served == next.served && t.name < next.name {
			next = t
		}
	}
	return next
}

func (g *Gate) dequeue(w *waiter) {
	w.tenant.queue.Remove(w.element)
	delete(g.queued, w.ticket)
}

// CancelTicket takes a ticket out of the queue. It returns false where the ticket is no longer queued: it has been
// admitted, and its place must be given back.
func (g *Gate) CancelTicket(ticket uint64) bool {
	w := g.queued[ticket]
	if w == nil {
		return false
	}
	g.dequeue(w)
	return true
}

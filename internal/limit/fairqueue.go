package limit

import "container/list"

// tenant is a tenant that has, or had, requests at a gate.
type tenant struct {
	TenantSettings
	name     string
	bucket   Bucket
	inFlight int
	served   float64   // requests admitted, each divided by the weight: the tenant with the lowest value is served next
	queue    list.List // the queued *waiter values, in order of arrival
}

// waiter is a queued request.
type waiter struct {
	ticket  uint64
	tenant  *tenant
	element *list.Element // the waiter's element in the tenant's queue
}

// tenant returns the tenant with a name. It is created by its first request.
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

// enqueue queues a request and returns its ticket. The served count of a tenant that had nothing queued is raised
// to that of the tenant that is served next: idle time earns no credit.
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

// leastServed returns the least served count of the tenants with queued requests; 0 if there are none.
func (g *Gate) leastServed() float64 {
	least, found := 0.0, false
	for _, t := range g.tenants {
		if t.queue.Len() > 0 && (!found || t.served < least) {
			least, found = t.served, true
		}
	}
	return least
}

// admitQueued admits queued requests while slots are free, and returns their tickets. The tenant that has been
// served the least, by weight, is next.
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

// nextTenant returns the least served tenant that has a queued request and may have a slot, or nil.
func (g *Gate) nextTenant() (next *tenant) {
	for _, t := range g.tenants {
		if t.queue.Len() == 0 || !g.hasSlot(t) {
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

// CancelTicket removes a ticket from the queue. It returns false if the ticket is no longer queued: it has been
// admitted, and its slot must be released.
func (g *Gate) CancelTicket(ticket uint64) bool {
	w := g.queued[ticket]
	if w == nil {
		return false
	}
	g.dequeue(w)
	return true
}

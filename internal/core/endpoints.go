package core

import (
	"cmp"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"jasperpin/decide"
)

// server is one server of the endpoint list.
type server struct {
	id       decide.ServerID
	upstream Server

	// The following fields are written with Pool.mu held.
	Endpoint                // the entry that was last listed
	startedAt time.Duration // start time on the Balancer's clock; 0 for long ago
	listed    bool          // false until its first list entry has been applied
	// replaced means that a process that started later is listed at the address: this one is gone, and attempts
	// would reach the other. It is set by updateReplaced.
	replaced bool

	// epoch counts how often earlier choices of this server became invalid: the server started to
	// drain, restarted, changed its address or was removed. It is written with Pool.mu held, and read
	// without the lock by an attempt that is about to be written to the server.
	epoch atomic.Uint64
}

// invalidateChoices prevents attempts for which the server was chosen before this call from beginning.
func (s *server) invalidateChoices() { s.epoch.Add(1) }

// goneUpdate returns the update that removes the server from the Balancer.
func (s *server) goneUpdate() decide.Server { return decide.Server{ID: s.id, State: decide.Gone} }

// endpointBatch is how many servers of a list are applied per lock of Pool.mu: requests wait for the lock
// meanwhile, and a list may contain thousands of servers.
const endpointBatch = 32

// UpdateEndpoints applies an endpoint list or a watch event. It locks Pool.mu for at most endpointBatch
// servers at a time, once for twice as many, and yields the processor after each batch. It first removes the
// servers that a complete list does not contain, then applies those that are gone or draining, then the rest: an
// ending server must get no more requests while a long list is applied.
//
// Only updateEndpoints writes the set of servers and their list entries, one list at a time, so that it can
// read them without Pool.mu.
func (p *Pool) UpdateEndpoints(kind decide.UpdateKind, endpoints []Endpoint) {
	p.endpointMu.Lock()
	defer p.endpointMu.Unlock()
	p.updateEndpoints(kind, endpoints)
}

// UpdateKnownEndpoints is like UpdateEndpoints for the list of another configuration, whose numbers of zones and cells may
// differ: it adds no servers, and the known ones keep their zones and cells. A pool that drains is told by it of
// servers that end.
func (p *Pool) UpdateKnownEndpoints(kind decide.UpdateKind, endpoints []Endpoint) {
	p.endpointMu.Lock()
	defer p.endpointMu.Unlock()
	known := make([]Endpoint, 0, len(p.servers))
	for _, e := range endpoints {
		if s := p.servers[e.Name]; s != nil {
			e.Zone, e.Cell = s.Zone, s.Cell
			known = append(known, e)
		}
	}
	p.updateEndpoints(kind, known)
}

// updateEndpoints is UpdateEndpoints with endpointMu held.
func (p *Pool) updateEndpoints(kind decide.UpdateKind, endpoints []Endpoint) {
	if kind == decide.UpdateFailed {
		p.handle(eventEndpoints, func(now time.Duration) { p.balancer.UpdateEndpoints(now, kind, nil) })
		return
	}
	update := splitUpdate(endpoints)
	var ending []endpointStep
	if kind != decide.UpdateDelta {
		ending = p.steps(update.missing(p.servers), p.removeEndpoints)
		slices.SortFunc(update.ready, byName) // all starting nodes draw samples in the same order
	}
	ending = append(ending, p.steps(update.ending, p.applyEndpoints)...)
	p.run(ending, p.steps(update.ready, p.applyEndpoints))
	p.handle(eventEndpoints, func(now time.Duration) {
		if kind != decide.UpdateCached {
			p.startTimes.ConfirmList(now)
			p.balancer.UpdateEndpoints(now, decide.UpdateDelta, nil) // an empty delta: the watch still works
		}
		if p.settings.Snapshot != nil && len(p.servers) > 0 {
			p.restoreBalancer(now)
		}
	})
}

// endpointUpdate is the content of an endpoint list, with one entry for each server: the last one in the list.
type endpointUpdate struct {
	named         map[string]bool
	ending, ready []Endpoint // endpoints in the order of the list
}

// splitUpdate separates ready servers from those that are draining or gone.
func splitUpdate(endpoints []Endpoint) endpointUpdate {
	lastEntry := make(map[string]int, len(endpoints))
	for i := range endpoints {
		lastEntry[endpoints[i].Name] = i
	}
	update := endpointUpdate{named: make(map[string]bool, len(lastEntry)), ready: make([]Endpoint, 0, len(lastEntry))}
	for i, e := range endpoints {
		if lastEntry[e.Name] != i {
			continue
		}
		update.named[e.Name] = true
		if e.State == decide.Ready {
			update.ready = append(update.ready, e)
		} else {
			update.ending = append(update.ending, e)
		}
	}
	return update
}

// missing returns the known servers that the list does not contain, with state Gone. They are sorted by name,
// so that all nodes remove them in the same order.
func (u *endpointUpdate) missing(known map[string]*server) (gone []Endpoint) {
	for name := range known {
		if !u.named[name] {
			gone = append(gone, Endpoint{Name: name, State: decide.Gone})
		}
	}
	slices.SortFunc(gone, byName)
	return gone
}

func byName(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) }

// replacedPair is the number of servers at one address of which the earlier one has been replaced.
const replacedPair = 2

// endpointStep applies one batch of an endpoint list, with Pool.mu held.
type endpointStep func(now time.Duration)

// steps returns the steps that apply all endpoints, in batches of at most endpointBatch.
func (p *Pool) steps(endpoints []Endpoint, apply func(now time.Duration, batch []Endpoint)) (steps []endpointStep) {
	for batch := range slices.Chunk(endpoints, endpointBatch) {
		steps = append(steps, func(now time.Duration) {
			p.delays.LargestBatch = max(p.delays.LargestBatch, len(batch))
			apply(now, batch)
		})
	}
	return steps
}

// run runs the steps of ending servers, then those of ready ones. The last ending and the first ready servers are applied
// at once: between the two a request could find no server, and would be rejected, if the list replaces all of them.
func (p *Pool) run(ending, ready []endpointStep) {
	if len(ending) > 0 && len(ready) > 0 {
		last, first := ending[len(ending)-1], ready[0]
		ending[len(ending)-1] = func(now time.Duration) {
			last(now)
			first(now)
		}
		ready = ready[1:]
	}
	for _, step := range append(ending, ready...) {
		p.handle(eventEndpoints, step)
		runtime.Gosched() // lets waiting requests run first
	}
}

// applyEndpoints applies a batch of list entries. An unchanged entry costs only a comparison.
func (p *Pool) applyEndpoints(now time.Duration, endpoints []Endpoint) {
	updates := make([]decide.Server, 0, len(endpoints))
	for _, e := range endpoints {
		updates = append(updates, p.applyEndpoint(now, e)...)
	}
	p.balancer.UpdateServers(now, updates)
}

// updateReplaced updates which of the servers listed at an address are replaced, and returns the updates for the
// Balancer. Of two servers with different start times only the later one is there, and the lists just do not say yet
// that the other one has ended. An address with more servers belongs to a proxy in front of them.
func (p *Pool) updateReplaced(addr string) (updates []decide.Server) {
	servers := p.serversAt[addr]
	if len(servers) > replacedPair+1 {
		return nil // none of them was replaced when there was one server less
	}
	latest := 0.0
	for _, s := range servers {
		latest = max(latest, s.StartedAtMS)
	}
	for _, s := range servers {
		replaced := len(servers) == replacedPair && s.StartedAtMS < latest
		if s.replaced == replaced {
			continue
		}
		s.replaced = replaced
		s.invalidateChoices()
		p.afterUnlock(s.upstream.Invalidate)
		updates = append(updates, p.balancerServer(s))
	}
	return updates
}

// setAddr records the address at which a server is listed.
func (p *Pool) setAddr(s *server, addr string) {
	p.forgetAddr(s)
	s.Addr = addr
	p.serversAt[addr] = append(p.serversAt[addr], s)
}

// forgetAddr removes a server from those listed at its address.
func (p *Pool) forgetAddr(s *server) {
	others := slices.DeleteFunc(p.serversAt[s.Addr], func(other *server) bool { return other == s })
	if len(others) == 0 {
		delete(p.serversAt, s.Addr)
		return
	}
	p.serversAt[s.Addr] = others
}

// applyEndpoint applies one list entry, and returns the updates for the Balancer if the entry changes the server.
func (p *Pool) applyEndpoint(now time.Duration, endpoint Endpoint) (updates []decide.Server) {
	srv := p.servers[endpoint.Name]
	if endpoint.State == decide.Gone {
		if srv == nil {
			return nil
		}
		update := srv.goneUpdate()
		p.removeServer(endpoint.Name, srv)
		return append(p.updateReplaced(srv.Addr), update)
	}
	if srv == nil {
		srv = p.addServer(endpoint)
	} else if endpoint.Addr == "" {
		endpoint.Addr = srv.Addr
	}
	if srv.listed && srv.Endpoint == endpoint {
		return nil
	}
	if endpoint.State != decide.Ready || endpoint.StartedAtMS != srv.StartedAtMS || endpoint.Addr != srv.Addr {
		// The next attempt on an idle connection to a process that is gone, draining or has moved to
		// another address would only end in a reset.
		srv.invalidateChoices()
		p.afterUnlock(srv.upstream.Invalidate)
	}
	oldAddr := srv.Addr
	if endpoint.Addr != oldAddr {
		p.setAddr(srv, endpoint.Addr)
	}
	srv.Endpoint, srv.startedAt, srv.listed = endpoint, p.startTimes.StartedAt(now, endpoint.Name, endpoint.StartedAtMS), true
	updates = p.updateReplaced(srv.Addr)
	if endpoint.Addr != oldAddr {
		updates = append(updates, p.updateReplaced(oldAddr)...)
	}
	return append(updates, p.balancerServer(srv))
}

// removeEndpoints removes a batch of servers.
func (p *Pool) removeEndpoints(now time.Duration, endpoints []Endpoint) {
	updates := make([]decide.Server, 0, len(endpoints))
	for _, e := range endpoints {
		if s := p.servers[e.Name]; s != nil {
			addr := s.Addr
			updates = append(updates, s.goneUpdate())
			p.removeServer(e.Name, s)
			updates = append(updates, p.updateReplaced(addr)...)
		}
	}
	p.balancer.UpdateServers(now, updates)
}

func (p *Pool) addServer(e Endpoint) *server {
	id := HashServerID(e.Name, func(id decide.ServerID) bool { return p.serversByID[id] != nil })
	s := &server{Endpoint: e, id: id, upstream: p.settings.Upstream.AddServer()}
	p.setAddr(s, e.Addr)
	p.servers[e.Name], p.serversByID[s.id] = s, s
	return s
}

func (p *Pool) removeServer(name string, s *server) {
	s.invalidateChoices()
	p.forgetAddr(s)
	delete(p.servers, name)
	delete(p.serversByID, s.id)
	p.startTimes.Forget(name)
	p.afterUnlock(s.upstream.Invalidate)
}

// balancerServer returns the Balancer's view of a server: a server that an operator has excluded, or that another process
// has replaced at its address, is draining, whatever state discovery lists.
func (p *Pool) balancerServer(s *server) decide.Server {
	startedAt, excluded := p.shared.rotation(s.Name, s.startedAt)
	view := s.BalancerServer(s.id, startedAt)
	if view.State == decide.Ready && (excluded || s.replaced) {
		view.State = decide.Draining
	}
	return view
}

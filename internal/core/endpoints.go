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

	// What follows is written under the pool's lock.
	Endpoint                // as last listed
	startedAt time.Duration // on the Balancer's clock, as far as it is known
	listed    bool          // false until its first list entry has been applied

	// epoch counts the times that earlier choices of this server became invalid: it drains, has
	// restarted or moved, or has gone. It is written under the pool's lock, and read without it by an
	// attempt that is about to be written to the server.
	epoch atomic.Uint64
}

// invalidateChoices has no attempt begin any more that was meant for the server as it was.
func (s *server) invalidateChoices() { s.epoch.Add(1) }

// goneUpdate tells the Balancer that the server has gone.
func (s *server) goneUpdate() decide.Server { return decide.Server{ID: s.id, State: decide.Gone} }

// endpointBatch is how many servers of a list are applied in one hold of the pool's lock: requests wait
// for it meanwhile, and a list may name thousands.
const endpointBatch = 32

// UpdateEndpoints applies an endpoint list or a watch event. However long it is, the lock is held for no
// more than endpointBatch of its servers at a time, and the thread given up as often. Servers that a
// whole list leaves out go first, then those that end or drain, then the rest: nothing more must be sent
// to a server that is on its way out.
//
// The set of servers and their list entries are written here alone, by one list at a time: what is read
// of them here needs no lock.
func (p *Pool) UpdateEndpoints(kind decide.UpdateKind, endpoints []Endpoint) {
	p.endpointMu.Lock()
	defer p.endpointMu.Unlock()
	if kind == decide.UpdateFailed {
		p.handle(eventEndpoints, func(now time.Duration) { p.balancer.UpdateEndpoints(now, kind, nil) })
		return
	}
	update := sortUpdate(endpoints)
	if kind != decide.UpdateDelta {
		p.inBatches(update.missing(p.servers), p.removeEndpoints)
		slices.SortFunc(update.ready, byName) // nodes that start draw samples in one order
	}
	p.inBatches(update.ending, p.applyEndpoints)
	p.inBatches(update.ready, p.applyEndpoints)
	p.handle(eventEndpoints, func(now time.Duration) {
		if kind != decide.UpdateCached {
			p.startTimes.ConfirmList(now)
			p.balancer.UpdateEndpoints(now, decide.UpdateDelta, nil) // the watch is alive
		}
		if p.settings.Snapshot != nil && len(p.servers) > 0 {
			p.restoreBalancer(now)
		}
	})
}

// endpointUpdate holds the servers that a list names, each once, by its last entry.
type endpointUpdate struct {
	named         map[string]bool
	ending, ready []Endpoint // in the order of the list
}

// sortUpdate tells servers that drain or have gone from those that are ready.
func sortUpdate(endpoints []Endpoint) endpointUpdate {
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

// missing are the known servers that a list leaves out, as ones that have gone, by name: a map has no
// order, and nodes are to act in one.
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

// inBatches applies a step to endpoints, endpointBatch at a time.
func (p *Pool) inBatches(endpoints []Endpoint, apply func(now time.Duration, batch []Endpoint)) {
	for batch := range slices.Chunk(endpoints, endpointBatch) {
		p.handle(eventEndpoints, func(now time.Duration) {
			p.delays.LargestBatch = max(p.delays.LargestBatch, len(batch))
			apply(now, batch)
		})
		runtime.Gosched() // requests that wait for the thread go first
	}
}

// applyEndpoints applies a batch of list entries. An entry that has not changed costs a comparison.
func (p *Pool) applyEndpoints(now time.Duration, endpoints []Endpoint) {
	updates := make([]decide.Server, 0, len(endpoints))
	for _, e := range endpoints {
		if update, changed := p.applyEndpoint(now, e); changed {
			updates = append(updates, update)
		}
	}
	p.balancer.UpdateServers(now, updates)
}

// applyEndpoint applies one list entry, and gives what the Balancer is to know of it.
func (p *Pool) applyEndpoint(now time.Duration, e Endpoint) (update decide.Server, changed bool) {
	s := p.servers[e.Name]
	if e.State == decide.Gone {
		if s == nil {
			return decide.Server{}, false
		}
		update = s.goneUpdate()
		p.removeServer(e.Name, s)
		return update, true
	}
	if s == nil {
		s = p.addServer(e)
	} else if e.Addr == "" {
		e.Addr = s.Addr
	}
	if s.listed && s.Endpoint == e {
		return decide.Server{}, false
	}
	if e.State != decide.Ready || e.StartedAtMS != s.StartedAtMS || e.Addr != s.Addr {
		// Idle connections to a process that is gone, draining or elsewhere would only end the
		// next attempt in a reset.
		s.invalidateChoices()
		p.afterUnlock(s.upstream.Invalidate)
	}
	s.Endpoint, s.startedAt, s.listed = e, p.startTimes.StartedAt(now, e.Name, e.StartedAtMS), true
	return p.balancerServer(s), true
}

// removeEndpoints forgets a batch of servers.
func (p *Pool) removeEndpoints(now time.Duration, endpoints []Endpoint) {
	updates := make([]decide.Server, 0, len(endpoints))
	for _, e := range endpoints {
		if s := p.servers[e.Name]; s != nil {
			updates = append(updates, s.goneUpdate())
			p.removeServer(e.Name, s)
		}
	}
	p.balancer.UpdateServers(now, updates)
}

func (p *Pool) addServer(e Endpoint) *server {
	id := HashServerID(e.Name, func(id decide.ServerID) bool { return p.serversByID[id] != nil })
	s := &server{Endpoint: e, id: id, upstream: p.settings.Upstream.AddServer()}
	p.servers[e.Name], p.serversByID[s.id] = s, s
	return s
}

func (p *Pool) removeServer(name string, s *server) {
	s.invalidateChoices()
	delete(p.servers, name)
	delete(p.serversByID, s.id)
	p.startTimes.Forget(name)
	p.afterUnlock(s.upstream.Invalidate)
}

// balancerServer is a server as the Balancer is to see it: one that an operator has excluded drains,
// whatever discovery says.
func (p *Pool) balancerServer(s *server) decide.Server {
	view := s.BalancerServer(s.id, s.startedAt)
	view.StartedAt = p.maintenance.StartedAt(s.Name, view.StartedAt)
	if view.State == decide.Ready && p.maintenance.Excluded(s.Name) {
		view.State = decide.Draining
	}
	return view
}

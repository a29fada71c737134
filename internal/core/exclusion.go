package core

import (
	"maps"
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/maintenance"
)

// Exclude takes a server out of rotation until Include: it gets no new requests of any pool that uses the state, whether
// current or draining, and whatever state discovery lists. The error is ErrUnknownServer for a server that is neither
// listed nor excluded, or one of package maintenance.
func (s *SharedState) Exclude(server string) error {
	if !s.excluded(server) && !s.listed(server) {
		return ErrUnknownServer
	}
	return s.ExcludeUnlisted(server)
}

// ExcludeUnlisted is like Exclude for a call that another process of the node has accepted: the server may be listed
// here later.
func (s *SharedState) ExcludeUnlisted(server string) error {
	s.mu.Lock()
	err := s.maintenance.Exclude(server, s.clock.clockTime(time.Now()))
	s.mu.Unlock()
	if err == nil {
		s.refresh(server)
	}
	return err
}

// Include puts an excluded server back into rotation. It does nothing for a listed server that is not
// excluded. The error is ErrUnknownServer for a server that is neither listed nor excluded.
func (s *SharedState) Include(server string) error {
	s.mu.Lock()
	included := s.maintenance.Include(server, s.clock.clockTime(time.Now()))
	s.mu.Unlock()
	if included {
		s.refresh(server)
		return nil
	}
	if !s.listed(server) {
		return ErrUnknownServer
	}
	return nil
}

// Maintenance returns the excluded servers, for the handover to another process.
func (s *SharedState) Maintenance() maintenance.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maintenance.Snapshot(s.clock.clockTime(time.Now()))
}

// RestoreMaintenance adds the excluded servers of another process. It must be called before the state has a pool.
func (s *SharedState) RestoreMaintenance(snapshot maintenance.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maintenance.Restore(s.clock.clockTime(time.Now()), snapshot)
}

func (s *SharedState) excluded(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maintenance.Excluded(server)
}

// rotation returns whether a server is excluded, and its start time given the one that discovery last listed.
func (s *SharedState) rotation(server string, listed time.Duration) (startedAt time.Duration, excluded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maintenance.StartedAt(server, listed), s.maintenance.Excluded(server)
}

// countExcluded returns how many of the servers are excluded.
func (s *SharedState) countExcluded(servers map[string]*server) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.maintenance.List() {
		if servers[name] != nil {
			count++
		}
	}
	return count
}

// users returns the pools that use the state.
func (s *SharedState) users() []*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.pools))
}

// listed reports whether a pool lists a server.
func (s *SharedState) listed(server string) bool {
	return slices.ContainsFunc(s.users(), func(p *Pool) bool { return p.lists(server) })
}

// refresh updates a server in all pools after it was excluded or included.
func (s *SharedState) refresh(server string) {
	for _, p := range s.users() {
		p.refreshServer(server)
	}
}

func (p *Pool) lists(server string) (listed bool) {
	p.handle(eventState, func(time.Duration) { listed = p.servers[server] != nil })
	return listed
}

// refreshServer passes one server to the Balancer again. It does not count as an update from discovery.
func (p *Pool) refreshServer(name string) {
	p.handle(eventOperator, func(now time.Duration) {
		s := p.servers[name]
		if s == nil {
			return
		}
		if p.shared.excluded(name) {
			s.invalidateChoices()
			p.afterUnlock(s.upstream.Invalidate) // the server will be restarted, which would reset idle connections
		}
		p.balancer.UpdateServers(now, []decide.Server{p.balancerServer(s)})
	})
}

// CountServers returns how many servers are listed, and how many of these are out of rotation: excluded by an
// operator or ejected as outliers. It counts no server twice: the Balancer regards an excluded server as
// draining, and ejects no draining server.
func (p *Pool) CountServers() (listed, out int) {
	p.handle(eventState, func(time.Duration) {
		listed = len(p.servers)
		out = p.balancer.EjectedCount() + p.shared.countExcluded(p.servers)
	})
	return listed, out
}

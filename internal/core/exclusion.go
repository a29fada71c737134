package core

import (
	"time"

	"jasperpin/decide"
)

// Exclude takes a server out of rotation until Include: it gets no new requests, whatever state discovery
// lists. The error is ErrUnknownServer for a server that is neither listed nor excluded, or one of package
// maintenance.
func (p *Pool) Exclude(name string) (err error) {
	p.handle(eventOperator, func(now time.Duration) {
		s := p.servers[name]
		if s == nil && !p.maintenance.Excluded(name) {
			err = ErrUnknownServer
			return
		}
		if err = p.maintenance.Exclude(name, now); err == nil && s != nil {
			s.invalidateChoices()
			p.afterUnlock(s.upstream.Invalidate) // the server will be restarted, which would reset idle connections
			p.updateServer(now, s)
		}
	})
	return err
}

// Include puts an excluded server back into rotation. It does nothing for a listed server that is not
// excluded. The error is ErrUnknownServer for a server that is neither listed nor excluded.
func (p *Pool) Include(name string) (err error) {
	p.handle(eventOperator, func(now time.Duration) {
		s := p.servers[name]
		switch {
		case p.maintenance.Include(name, now):
			if s != nil {
				p.updateServer(now, s)
			}
		case s == nil:
			err = ErrUnknownServer
		}
	})
	return err
}

// updateServer passes one server to the Balancer again. It does not count as an update from discovery.
func (p *Pool) updateServer(now time.Duration, s *server) {
	p.balancer.UpdateServers(now, []decide.Server{p.balancerServer(s)})
}

// CountServers returns how many servers are listed, and how many of these are out of rotation: excluded by an
// operator or ejected as outliers. It counts no server twice: the Balancer regards an excluded server as
// draining, and ejects no draining server.
func (p *Pool) CountServers() (listed, out int) {
	p.handle(eventState, func(time.Duration) {
		listed = len(p.servers)
		out = p.balancer.EjectedCount()
		for _, name := range p.maintenance.List() {
			if p.servers[name] != nil {
				out++
			}
		}
	})
	return listed, out
}

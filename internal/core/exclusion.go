package core

import (
	"time"

	"jasperpin/decide"
)

// Exclude has nothing more sent to a server from now on, whatever discovery lists, until Include. Its
// error is ErrUnknown or one of package maintenance.
func (p *Pool) Exclude(name string) (err error) {
	p.handle(eventOperator, func(now time.Duration) {
		s := p.servers[name]
		if s == nil && !p.maintenance.Excluded(name) {
			err = ErrUnknown
			return
		}
		if err = p.maintenance.Exclude(name, now); err == nil && s != nil {
			s.invalidateChoices()
			p.afterUnlock(s.upstream.Invalidate) // the server will be restarted
			p.updateServer(now, s)
		}
	})
	return err
}

// Include lets a server serve again. It is no error for one that serves already; for one that is neither
// listed nor excluded it is ErrUnknown.
func (p *Pool) Include(name string) (err error) {
	p.handle(eventOperator, func(now time.Duration) {
		s := p.servers[name]
		switch {
		case p.maintenance.Include(name, now):
			if s != nil {
				p.updateServer(now, s)
			}
		case s == nil:
			err = ErrUnknown
		}
	})
	return err
}

// updateServer shows the Balancer one server again. It counts as no update from discovery.
func (p *Pool) updateServer(now time.Duration, s *server) {
	p.balancer.UpdateServers(now, []decide.Server{p.balancerServer(s)})
}

// CountServers counts the servers listed, and those of them that are avoided: excluded by hand, or ejected as
// outliers. A server that is excluded drains for the Balancer, which ejects none of these.
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

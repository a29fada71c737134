package core

import (
	"time"

	"jasperpin/decide"
)

// server is one server of the list.
type server struct {
	Host                // as last told
	since time.Duration // when it started, as far as that is known
	id    decide.ServerID
	up    Server
}

// Listed takes news of the servers.
func (p *Pool) Listed(kind decide.ListKind, hosts []Host) {
	p.do(eventList, func(now time.Duration) {
		p.delays.Named = max(p.delays.Named, len(hosts))
		news := make([]decide.Server, 0, len(hosts))
		named := make(map[string]bool, len(hosts))
		for _, h := range hosts {
			named[h.Name] = true
			s := p.servers[h.Name]
			if h.Condition == decide.Gone && s == nil {
				continue
			}
			if s == nil {
				id := ServerID(h.Name, func(id decide.ServerID) bool { return p.byID[id] != nil })
				s = &server{Host: h, id: id, up: p.set.Upstream.Server()}
				p.servers[h.Name], p.byID[s.id] = s, s
			}
			if h.Addr == "" {
				h.Addr = s.Addr
			}
			if h.Condition != decide.Ready || h.BornMS != s.BornMS || h.Addr != s.Addr {
				// Idle connections to a process that is gone, leaving or elsewhere
				// would only end the next attempt in a reset.
				p.later(s.up.Leave)
			}
			s.Host, s.since = h, p.births.Since(now, h.Name, h.BornMS)
			news = append(news, p.shown(s))
		}
		if kind == decide.ListFull || kind == decide.ListDelta {
			p.births.Confirm(now)
		}
		p.b.Listed(now, kind, news)
		if p.set.Memory != nil && len(news) > 0 {
			p.recall(now)
		}
		for name, s := range p.servers {
			whole := kind == decide.ListFull || kind == decide.ListCached
			if whole && !named[name] {
				p.drop(name, s)
			}
		}
		for i := range hosts {
			if s := p.servers[hosts[i].Name]; s != nil && hosts[i].Condition == decide.Gone {
				p.drop(hosts[i].Name, s)
			}
		}
	})
}

// shown is a server as the module is to see it: one that staff have taken out drains,
// whatever discovery says.
func (p *Pool) shown(s *server) decide.Server {
	d := s.Server(s.id, s.since)
	d.Since = p.rota.Since(s.Name, d.Since)
	if d.Condition == decide.Ready && p.rota.Out(s.Name) {
		d.Condition = decide.Draining
	}
	return d
}

// relist shows the module all servers anew. It hears of no news from discovery.
func (p *Pool) relist(now time.Duration) {
	all := make([]decide.Server, 0, len(p.servers))
	for _, s := range p.servers {
		all = append(all, p.shown(s))
	}
	p.b.Listed(now, decide.ListCached, all)
}

// Exclude has nothing more sent to a server from now on, whatever discovery lists,
// until Include. Its error is ErrUnknown or one of rota's.
func (p *Pool) Exclude(name string) (err error) {
	p.do(eventStaff, func(now time.Duration) {
		s := p.servers[name]
		if s == nil && !p.rota.Out(name) {
			err = ErrUnknown
			return
		}
		if err = p.rota.Exclude(name, now); err == nil && s != nil {
			p.later(s.up.Leave) // it will be restarted
			p.relist(now)
		}
	})
	return err
}

// Include lets a server serve again, and is right for one that does already.
func (p *Pool) Include(name string) (err error) {
	p.do(eventStaff, func(now time.Duration) {
		switch listed := p.servers[name] != nil; {
		case p.rota.Include(name, now):
			p.relist(now)
		case !listed:
			err = ErrUnknown
		}
	})
	return err
}

// Servers counts the servers listed, and those of them that are avoided: by hand, or
// because the module has ejected them.
func (p *Pool) Servers() (listed, out int) {
	p.do(eventState, func(time.Duration) {
		listed = len(p.servers)
		for name, s := range p.servers {
			if p.rota.Out(name) || p.b.Ejected(s.id) {
				out++
			}
		}
	})
	return listed, out
}

func (p *Pool) drop(name string, s *server) {
	delete(p.servers, name)
	delete(p.byID, s.id)
	p.births.Forget(name)
	p.later(s.up.Leave)
}

package core

import (
	"cmp"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"jasperpin/decide"
)

// server is one server of the list.
type server struct {
	Endpoint               // as last told
	since    time.Duration // when it started, as far as that is known
	id       decide.ServerID
	up       Server
	// listed is false until what a list says of it has been taken.
	listed bool
	// stay counts the times that what was chosen of it has ended: it drains, begins anew, has gone. It is
	// written under the pool's lock, and read without by what is about to be written to the server.
	stay atomic.Uint64
}

// moveOn has nothing begin any more that was meant for the server as it was.
func (s *server) moveOn() { s.stay.Add(1) }

// gone is the news that the server has gone.
func (s *server) gone() decide.Server { return decide.Server{ID: s.id, State: decide.Gone} }

// listBatch is how many servers of a list are handled while requests wait for the pool's lock.
const listBatch = 32

// UpdateEndpoints takes news of the servers. However long a list is, the lock is held for no more than listBatch
// of its servers at a time, and the thread given up as often. What ends or drains goes ahead of what
// comes, and the servers that a whole list leaves out ahead of both.
//
// The servers known and what was told of them are written here alone, by one list at a time: what is
// read of them here needs no lock.
func (p *Pool) UpdateEndpoints(kind decide.UpdateKind, hosts []Endpoint) {
	p.listing.Lock()
	defer p.listing.Unlock()
	if kind == decide.UpdateFailed {
		p.do(eventList, func(now time.Duration) { p.b.UpdateEndpoints(now, kind, nil) })
		return
	}
	news := newsOf(hosts)
	if kind != decide.UpdateDelta {
		p.inParts(news.unnamed(p.servers), p.dropped)
		slices.SortFunc(news.ready, byName) // nodes that begin draw samples by one order
	}
	p.inParts(news.ending, p.told)
	p.inParts(news.ready, p.told)
	p.do(eventList, func(now time.Duration) {
		if kind != decide.UpdateCached {
			p.births.Confirm(now)
			p.b.UpdateEndpoints(now, decide.UpdateDelta, nil) // the watch stands
		}
		if p.set.Snapshot != nil && len(p.servers) > 0 {
			p.recall(now)
		}
	})
}

// listNews are the servers that a list names, each once, as it was told last.
type listNews struct {
	named         map[string]bool
	ending, ready []Endpoint // in the order of the list
}

func newsOf(hosts []Endpoint) listNews {
	last := make(map[string]int, len(hosts))
	for i := range hosts {
		last[hosts[i].Name] = i
	}
	n := listNews{named: make(map[string]bool, len(last)), ready: make([]Endpoint, 0, len(last))}
	for i, h := range hosts {
		if last[h.Name] != i {
			continue
		}
		n.named[h.Name] = true
		if h.State == decide.Ready {
			n.ready = append(n.ready, h)
		} else {
			n.ending = append(n.ending, h)
		}
	}
	return n
}

// unnamed are the servers known that a list leaves out, as ones that have gone.
func (n *listNews) unnamed(known map[string]*server) (gone []Endpoint) {
	for name := range known {
		if !n.named[name] {
			gone = append(gone, Endpoint{Name: name, State: decide.Gone})
		}
	}
	slices.SortFunc(gone, byName) // not as the map has them
	return gone
}

func byName(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) }

// inParts carries something out for servers, a few at a time.
func (p *Pool) inParts(hosts []Endpoint, each func(now time.Duration, hosts []Endpoint)) {
	for part := range slices.Chunk(hosts, listBatch) {
		p.do(eventList, func(now time.Duration) {
			p.delays.Named = max(p.delays.Named, len(part))
			each(now, part)
		})
		runtime.Gosched() // requests that wait for the thread go first
	}
}

// told takes what a list says of some servers. What is as it was costs a comparison.
func (p *Pool) told(now time.Duration, hosts []Endpoint) {
	news := make([]decide.Server, 0, len(hosts))
	for _, h := range hosts {
		s := p.servers[h.Name]
		if h.State == decide.Gone {
			if s != nil {
				news = append(news, s.gone())
				p.drop(h.Name, s)
			}
			continue
		}
		if s == nil {
			s = p.meet(h)
		} else if h.Addr == "" {
			h.Addr = s.Addr
		}
		if s.listed && s.Endpoint == h {
			continue
		}
		if h.State != decide.Ready || h.StartedAtMS != s.StartedAtMS || h.Addr != s.Addr {
			// Idle connections to a process that is gone, leaving or elsewhere
			// would only end the next attempt in a reset.
			s.moveOn()
			p.later(s.up.Invalidate)
		}
		s.Endpoint, s.since, s.listed = h, p.births.Since(now, h.Name, h.StartedAtMS), true
		news = append(news, p.shown(s))
	}
	p.b.UpdateServers(now, news)
}

// dropped forgets some servers.
func (p *Pool) dropped(now time.Duration, hosts []Endpoint) {
	news := make([]decide.Server, 0, len(hosts))
	for _, h := range hosts {
		if s := p.servers[h.Name]; s != nil {
			news = append(news, s.gone())
			p.drop(h.Name, s)
		}
	}
	p.b.UpdateServers(now, news)
}

// meet begins to know a server.
func (p *Pool) meet(h Endpoint) *server {
	id := ServerID(h.Name, func(id decide.ServerID) bool { return p.byID[id] != nil })
	s := &server{Endpoint: h, id: id, up: p.set.Upstream.AddServer()}
	p.servers[h.Name], p.byID[s.id] = s, s
	return s
}

// shown is a server as the module is to see it: one that staff have taken out drains,
// whatever discovery says.
func (p *Pool) shown(s *server) decide.Server {
	d := s.Server(s.id, s.since)
	d.StartedAt = p.rota.Since(s.Name, d.StartedAt)
	if d.State == decide.Ready && p.rota.Excluded(s.Name) {
		d.State = decide.Draining
	}
	return d
}

// show shows the module one server anew. It hears of no news from discovery.
func (p *Pool) show(now time.Duration, s *server) {
	p.b.UpdateServers(now, []decide.Server{p.shown(s)})
}

// Exclude has nothing more sent to a server from now on, whatever discovery lists,
// until Include. Its error is ErrUnknown or one of rota's.
func (p *Pool) Exclude(name string) (err error) {
	p.do(eventStaff, func(now time.Duration) {
		s := p.servers[name]
		if s == nil && !p.rota.Excluded(name) {
			err = ErrUnknown
			return
		}
		if err = p.rota.Exclude(name, now); err == nil && s != nil {
			s.moveOn()
			p.later(s.up.Invalidate) // it will be restarted
			p.show(now, s)
		}
	})
	return err
}

// Include lets a server serve again, and is right for one that does already.
func (p *Pool) Include(name string) (err error) {
	p.do(eventStaff, func(now time.Duration) {
		s := p.servers[name]
		switch {
		case p.rota.Include(name, now):
			if s != nil {
				p.show(now, s)
			}
		case s == nil:
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
		out = p.b.EjectedCount()
		for _, name := range p.rota.List() { // which the module takes for drained, and ejects none of
			if p.servers[name] != nil {
				out++
			}
		}
	})
	return listed, out
}

func (p *Pool) drop(name string, s *server) {
	s.moveOn()
	delete(p.servers, name)
	delete(p.byID, s.id)
	p.births.Forget(name)
	p.later(s.up.Invalidate)
}

package core

import (
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/maintenance"
	"jasperpin/internal/requestid"
)

// Memory is what a pool knows, for one that goes on in its place.
type Memory struct {
	Hosts []Host `json:"Hosts"` // as discovery told of them
	// Ages are how long ago those started of which that is known, by name.
	Ages   map[string]time.Duration `json:"Ages,omitempty"`
	Rota   maintenance.Memory       `json:"Rota"`
	Decide decide.Memory            `json:"Decide"`
}

// Memory gives what the pool knows.
func (p *Pool) Memory() Memory {
	m := Memory{Ages: make(map[string]time.Duration)}
	p.do(eventState, func(now time.Duration) {
		for _, s := range p.servers {
			m.Hosts = append(m.Hosts, s.Host)
			if s.since > 0 {
				m.Ages[s.Name] = now - s.since
			}
		}
		m.Rota, m.Decide = p.rota.Memory(now), p.b.Memory(now)
		for i := range m.Decide.Classes {
			if i < len(p.set.Classes) {
				m.Decide.Classes[i].Name = p.set.Classes[i]
			}
		}
		for i := range m.Decide.Servers {
			if s := p.byID[m.Decide.Servers[i].ID]; s != nil {
				m.Decide.Servers[i].Name = s.Name
			}
		}
	})
	return m
}

// Names is news of the names in use here, for the node's other processes: all of them
// where whole is wanted or nothing has been told, else what has changed since.
func (p *Pool) Names(whole bool) (n requestid.News) {
	p.do(eventState, func(time.Duration) {
		if whole {
			n = p.names.All()
		} else {
			n = p.names.News()
		}
	})
	return n
}

// Mute ends the news: there is nobody to hear them.
func (p *Pool) Mute() { p.do(eventState, func(time.Duration) { p.names.Mute() }) }

// Hear takes news of the names in use in another process, whose requests are as open as
// those here.
func (p *Pool) Hear(from requestid.Side, n requestid.News) (err error) {
	p.do(eventState, func(time.Duration) { err = p.names.Hear(from, n) })
	return err
}

// Forget frees another process's names, as it has ended.
func (p *Pool) Forget(side requestid.Side) {
	p.do(eventState, func(time.Duration) { p.names.Forget(side) })
}

// recall gives the module what was known before, once it has its list: classes and
// servers are found again by their names.
func (p *Pool) recall(now time.Duration) {
	m, hosts := p.set.Memory.Decide, p.set.Memory.Hosts
	p.set.Memory = nil
	classes := make([]decide.ClassMemory, len(p.set.Classes))
	for i, name := range p.set.Classes {
		if at := slices.IndexFunc(m.Classes, func(c decide.ClassMemory) bool { return c.Name == name }); at >= 0 {
			classes[i] = m.Classes[at]
		}
	}
	m.Classes = classes
	servers := m.Servers
	m.Servers = nil
	born := make(map[string]float64, len(hosts))
	for i := range hosts {
		born[hosts[i].Name] = hosts[i].BornMS
	}
	for _, k := range servers {
		if s := p.servers[k.Name]; s != nil {
			k.ID = s.id
			if born[k.Name] == s.BornMS { // the same process, by whatever clock
				k.Since = p.shown(s).Since
			}
			m.Servers = append(m.Servers, k)
		}
	}
	p.b.Recall(now, m)
}

// recallBirths takes over when servers started, before any is listed.
func (p *Pool) recallBirths(now time.Duration) {
	for _, h := range p.set.Memory.Hosts {
		if age, ok := p.set.Memory.Ages[h.Name]; ok && h.BornMS != 0 && age >= 0 && age < now {
			p.births.Recall(h.Name, h.BornMS, now-age)
		}
	}
}

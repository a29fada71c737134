package core

import (
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/maintenance"
	"jasperpin/internal/requestid"
)

// Snapshot is what a pool knows, for one that goes on in its place.
type Snapshot struct {
	Endpoints []Endpoint `json:"Hosts"` // as discovery told of them
	// Uptimes are how long ago those started of which that is known, by name.
	Uptimes     map[string]time.Duration `json:"Ages,omitempty"`
	Maintenance maintenance.Snapshot     `json:"Rota"`
	Balancer    decide.Snapshot          `json:"Decide"`
}

// Snapshot gives what the pool knows.
func (p *Pool) Snapshot() Snapshot {
	m := Snapshot{Uptimes: make(map[string]time.Duration)}
	p.do(eventState, func(now time.Duration) {
		for _, s := range p.servers {
			m.Endpoints = append(m.Endpoints, s.Endpoint)
			if s.since > 0 {
				m.Uptimes[s.Name] = now - s.since
			}
		}
		m.Maintenance, m.Balancer = p.rota.Snapshot(now), p.b.Snapshot(now)
		for i := range m.Balancer.Classes {
			if i < len(p.set.Classes) {
				m.Balancer.Classes[i].Name = p.set.Classes[i]
			}
		}
		for i := range m.Balancer.Servers {
			if s := p.byID[m.Balancer.Servers[i].ID]; s != nil {
				m.Balancer.Servers[i].Name = s.Name
			}
		}
	})
	return m
}

// RequestIDs is news of the names in use here, for the node's other processes: all of them
// where whole is wanted or nothing has been told, else what has changed since.
func (p *Pool) RequestIDs(whole bool) (n requestid.Update) {
	p.do(eventState, func(time.Duration) {
		if whole {
			n = p.names.All()
		} else {
			n = p.names.Changes()
		}
	})
	return n
}

// StopTrackingRequestIDs ends the news: there is nobody to hear them.
func (p *Pool) StopTrackingRequestIDs() {
	p.do(eventState, func(time.Duration) { p.names.StopTracking() })
}

// ApplyPeerRequestIDs takes news of the names in use in another process, whose requests are as open as
// those here.
func (p *Pool) ApplyPeerRequestIDs(from requestid.Side, n requestid.Update) (err error) {
	p.do(eventState, func(time.Duration) { err = p.names.ApplyPeer(from, n) })
	return err
}

// ForgetPeerRequestIDs frees another process's names, as it has ended.
func (p *Pool) ForgetPeerRequestIDs(side requestid.Side) {
	p.do(eventState, func(time.Duration) { p.names.ForgetPeer(side) })
}

// recall gives the module what was known before, once it has its list: classes and
// servers are found again by their names.
func (p *Pool) recall(now time.Duration) {
	m, hosts := p.set.Snapshot.Balancer, p.set.Snapshot.Endpoints
	p.set.Snapshot = nil
	classes := make([]decide.ClassSnapshot, len(p.set.Classes))
	for i, name := range p.set.Classes {
		if at := slices.IndexFunc(m.Classes, func(c decide.ClassSnapshot) bool { return c.Name == name }); at >= 0 {
			classes[i] = m.Classes[at]
		}
	}
	m.Classes = classes
	servers := m.Servers
	m.Servers = nil
	born := make(map[string]float64, len(hosts))
	for i := range hosts {
		born[hosts[i].Name] = hosts[i].StartedAtMS
	}
	for _, k := range servers {
		if s := p.servers[k.Name]; s != nil {
			k.ID = s.id
			if born[k.Name] == s.StartedAtMS { // the same process, by whatever clock
				k.StartedAt = p.shown(s).StartedAt
			}
			m.Servers = append(m.Servers, k)
		}
	}
	p.b.Restore(now, m)
}

// recallBirths takes over when servers started, before any is listed.
func (p *Pool) recallBirths(now time.Duration) {
	for _, h := range p.set.Snapshot.Endpoints {
		if age, ok := p.set.Snapshot.Uptimes[h.Name]; ok && h.StartedAtMS != 0 && age >= 0 && age < now {
			p.births.Recall(h.Name, h.StartedAtMS, now-age)
		}
	}
}

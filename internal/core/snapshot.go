package core

import (
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/maintenance"
)

// Snapshot is what a pool knows, for one that replaces it: after a reload in the same process, or in the
// process that takes over. Its form crosses processes of different versions.
type Snapshot struct {
	Endpoints []Endpoint `json:"Hosts"` // as last listed
	// Uptimes are how long ago servers started of which that is known, by name.
	Uptimes     map[string]time.Duration `json:"Ages,omitempty"`
	Maintenance maintenance.Snapshot     `json:"Rota"`
	Balancer    decide.Snapshot          `json:"Decide"`
}

// Snapshot gives what the pool knows.
func (p *Pool) Snapshot() Snapshot {
	snapshot := Snapshot{Uptimes: make(map[string]time.Duration)}
	p.handle(eventState, func(now time.Duration) {
		for _, s := range p.servers {
			snapshot.Endpoints = append(snapshot.Endpoints, s.Endpoint)
			if s.startedAt > 0 {
				snapshot.Uptimes[s.Name] = now - s.startedAt
			}
		}
		snapshot.Maintenance, snapshot.Balancer = p.maintenance.Snapshot(now), p.balancer.Snapshot(now)
		p.addNames(&snapshot.Balancer)
	})
	return snapshot
}

// addNames gives a Balancer's snapshot, which knows classes and servers by number, the names by which
// another pool finds them again.
func (p *Pool) addNames(snapshot *decide.Snapshot) {
	for i := range snapshot.Classes {
		if i < len(p.settings.ClassNames) {
			snapshot.Classes[i].Name = p.settings.ClassNames[i]
		}
	}
	for i := range snapshot.Servers {
		if s := p.serversByID[snapshot.Servers[i].ID]; s != nil {
			snapshot.Servers[i].Name = s.Name
		}
	}
}

// restoreBalancer gives the Balancer what was known before, once it has its servers: classes and servers
// are found again by their names.
func (p *Pool) restoreBalancer(now time.Duration) {
	snapshot, endpoints := p.settings.Snapshot.Balancer, p.settings.Snapshot.Endpoints
	p.settings.Snapshot = nil
	snapshot.Classes = p.matchClasses(snapshot.Classes)
	snapshot.Servers = p.matchServers(snapshot.Servers, endpoints)
	p.balancer.Restore(now, snapshot)
}

// matchClasses puts what was known of classes in the order of this pool's own.
func (p *Pool) matchClasses(known []decide.ClassSnapshot) []decide.ClassSnapshot {
	matched := make([]decide.ClassSnapshot, len(p.settings.ClassNames))
	for i, name := range p.settings.ClassNames {
		at := slices.IndexFunc(known, func(c decide.ClassSnapshot) bool { return c.Name == name })
		if at >= 0 {
			matched[i] = known[at]
		}
	}
	return matched
}

// matchServers gives what was known of the servers that are still listed this pool's ids and start times.
func (p *Pool) matchServers(known []decide.ServerSnapshot, endpoints []Endpoint) (matched []decide.ServerSnapshot) {
	startedAtMS := make(map[string]float64, len(endpoints))
	for i := range endpoints {
		startedAtMS[endpoints[i].Name] = endpoints[i].StartedAtMS
	}
	for _, k := range known {
		s := p.servers[k.Name]
		if s == nil {
			continue
		}
		k.ID = s.id
		if startedAtMS[k.Name] == s.StartedAtMS { // the same process, by whatever clock
			k.StartedAt = p.balancerServer(s).StartedAt
		}
		matched = append(matched, k)
	}
	return matched
}

// restoreStartTimes takes over when servers started, before any is listed.
func (p *Pool) restoreStartTimes(now time.Duration) {
	for _, e := range p.settings.Snapshot.Endpoints {
		uptime, ok := p.settings.Snapshot.Uptimes[e.Name]
		if ok && e.StartedAtMS != 0 && uptime >= 0 && uptime < now {
			p.startTimes.Restore(e.Name, e.StartedAtMS, now-uptime)
		}
	}
}

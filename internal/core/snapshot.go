package core

import (
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/maintenance"
)

// Snapshot is the learned state of a pool, for the handover to the pool that replaces it: after a reload in the
// same process, or after a hot restart in the successor. Processes of different versions exchange its JSON form.
type Snapshot struct {
	Endpoints []Endpoint `json:"Hosts"` // endpoints as they were last listed
	// Uptimes are the ages of the servers whose start time is known, by name.
	Uptimes map[string]time.Duration `json:"Ages,omitempty"`
	// Maintenance are the excluded servers, for another process. In one process all pools of a name
	// share them, and Pool.Snapshot does not set the field.
	Maintenance maintenance.Snapshot `json:"Rota"`
	Balancer    decide.Snapshot      `json:"Decide"`
	// Removed is set if the pool is not configured any more. Then only Maintenance is set.
	Removed bool `json:"Removed,omitempty"`
}

// Snapshot returns the pool's learned state.
func (p *Pool) Snapshot() Snapshot {
	snapshot := Snapshot{Uptimes: make(map[string]time.Duration)}
	p.handle(eventState, func(now time.Duration) {
		for _, s := range p.servers {
			snapshot.Endpoints = append(snapshot.Endpoints, s.Endpoint)
			if s.startedAt > 0 {
				snapshot.Uptimes[s.Name] = now - s.startedAt
			}
		}
		snapshot.Balancer = p.balancer.Snapshot(now)
		p.addNames(&snapshot.Balancer)
	})
	return snapshot
}

// addNames adds the names of classes and servers to a Balancer's snapshot, which identifies them by number.
// Another pool matches them by these names.
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

// restoreBalancer restores the Balancer's learned state from the snapshot, once the Balancer has its servers.
// Classes and servers are matched by name.
func (p *Pool) restoreBalancer(now time.Duration) {
	snapshot, endpoints := p.settings.Snapshot.Balancer, p.settings.Snapshot.Endpoints
	p.settings.Snapshot = nil
	snapshot.Classes = p.matchClasses(snapshot.Classes)
	snapshot.Servers = p.matchServers(snapshot.Servers, endpoints)
	p.balancer.Restore(now, snapshot)
}

// matchClasses returns the known classes in the order of this pool's classes; a class that was not known has
// the zero value.
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

// matchServers returns the known servers that are still listed, with this pool's ids and start times.
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
		if startedAtMS[k.Name] == s.StartedAtMS { // the server has not restarted; its start time on this pool's clock may differ
			k.StartedAt = p.balancerServer(s).StartedAt
		}
		matched = append(matched, k)
	}
	return matched
}

// restoreStartTimes restores the servers' start times from the snapshot, before any server is listed.
func (p *Pool) restoreStartTimes(now time.Duration) {
	for _, e := range p.settings.Snapshot.Endpoints {
		uptime, ok := p.settings.Snapshot.Uptimes[e.Name]
		if ok && e.StartedAtMS != 0 && uptime >= 0 && uptime < now {
			p.startTimes.Restore(e.Name, e.StartedAtMS, now-uptime)
		}
	}
}

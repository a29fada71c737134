package planner

import (
	"slices"
	"time"

	"jasperpin/decide"
)

const (
	// shortageThreshold is the fraction of the mean capacity of all zones below which a zone is short of
	// servers, because it has lost servers or some of them are in slow start.
	shortageThreshold = 0.95
	// reassessInterval is the time between two assessments of a zone's capacity, which grows as servers
	// leave slow start.
	reassessInterval = time.Second
)

// zoneFilter selects the servers that a planner's balancer sees.
//
// A zoned planner places requests on the servers of its own zone. If its balancer saw all servers, it
// would spread the work of a busy zone over other zones, whose servers have not served its keys before,
// and the total throughput would drop. If the zone is short of servers, the balancer sees all servers,
// and the planner declines requests that the balancer would send to another zone, since forwarders can
// use all zones.
type zoneFilter struct {
	enabled         bool
	zone            int // the planner's own zone
	slowStartShare  float64
	slowStartWindow time.Duration

	servers    []decide.Server // the last complete list with all deltas since
	short      bool            // whether the zone is short of servers, so that the balancer sees all servers
	assessedAt time.Duration   // when short was last updated
}

// visible returns the servers of a list that the balancer sees.
func (z *zoneFilter) visible(servers []decide.Server) (visible []decide.Server) {
	for _, s := range servers {
		if !z.enabled || z.short || s.Zone == z.zone {
			visible = append(visible, s)
		}
	}
	return visible
}

// isInOtherZone reports whether a server is in another zone than the planner. The balancer sees such a
// server only while the planner's zone is short of servers.
func (z *zoneFilter) isInOtherZone(id decide.ServerID) bool {
	return z.enabled && z.short && slices.ContainsFunc(z.servers, func(s decide.Server) bool {
		return s.ID == id && s.Zone != z.zone
	})
}

// reassess assesses the zone's capacity once every reassessInterval, and reports whether the servers that
// the balancer sees have changed.
func (z *zoneFilter) reassess(now time.Duration) (changed bool) {
	if !z.enabled || now-z.assessedAt < reassessInterval {
		return false
	}
	return z.assess(now)
}

// update applies a complete list or a delta in one pass. If a server is listed twice, the last entry
// counts. It reports whether the servers that the balancer sees have changed beyond this update, so that
// the balancer needs the complete list.
func (z *zoneFilter) update(now time.Duration, servers []decide.Server, whole bool) (changed bool) {
	last := make(map[decide.ServerID]int, len(servers))
	for i, s := range servers {
		last[s.ID] = i
	}
	if whole {
		z.servers = nil
	}
	z.servers = slices.DeleteFunc(z.servers, func(s decide.Server) bool {
		_, listed := last[s.ID]
		return listed
	})
	for i, s := range servers {
		if last[s.ID] == i && s.State != decide.Gone {
			z.servers = append(z.servers, s)
		}
	}
	return z.assess(now)
}

// assess determines whether the planner's zone is short of servers, and reports whether that changed. A
// server in slow start counts with its current capacity.
func (z *zoneFilter) assess(now time.Duration) (changed bool) {
	z.assessedAt = now
	capacities := make(map[int]float64) // by zone
	total := 0.0
	for _, s := range z.servers {
		if s.State == decide.Ready {
			capacity := s.Capacity * z.slowStartFraction(now, s)
			capacities[s.Zone] += capacity
			total += capacity
		}
	}
	wasShort := z.short
	z.short = z.enabled && capacities[z.zone] < shortageThreshold*total/float64(max(1, len(capacities)))
	return z.short != wasShort
}

// slowStartFraction returns the fraction of its full capacity, 0 to 1, that a server has at a time.
func (z *zoneFilter) slowStartFraction(now time.Duration, s decide.Server) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= z.slowStartWindow {
		return 1
	}
	return z.slowStartShare + (1-z.slowStartShare)*float64(max(age, 0))/float64(z.slowStartWindow)
}

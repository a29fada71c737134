package planner

import (
	"slices"
	"time"

	"jasperpin/decide"
)

const (
	// shortage is the part of the mean capacity of all zones below which a zone is short of servers,
	// as one that has lost some or has them in slow start.
	shortage = 0.95
	// reassessInterval is the time between two looks at a zone's capacity, which grows as servers
	// leave slow start.
	reassessInterval = time.Second
)

// zoneFilter is the rule of which servers a planner's balancer sees.
//
// A zoned planner places requests on its own zone's servers. If it saw all it would spread the work
// of a busy zone over the others, where no server has met its keys, and all zones together would do
// less. Where its zone is short of servers it sees all nevertheless, and declines what the balancer
// would send to another zone: forwarders know all zones.
type zoneFilter struct {
	enabled         bool
	zone            int // the planner's own
	slowStartShare  float64
	slowStartWindow time.Duration

	servers    []decide.Server // the last whole list with the changes since
	short      bool            // the planner's zone is short of servers, so that the balancer sees all
	assessedAt time.Duration
}

// visible returns those of a list that the balancer sees.
func (z *zoneFilter) visible(servers []decide.Server) (visible []decide.Server) {
	for _, s := range servers {
		if !z.enabled || z.short || s.Zone == z.zone {
			visible = append(visible, s)
		}
	}
	return visible
}

// isElsewhere reports whether a server is in another zone than the planner's and was only visible for
// want of others.
func (z *zoneFilter) isElsewhere(id decide.ServerID) bool {
	return z.enabled && z.short && slices.ContainsFunc(z.servers, func(s decide.Server) bool {
		return s.ID == id && s.Zone != z.zone
	})
}

// reassess looks at the zone's capacity from time to time, and reports whether the balancer is to see
// other servers.
func (z *zoneFilter) reassess(now time.Duration) (changed bool) {
	if !z.enabled || now-z.assessedAt < reassessInterval {
		return false
	}
	return z.assess(now)
}

// update applies a whole list or changes of it, in one pass: of a server listed twice the last entry
// counts. It reports whether the balancer is to see the whole list.
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

// assess finds out whether the planner's zone is short of servers, and reports whether that changed.
// A server in slow start counts for what it can do by now.
func (z *zoneFilter) assess(now time.Duration) (changed bool) {
	z.assessedAt = now
	capacities := make(map[int]float64) // by zone
	total := 0.0
	for _, s := range z.servers {
		if s.State == decide.Ready {
			capacity := s.Capacity * z.warmth(now, s)
			capacities[s.Zone] += capacity
			total += capacity
		}
	}
	was := z.short
	z.short = z.enabled && capacities[z.zone] < shortage*total/float64(max(1, len(capacities)))
	return z.short != was
}

// warmth is the part of its capacity, 0 to 1, that a server has by now.
func (z *zoneFilter) warmth(now time.Duration, s decide.Server) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= z.slowStartWindow {
		return 1
	}
	return z.slowStartShare + (1-z.slowStartShare)*float64(max(age, 0))/float64(z.slowStartWindow)
}

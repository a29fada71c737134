package core

import "time"

// FleetPosition is a node's position among the nodes of its fleet. Limits that hold for all nodes together,
// such as the slow-start budget of a server, are divided into one quota for each node.
type FleetPosition struct {
	Index, Count     int       // index of this node, from 0; number of nodes
	UnusedQuotaShare float64   // the part of this node's quota that it must not use, 0 to 1
	Until            time.Time // time from which the node must use none of its quota; the zero time means no limit
}

// SetFleetPosition sets the node's position in its fleet, which may change at any time.
func (p *Pool) SetFleetPosition(position FleetPosition) {
	p.handle(eventState, func(time.Duration) {
		p.fleetPosition = position
		p.applyQuota(position.UnusedQuotaShare)
	})
}

// ReleaseQuota ends the pool's use of the node's quota for good: the pool or the process that takes over continues
// with the pool's slow-start tokens, which must not be spent twice. Open requests begin no more attempts at servers in
// slow start.
func (p *Pool) ReleaseQuota() {
	p.handle(eventState, func(time.Duration) {
		p.quotaReleased = true
		p.applyQuota(1)
	})
}

// applyQuota passes the position to the Balancer, with the part of the quota that it must not use. It is called with
// Pool.mu held.
func (p *Pool) applyQuota(unusedShare float64) {
	if p.quotaReleased {
		unusedShare = 1
	}
	p.balancer.SetFleetPosition(p.fleetPosition.Index, p.fleetPosition.Count, unusedShare)
}

// expireFleetPosition sets the node's quota to 0 once FleetPosition.Until has passed. It is called before
// each event, before any decision: a process that was suspended must not continue to use a quota that other
// nodes may have taken over meanwhile.
func (p *Pool) expireFleetPosition(now time.Duration) {
	if !p.fleetPosition.Until.IsZero() && now >= p.clockTime(p.fleetPosition.Until) {
		p.fleetPosition.Until = time.Time{}
		p.applyQuota(1)
	}
}

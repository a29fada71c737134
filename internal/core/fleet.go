package core

import "time"

// FleetPosition is a node's place among the nodes of its fleet. Bounds that hold over all nodes, as on a
// server that is warming up, are divided by it.
type FleetPosition struct {
	Index, Count  int       // of this node, from 0; of all nodes
	WithheldShare float64   // of this node's part of such bounds, 0 to 1
	Until         time.Time // from then on all of the part is withheld; the zero time stands for no end
}

// SetFleetPosition sets the node's place in its fleet, which may change at any time.
func (p *Pool) SetFleetPosition(position FleetPosition) {
	p.handle(eventState, func(time.Duration) {
		p.balancer.SetFleetPosition(position.Index, position.Count, position.WithheldShare)
		p.fleetPosition = position
	})
}

// expireFleetPosition withholds the node's whole part once its time is over. It runs ahead of each
// event, before anything is decided: a process that was stopped for a while must not go on with a part
// that other nodes may have taken over meanwhile.
func (p *Pool) expireFleetPosition(now time.Duration) {
	if !p.fleetPosition.Until.IsZero() && now >= p.clockTime(p.fleetPosition.Until) {
		p.fleetPosition.Until = time.Time{}
		p.balancer.SetFleetPosition(p.fleetPosition.Index, p.fleetPosition.Count, 1)
	}
}

package core

import (
	"time"

	"jasperpin/internal/requestid"
)

// RequestIDs returns an update of the request ids in use here, for the node's other processes: all ids
// if complete is set or this is the first update, otherwise the changes since the last one.
func (p *Pool) RequestIDs(complete bool) (update requestid.Update) {
	p.handle(eventState, func(time.Duration) {
		if complete {
			update = p.requestIDs.All()
		} else {
			update = p.requestIDs.Changes()
		}
	})
	return update
}

// StopTrackingRequestIDs stops collecting changes, as there is no other process to send them to.
func (p *Pool) StopTrackingRequestIDs() {
	p.handle(eventState, func(time.Duration) { p.requestIDs.StopTracking() })
}

// ApplyPeerRequestIDs applies an update of the request ids in use in another process of the node. These ids
// are in use here too: Submit returns ErrIDInUse for them.
func (p *Pool) ApplyPeerRequestIDs(from requestid.Neighbor, update requestid.Update) (err error) {
	p.handle(eventState, func(time.Duration) { err = p.requestIDs.ApplyPeer(from, update) })
	return err
}

// ForgetPeerRequestIDs removes the request ids of another process, which has ended.
func (p *Pool) ForgetPeerRequestIDs(side requestid.Neighbor) {
	p.handle(eventState, func(time.Duration) { p.requestIDs.ForgetPeer(side) })
}

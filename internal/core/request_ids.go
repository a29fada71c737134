package core

import (
	"time"

	"jasperpin/internal/requestid"
)

// RequestIDs is an update about the request ids in use here, for the node's other processes: all of them
// if complete is set or nothing has been sent, else what has changed since.
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

// StopTrackingRequestIDs stops collecting changes: there is no other process to send them to.
func (p *Pool) StopTrackingRequestIDs() {
	p.handle(eventState, func(time.Duration) { p.requestIDs.StopTracking() })
}

// ApplyPeerRequestIDs takes an update about the request ids in use in another process, whose requests
// are as open as those here.
func (p *Pool) ApplyPeerRequestIDs(from requestid.Neighbor, update requestid.Update) (err error) {
	p.handle(eventState, func(time.Duration) { err = p.requestIDs.ApplyPeer(from, update) })
	return err
}

// ForgetPeerRequestIDs frees another process's request ids, as it has ended.
func (p *Pool) ForgetPeerRequestIDs(side requestid.Neighbor) {
	p.handle(eventState, func(time.Duration) { p.requestIDs.ForgetPeer(side) })
}

package core

import (
	"sync"
	"time"

	"jasperpin/internal/maintenance"
	"jasperpin/internal/requestid"
)

// SharedState is the state of a pool that must outlive its Pool object: a reload replaces the Pool, and the old one
// continues with its open requests. All Pools of one name in a process use the same SharedState, the only owner
// of the clients' request ids in use and of the servers that operators have excluded. Its methods may be called
// concurrently.
type SharedState struct {
	clock clock

	mu          sync.Mutex // guards the following fields; may be locked with Pool.mu held, and is held for one operation
	requestIDs  *requestid.Registry
	heldIDs     int // number of ids that holdRequestID keeps in use
	maintenance *maintenance.Registry
	pools       map[*Pool]struct{} // the pools that use the state and are not closed
}

// NewSharedState returns a state without request ids and exclusions. clockStart is the origin of the Balancers' clock. All pools of
// a process use the same origin, so that a step of the wall clock does not shift the clock of a pool that is made later.
func NewSharedState(clockStart time.Time) *SharedState {
	return &SharedState{
		clock: clock{clockStart}, requestIDs: requestid.New(), maintenance: maintenance.New(), pools: make(map[*Pool]struct{}),
	}
}

// openRequestID marks a request id as in use. It returns false if the id is in use already.
func (s *SharedState) openRequestID(id string) bool {
	s.mu.Lock()
	opened := s.requestIDs.Open(id)
	s.mu.Unlock()
	return opened
}

// closeRequestID frees a request id.
func (s *SharedState) closeRequestID(id string) {
	s.mu.Lock()
	s.requestIDs.Close(id)
	s.mu.Unlock()
}

// The ids of requests whose clients have left stay in use for heldIDTime, the longest time for which a client may
// wait, but at most maxHeldIDs of them.
const (
	heldIDTime = MaxClientTimeout
	maxHeldIDs = 4096
)

// holdRequestID frees a request id after heldIDTime, or now if too many ids are held.
func (s *SharedState) holdRequestID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldIDs >= maxHeldIDs {
		s.requestIDs.Close(id)
		return
	}
	s.heldIDs++
	time.AfterFunc(heldIDTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.heldIDs--
		s.requestIDs.Close(id)
	})
}

// RequestIDs returns an update for another process of the node, with the request ids in use here and in the processes
// beyond this one: all ids if complete is set or this is the first update, otherwise the changes since the last one.
func (s *SharedState) RequestIDs(to requestid.Neighbor, complete bool) requestid.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	if complete {
		return s.requestIDs.Complete(to)
	}
	return s.requestIDs.Changes(to)
}

// ApplyPeerRequestIDs applies an update of the request ids in use in another process of the node. These ids
// are in use here too: Pool.Submit returns ErrIDInUse for them.
func (s *SharedState) ApplyPeerRequestIDs(from requestid.Neighbor, update requestid.Update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestIDs.ApplyPeer(from, update)
}

// ForgetPeerRequestIDs removes the request ids of another process, which has ended. Ids that it has not ended stay in use
// for heldIDTime: their requests may have run.
func (s *SharedState) ForgetPeerRequestIDs(side requestid.Neighbor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.requestIDs.KeepPeer(side, maxHeldIDs-s.heldIDs)
	s.requestIDs.ForgetPeer(side)
	if len(kept) == 0 {
		return
	}
	s.heldIDs += len(kept)
	time.AfterFunc(heldIDTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.heldIDs -= len(kept)
		s.requestIDs.Release(kept)
	})
}

// Empty reports whether the state contains nothing that a later pool of its name would need.
func (s *SharedState) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestIDs.Empty() && s.maintenance.Empty()
}

// attach adds a pool that uses the state. It must be called before the pool has servers: each of them is either
// added after an exclusion, or updated by it.
func (s *SharedState) attach(p *Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[p] = struct{}{}
}

// detach removes a pool that is closed.
func (s *SharedState) detach(p *Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pools, p)
}

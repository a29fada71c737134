package service

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/requestid"
)

// sharedStates holds the state that outlives the pools of each name. A state exists as long as a pool uses it, whether
// current or draining, or as it contains anything. Its methods may be called concurrently.
type sharedStates struct {
	clockStart time.Time // origin of the clock of all pools

	mu     sync.Mutex // guards byName; locked before the locks of pools and states
	byName map[string]*sharedEntry
}

// sharedEntry is the state of the pools of one name.
type sharedEntry struct {
	*core.SharedState
	pools int // pools that use the state
}

// unused reports whether no pool uses the state, and a later pool of its name does not need it.
func (e *sharedEntry) unused() bool { return e.pools == 0 && e.Empty() }

func newSharedStates(clockStart time.Time) *sharedStates {
	return &sharedStates{clockStart: clockStart, byName: make(map[string]*sharedEntry)}
}

// acquire returns the state for a new pool. The pool must be released once.
func (s *sharedStates) acquire(name string) *core.SharedState {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entry(name)
	entry.pools++
	return entry.SharedState
}

// release ends the use of a state by a pool.
func (s *sharedStates) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byName[name]
	entry.pools--
	if entry.unused() {
		delete(s.byName, name)
	}
}

// entry returns the entry of a name, which it creates if there is none. It is called with mu held.
func (s *sharedStates) entry(name string) *sharedEntry {
	entry := s.byName[name]
	if entry == nil {
		entry = &sharedEntry{SharedState: core.NewSharedState(s.clockStart)}
		s.byName[name] = entry
	}
	return entry
}

// removeUnused removes all states that are not used any more.
func (s *sharedStates) removeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byName, func(_ string, entry *sharedEntry) bool { return entry.unused() })
}

// change calls do for the state of a name, or returns ErrUnknownPool. The state is not removed meanwhile.
func (s *sharedStates) change(name string, do func(*core.SharedState) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byName[name]
	if entry == nil {
		return ErrUnknownPool
	}
	return do(entry.SharedState)
}

// restore adds the excluded servers that another process has handed over.
func (s *sharedStates) restore(snapshots map[string]core.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, snapshot := range snapshots {
		s.entry(name).RestoreMaintenance(snapshot.Maintenance)
	}
}

// each calls do for all states.
func (s *sharedStates) each(do func(name string, state *core.SharedState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, entry := range s.byName {
		do(name, entry.SharedState)
	}
}

// ErrUnknownPool means that there is no pool with a name, neither current nor draining.
var ErrUnknownPool = errors.New("unknown pool")

// Exclude takes a server out of rotation until Include, in all pools of a name: the current one and those that are
// draining, and those that a later configuration adds. The error is ErrUnknownPool or one of core.SharedState.Exclude.
func (s *Set) Exclude(pool, server string) error {
	return s.shared.change(pool, func(state *core.SharedState) error { return state.Exclude(server) })
}

// Include puts an excluded server back into rotation, in all pools of a name. The error is ErrUnknownPool or one of
// core.SharedState.Include.
func (s *Set) Include(pool, server string) error {
	return s.shared.change(pool, func(state *core.SharedState) error { return state.Include(server) })
}

// ExcludeUnlisted is like Exclude for a call that another process of the node has accepted: the pool may be configured
// here later, and the server listed later. The error is one of package maintenance.
func (s *Set) ExcludeUnlisted(pool, server string) error {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return s.shared.entry(pool).ExcludeUnlisted(server)
}

// RequestIDs returns updates for another process of the node, by pool, with the request ids opened and closed since the
// last call, or all that are open if complete is set. They include those of draining pools.
func (s *Set) RequestIDs(to requestid.Neighbor, complete bool) map[string]requestid.Update {
	updates := make(map[string]requestid.Update)
	s.shared.each(func(name string, state *core.SharedState) {
		if update := state.RequestIDs(to, complete); !update.Empty() {
			updates[name] = update
		}
	})
	return updates
}

// ApplyPeerRequestIDs applies the request ids of another process to the pool of a name, which may be configured later.
func (s *Set) ApplyPeerRequestIDs(name string, from requestid.Neighbor, update requestid.Update) error {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	if err := s.shared.entry(name).ApplyPeerRequestIDs(from, update); err != nil {
		return fmt.Errorf("applying the request ids of pool %q: %w", name, err)
	}
	return nil
}

// ForgetPeerRequestIDs frees the request ids of a process that has ended and stops the updates for it, in all pools.
func (s *Set) ForgetPeerRequestIDs(side requestid.Neighbor) {
	s.shared.each(func(_ string, state *core.SharedState) { state.ForgetPeerRequestIDs(side) })
	s.shared.removeUnused()
}

package fsm

import (
	"cmp"
	"slices"
)

// Event is one change of a lease or an entry.
type Event struct {
	Revision uint64 `json:"Rev"`
	Lease    bool   `json:"Lease"` // whether Name is a lease; otherwise it is the key of an entry
	Name     string `json:"Name"`
	Deleted  bool   `json:"Gone"` // the lease expired or was released, or the entry was deleted
}

// recordEvent increments the revision for a change and appends the event of the change.
func (s *State) recordEvent(e Event) {
	s.revision++
	e.Revision = s.revision
	if len(s.events) == maxEvents {
		// Drop half of the events at once, so the remaining ones are copied only once per maxEvents/2 changes.
		s.compacted = s.events[maxEvents/2-1].Revision
		s.events = append(s.events[:0], s.events[maxEvents/2:]...)
	}
	s.events = append(s.events, e)
}

// EventsSince returns the events after a revision. It returns false if some of them are no longer
// retained or the state has not reached the revision; the watcher must then read the whole state.
func (s *State) EventsSince(revision uint64) ([]Event, bool) {
	if revision < s.compacted || revision > s.revision {
		return nil, false
	}
	// The revision itself may have no event, so search for the first event after it.
	first, _ := slices.BinarySearchFunc(s.events, revision+1, func(e Event, revision uint64) int {
		return cmp.Compare(e.Revision, revision)
	})
	return slices.Clone(s.events[first:]), true
}

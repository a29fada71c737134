package fsm

import (
	"cmp"
	"slices"
)

// Event is one change of a lease or an entry.
type Event struct {
	Revision uint64 `json:"Rev"`
	Lease    bool   `json:"Lease"` // of a lease; otherwise of an entry
	Name     string `json:"Name"`
	Deleted  bool   `json:"Gone"` // the lease has ended, or the entry was deleted
}

// recordEvent gives a change the next revision and retains its event.
func (s *State) recordEvent(e Event) {
	s.revision++
	e.Revision = s.revision
	if len(s.events) == maxEvents {
		// Half of them at once: the remaining events are copied once in maxEvents/2 changes.
		s.compacted = s.events[maxEvents/2-1].Revision
		s.events = append(s.events[:0], s.events[maxEvents/2:]...)
	}
	s.events = append(s.events, e)
}

// EventsSince returns the events after a revision. It returns false where some of them are no longer
// retained, or the revision is not one of this state: the watcher is to read the whole state.
func (s *State) EventsSince(revision uint64) ([]Event, bool) {
	if revision < s.compacted || revision > s.revision {
		return nil, false
	}
	// The revision may have no event of its own: the first one after it is wanted.
	first, _ := slices.BinarySearchFunc(s.events, revision+1, func(e Event, revision uint64) int {
		return cmp.Compare(e.Revision, revision)
	})
	return slices.Clone(s.events[first:]), true
}

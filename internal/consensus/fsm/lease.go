package fsm

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Lease is a lease in force.
type Lease struct {
	Name   string `json:"Name"`
	Holder string `json:"Holder"`
	// FencingToken is the fencing token, greater than that of every grant before, whatever its name.
	FencingToken uint64        `json:"Fence"`
	Deadline     time.Duration `json:"Until"` // on the cluster clock
	TTL          time.Duration `json:"TTL"`
}

// applyLease executes Acquire, Renew and Release.
func (s *State) applyLease(c Command) Result {
	if c.Holder == "" || len(c.Holder) > MaxName {
		return Result{Code: codeMalformed}
	}
	if c.Op != Release && (c.TTL <= 0 || c.TTL > MaxTTL) {
		return Result{Code: codeMalformed}
	}
	l, exists := s.leases[c.Name]
	if c.Op == Acquire {
		return s.acquire(c, l, exists)
	}
	if !exists || l.Holder != c.Holder || l.FencingToken != c.FencingToken {
		return rejectedLease(l, codeLost)
	}
	if c.Op == Release {
		delete(s.leases, c.Name)
		s.recordEvent(Event{Lease: true, Name: c.Name, Deleted: true})
		return Result{}
	}
	return s.extend(l, c.TTL)
}

// acquire grants a lease that is free. For its holder, which may have lost the answer to the grant,
// it extends the lease.
func (s *State) acquire(c Command, l Lease, exists bool) Result {
	switch {
	case exists && l.Holder == c.Holder:
		return s.extend(l, c.TTL)
	case exists:
		return rejectedLease(l, codeHeld)
	case len(s.leases) >= MaxLeases:
		return Result{Code: codeFull}
	}
	s.recordEvent(Event{Lease: true, Name: c.Name})
	return s.storeLease(Lease{Name: c.Name, Holder: c.Holder, FencingToken: s.revision, Deadline: s.now + c.TTL, TTL: c.TTL})
}

// extend renews a lease. It never shortens one, and causes no event: its holder stays the same.
func (s *State) extend(l Lease, ttl time.Duration) Result {
	l.Deadline, l.TTL = max(l.Deadline, s.now+ttl), ttl
	return s.storeLease(l)
}

func (s *State) storeLease(l Lease) Result {
	s.leases[l.Name] = l
	s.nextExpiry = min(s.nextExpiry, l.Deadline)
	return Result{FencingToken: l.FencingToken, Holder: l.Holder}
}

// rejectedLease rejects a command and names the lease in force, if there is one.
func rejectedLease(l Lease, code string) Result {
	return Result{FencingToken: l.FencingToken, Holder: l.Holder, Code: code}
}

// expireLeases ends the leases whose deadline has passed, by deadline and then by name: the order
// of events must be the same on all replicas. It lowers nextExpiry to the first deadline left.
func (s *State) expireLeases() {
	var expired []Lease
	for _, l := range s.leases {
		if l.Deadline <= s.now {
			expired = append(expired, l)
		} else {
			s.nextExpiry = min(s.nextExpiry, l.Deadline)
		}
	}
	slices.SortFunc(expired, func(a, b Lease) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), strings.Compare(a.Name, b.Name))
	})
	for _, l := range expired {
		delete(s.leases, l.Name)
		s.recordEvent(Event{Lease: true, Name: l.Name, Deleted: true})
	}
}

// UntilNextExpiry is how long until the first lease expires unless it is renewed, 0 for one whose
// deadline has passed since the last command. It returns false where no lease is held.
func (s *State) UntilNextExpiry() (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, l := range s.leases {
		if !found || l.Deadline < first {
			first, found = l.Deadline, true
		}
	}
	return max(0, first-s.now), found
}

// Lease returns the lease of a name, and false where it is free.
func (s *State) Lease(name string) (Lease, bool) {
	l, ok := s.leases[name]
	return l, ok
}

// Leases returns the leases whose names begin with a prefix, ordered by name.
func (s *State) Leases(prefix string) []Lease { return withPrefix(s.leases, prefix) }

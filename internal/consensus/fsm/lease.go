package fsm

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Lease is a lease that has been granted and has not ended.
type Lease struct {
	Name   string `json:"Name"`
	Holder string `json:"Holder"`
	// FencingToken is greater than the tokens of all earlier grants of any lease.
	FencingToken uint64        `json:"Fence"`
	Deadline     time.Duration `json:"Until"` // when the lease expires, on the cluster clock
	TTL          time.Duration `json:"TTL"`
}

// applyLease executes Acquire, Renew and Release.
func (s *State) applyLease(command Command) Result {
	if command.Holder == "" || len(command.Holder) > MaxName {
		return Result{Code: codeMalformed}
	}
	if command.Op != Release && (command.TTL <= 0 || command.TTL > MaxTTL) {
		return Result{Code: codeMalformed}
	}
	lease, exists := s.leases[command.Name]
	if command.Op == Acquire {
		return s.acquire(command, lease, exists)
	}
	if !exists || lease.Holder != command.Holder || lease.FencingToken != command.FencingToken {
		return rejectedLease(lease, codeLost)
	}
	if command.Op == Release {
		delete(s.leases, command.Name)
		s.recordEvent(Event{Lease: true, Name: command.Name, Deleted: true})
		return Result{}
	}
	return s.extend(lease, command.TTL)
}

// acquire grants a lease that is free. If command.Holder already holds the lease, acquire extends it: the holder
// may not have received the result of the grant.
func (s *State) acquire(command Command, lease Lease, exists bool) Result {
	switch {
	case exists && lease.Holder == command.Holder:
		return s.extend(lease, command.TTL)
	case exists:
		return rejectedLease(lease, codeHeld)
	case len(s.leases) >= MaxLeases:
		return Result{Code: codeFull}
	}
	s.recordEvent(Event{Lease: true, Name: command.Name})
	return s.storeLease(Lease{Name: command.Name, Holder: command.Holder, FencingToken: s.revision, Deadline: s.now + command.TTL, TTL: command.TTL})
}

// extend renews a lease. It never shortens the lease, and records no event, as the holder does not change.
func (s *State) extend(l Lease, ttl time.Duration) Result {
	l.Deadline, l.TTL = max(l.Deadline, s.now+ttl), ttl
	return s.storeLease(l)
}

func (s *State) storeLease(l Lease) Result {
	s.leases[l.Name] = l
	s.nextExpiry = min(s.nextExpiry, l.Deadline)
	return Result{FencingToken: l.FencingToken, Holder: l.Holder}
}

// rejectedLease returns the Result for a rejected command, with the holder and token of the current lease l, if any.
func rejectedLease(l Lease, code string) Result {
	return Result{FencingToken: l.FencingToken, Holder: l.Holder, Code: code}
}

// expireLeases removes the leases whose deadline has passed, ordered by deadline and then by name, since the
// order of events must be the same on all replicas. It lowers nextExpiry to the earliest remaining deadline.
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

// UntilNextExpiry returns the time until the next lease expires unless it is renewed; 0 if its deadline has
// been reached. It returns false if no lease is held.
func (s *State) UntilNextExpiry() (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, l := range s.leases {
		if !found || l.Deadline < first {
			first, found = l.Deadline, true
		}
	}
	return max(0, first-s.now), found
}

// Lease returns the lease with a name, and false if it is free.
func (s *State) Lease(name string) (Lease, bool) {
	l, ok := s.leases[name]
	return l, ok
}

// Leases returns the leases whose names begin with prefix, ordered by name.
func (s *State) Leases(prefix string) []Lease { return withPrefix(s.leases, prefix) }

package ownership

import (
	"time"

	"jasperpin/internal/idempotency"
)

// Role is what a member is to a key.
type Role uint8

const (
	// Owner decides about the key, with a copy at the replica.
	Owner Role = iota
	// NotOwner says that another member decides about the key.
	NotOwner
	// NotReady is an owner that has not heard from all others yet, or whose lease has expired: requests
	// are to come back.
	NotReady
)

// Assignment is what a member may decide about by its table and its lease.
type Assignment struct {
	self     string
	table    Table
	awaited  map[string]bool // members whose transfer has not arrived under this table
	leaseEnd time.Duration
}

// NewAssignment is that of a member before its first table: it owns nothing.
func NewAssignment(self string) *Assignment { return &Assignment{self: self} }

// ExtendLease says until when the group keeps this member in the table. After that another member may own its
// keys, and this one decides about none. An earlier end than the one known changes nothing.
func (a *Assignment) ExtendLease(end time.Duration) { a.leaseEnd = max(a.leaseEnd, end) }

// Epoch is that of the table in force.
func (a *Assignment) Epoch() uint64 { return a.table.Epoch }

// SetTable puts a newer table in force, and returns false for any other. A transfer is awaited then from every
// other member: until it has arrived, a key that the member may have run cannot be told from a new one. Members
// that have gone are not awaited: the replicas of their keys are members, or had the only copies.
func (a *Assignment) SetTable(t Table) bool {
	if t.Epoch <= a.table.Epoch {
		return false
	}
	a.table, a.awaited = t, make(map[string]bool)
	for _, m := range t.members {
		if m != a.self {
			a.awaited[m] = true
		}
	}
	return true
}

// KeysFor returns the keys of a store that another member holds by the table in force, as owner or replica.
func (a *Assignment) KeysFor(s *idempotency.Store, member string) []idempotency.Key {
	if member == a.self {
		return nil
	}
	var keys []idempotency.Key
	for _, k := range s.Keys() {
		if h := a.table.Holders(k); h.Owner == member || h.Replica == member {
			keys = append(keys, k)
		}
	}
	return keys
}

// Holds reports whether this member holds a key by the table in force, as owner or replica.
func (a *Assignment) Holds(k idempotency.Key) bool {
	h := a.table.Holders(k)
	return h.Owner == a.self || h.Replica == a.self
}

// TransferArrived notes the transfer of a member under an epoch. One of another epoch changes nothing.
func (a *Assignment) TransferArrived(from string, epoch uint64) {
	if epoch == a.table.Epoch {
		delete(a.awaited, from)
	}
}

// RoleFor returns what this member is to a key, and which members hold it.
func (a *Assignment) RoleFor(now time.Duration, k idempotency.Key) (Role, Holders) {
	h := a.table.Holders(k)
	switch {
	case h.Owner != a.self:
		return NotOwner, h
	case len(a.awaited) > 0 || now >= a.leaseEnd:
		return NotReady, h
	}
	return Owner, h
}

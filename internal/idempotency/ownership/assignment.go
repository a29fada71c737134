package ownership

import (
	"time"

	"jasperpin/internal/idempotency"
)

// Role is the role of a member for a key.
type Role uint8

const (
	// Owner means that the member decides about the key. The replica has a copy.
	Owner Role = iota
	// NotOwner means that another member decides about the key.
	NotOwner
	// NotReady means that the member is the owner, but has not received all transfers yet or its lease has
	// expired. Clients must retry their requests later.
	NotReady
)

// Assignment determines the keys that a member may decide about, by its table and its lease.
type Assignment struct {
	self     string
	table    Table
	awaited  map[string]bool // members whose transfer under this table has not arrived
	leaseEnd time.Duration
}

// NewAssignment returns the Assignment of a member that has no table yet and owns no key.
func NewAssignment(self string) *Assignment { return &Assignment{self: self} }

// ExtendLease extends the lease of this member in the table to an end time. After that time another member may
// own its keys, and this member decides about none. An end before the current one is ignored.
func (a *Assignment) ExtendLease(end time.Duration) { a.leaseEnd = max(a.leaseEnd, end) }

// Epoch returns the epoch of the current table, or 0 before the first table.
func (a *Assignment) Epoch() uint64 { return a.table.Epoch }

// SetTable applies a newer table and returns true; it ignores any other table and returns false. After it, a
// transfer is awaited from every other member: until that transfer has arrived, a key that the member may have
// run cannot be distinguished from a new one. No transfer is awaited from members that were removed: the
// replicas of their keys are members, or these members had the only copies.
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

// KeysFor returns the keys of a store that another member holds under the current table, as owner or replica.
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

// Holds reports whether this member holds a key under the current table, as owner or replica.
func (a *Assignment) Holds(k idempotency.Key) bool {
	h := a.table.Holders(k)
	return h.Owner == a.self || h.Replica == a.self
}

// TransferArrived records that the transfer of a member under an epoch has arrived. It ignores transfers of
// another epoch.
func (a *Assignment) TransferArrived(from string, epoch uint64) {
	if epoch == a.table.Epoch {
		delete(a.awaited, from)
	}
}

// RoleFor returns the role of this member for a key, and the members that hold the key.
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

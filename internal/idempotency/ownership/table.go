package ownership

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"jasperpin/internal/idempotency"
)

// maxMembers bounds a table: the weights of all members are computed for each key.
const maxMembers = 256

// Why a table cannot be made.
var (
	errBadMembers    = errors.New("want each member once, and not too many")
	errUnnamedMember = errors.New("a member has no name")
)

// Table says which members hold keys, as the group has agreed under a fencing number, the epoch.
type Table struct {
	Epoch   uint64
	members []string // sorted
}

// Holders are the members that hold a key; "" stands for none.
type Holders struct {
	Owner   string // decides about the key
	Replica string // holds a copy
}

// NewTable makes a table of members by their names. Its error wraps errBadMembers or errUnnamedMember.
func NewTable(epoch uint64, members []string) (Table, error) {
	m := slices.Compact(slices.Sorted(slices.Values(members)))
	switch {
	case len(m) != len(members) || len(m) > maxMembers:
		return Table{}, fmt.Errorf("ownership: %d members, %d different, at most %d: %w", len(members), len(m), maxMembers, errBadMembers)
	case slices.Contains(m, ""):
		return Table{}, fmt.Errorf("ownership: %w", errUnnamedMember)
	}
	return Table{epoch, m}, nil
}

// Holders returns the members that hold a key, by rendezvous hashing: where the owner goes the replica becomes
// the owner, and a new member takes keys from all others alike.
func (t Table) Holders(k idempotency.Key) Holders {
	var h Holders
	var ownerWeight, replicaWeight uint64
	for _, m := range t.members {
		w := weight(m, k)
		switch {
		case h.Owner == "" || w > ownerWeight:
			h.Replica, replicaWeight = h.Owner, ownerWeight
			h.Owner, ownerWeight = m, w
		case h.Replica == "" || w > replicaWeight:
			h.Replica, replicaWeight = m, w
		}
	}
	return h
}

// Has reports whether somebody is a member.
func (t Table) Has(member string) bool {
	_, ok := slices.BinarySearch(t.members, member)
	return ok
}

// weight is a member's weight for a key: pseudo-random, and the same everywhere.
func weight(member string, k idempotency.Key) uint64 {
	h := sha256.New()
	for _, text := range []string{member, k.Tenant, k.Class, k.Text} {
		var length [4]byte // so that no two texts run into each other
		binary.BigEndian.PutUint32(length[:], uint32(len(text)))
		h.Write(length[:])
		h.Write([]byte(text))
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

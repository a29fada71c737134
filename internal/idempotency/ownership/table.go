package ownership

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"jasperpin/internal/idempotency"
)

// maxMembers limits the size of a table: the weights of all members are computed for each key.
const maxMembers = 256

// Errors of NewTable.
var (
	errInvalidMembers = errors.New("duplicate member or too many members")
	errUnnamedMember  = errors.New("member without a name")
)

// Table determines which members hold which keys, as agreed by the group. Its epoch is a fencing number. The
// zero Table has no members.
type Table struct {
	Epoch   uint64
	members []string // sorted
}

// Holders are the members that hold a key; "" means none.
type Holders struct {
	Owner   string // decides about the key
	Replica string // holds a copy
}

// NewTable returns a table of members, given their names. Its error wraps errInvalidMembers or errUnnamedMember.
func NewTable(epoch uint64, members []string) (Table, error) {
	m := slices.Compact(slices.Sorted(slices.Values(members)))
	switch {
	case len(m) != len(members) || len(m) > maxMembers:
		return Table{}, fmt.Errorf("ownership: %d members, %d distinct, at most %d: %w", len(members), len(m), maxMembers, errInvalidMembers)
	case slices.Contains(m, ""):
		return Table{}, fmt.Errorf("ownership: %w", errUnnamedMember)
	}
	return Table{epoch, m}, nil
}

// Holders returns the members that hold a key, by rendezvous hashing: if the owner is removed, the replica
// becomes the owner, and a new member receives an equal share of the keys of each other member.
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

// Has reports whether the table contains a member.
func (t Table) Has(member string) bool {
	_, ok := slices.BinarySearch(t.members, member)
	return ok
}

// weight returns the weight of a member for a key. It is pseudo-random, and equal on all members.
func weight(member string, k idempotency.Key) uint64 {
	h := sha256.New()
	for _, text := range []string{member, k.Tenant, k.Class, k.Text} {
		var length [4]byte // length prefix, so that different texts never have the same input to the hash
		binary.BigEndian.PutUint32(length[:], uint32(len(text)))
		h.Write(length[:])
		h.Write([]byte(text))
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

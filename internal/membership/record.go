package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"strconv"
)

const (
	// MaxNameBytes bounds a name or a zone, in bytes, so that a record fits in one packet.
	MaxNameBytes = 128
	// MaxWeight bounds a member's weight, so that a single record cannot reduce all other quotas of a fleet to
	// almost 0.
	MaxWeight = 1e6
)

// Errors of View.Merge for a rejected record.
var (
	// ErrRecord rejects a malformed record.
	ErrRecord = errors.New("malformed record")
	// ErrName rejects a joiner whose name belongs to another identity that may be serving.
	ErrName = errors.New("name belongs to another member")
	// ErrFull rejects a new member while the view stores MaxMembers incarnations.
	ErrFull = errors.New("view is at capacity")
)

// Sequence numbers that no member uses for its own records.
const (
	// leaveOnBehalfSeq is the sequence number of a leave that an operator sends. It replaces every record that the
	// member has sent.
	leaveOnBehalfSeq = math.MaxUint64 - 1
	// endedSeq marks an incarnation that another source has proven to have ended. It is never sent.
	endedSeq = math.MaxUint64
)

// MemberState is the state of a member, which its record reports.
type MemberState uint8

// States of a member. The zero value is the state of a member from which no record has arrived.
const (
	// Joining is the state of a member that has no quota yet.
	Joining MemberState = iota + 1
	// Serving is the state of a member that uses its quota.
	Serving
	// Leaving is the state of a member that has given up its quota, which proves that other members need not
	// count it any more.
	Leaving
)

// Identity identifies a member across its incarnations by its name and a number drawn once for its directory. Two
// identities with the same name are a configuration error.
type Identity struct {
	Name        string
	DirectoryID uint64
}

// ID identifies one incarnation of a member. Later incarnations of an identity have greater numbers.
type ID struct {
	Identity
	Incarnation uint64
}

func (id ID) compare(other ID) int {
	return cmp.Or(
		cmp.Compare(id.Name, other.Name),
		cmp.Compare(id.DirectoryID, other.DirectoryID),
		cmp.Compare(id.Incarnation, other.Incarnation),
	)
}

// digest returns the value that the incarnation adds to the digest of a set.
func (id ID) digest() uint64 {
	return hash(id.Incarnation, id.Name) ^ hash(^id.Incarnation, strconv.FormatUint(id.DirectoryID, 36))
}

// hash must return the same value on all members and in all versions.
func hash(n uint64, text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, n)) // never returns an error
	_, _ = io.WriteString(h, text)                        // io.WriteString to a hash never returns an error
	return h.Sum64()
}

// Record is the state of a member as it sends it to the others.
type Record struct {
	ID
	// Seq orders the records of one incarnation: the one with the greatest Seq is current. It starts at 1.
	Seq    uint64
	Zone   string  // the zone that the member runs in, for operators
	Weight float64 // the member's weight in the division of quotas, above 0 and at most MaxWeight; constant for an incarnation
	State  MemberState
	// EndedUpTo is the greatest incarnation of this identity up to which all have ended, as the process has
	// checked on its machine; 0 for none.
	EndedUpTo uint64
	// Digest is the digest of the set of incarnations that the member counts, including its own.
	Digest uint64
}

// check returns an error for a record that no correct member sends.
func (r *Record) check() error {
	switch {
	case r.Seq == 0 || r.Seq == endedSeq:
		return fmt.Errorf("%w: sequence number %d, want 1 or more and less than %d", ErrRecord, r.Seq, uint64(endedSeq))
	case r.Name == "" || len(r.Name) > MaxNameBytes || len(r.Zone) > MaxNameBytes:
		return fmt.Errorf("%w: name of %d bytes and zone of %d, want a name of 1 to %d bytes and a zone of at most as many", ErrRecord, len(r.Name), len(r.Zone), MaxNameBytes)
	case r.Incarnation == 0 || r.EndedUpTo >= r.Incarnation:
		return fmt.Errorf("%w: incarnation %d with ended incarnations up to %d, want one above 0 and above the ended ones", ErrRecord, r.Incarnation, r.EndedUpTo)
	case !(r.Weight > 0) || r.Weight > MaxWeight: // r.Weight > 0 is false for NaN
		return fmt.Errorf("%w: weight %v, want one above 0 and at most %.0f", ErrRecord, r.Weight, float64(MaxWeight))
	case r.State < Joining || r.State > Leaving:
		return fmt.Errorf("%w: state %d, want %d to %d", ErrRecord, r.State, Joining, Leaving)
	}
	return nil
}

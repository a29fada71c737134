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
	// MaxWeight bounds a member's weight: a single record must not take all of a fleet's quotas.
	MaxWeight = 1e6
)

// Why a record is rejected.
var (
	// ErrRecord rejects a malformed record.
	ErrRecord = errors.New("the record cannot be used")
	// ErrName rejects a joiner whose name belongs to another identity that may be serving.
	ErrName = errors.New("another process is a member under this name")
	// ErrFull rejects a new member while the view holds MaxMembers incarnations.
	ErrFull = errors.New("the view is full")
)

// Sequence numbers that no member sends of itself.
const (
	// leaveOnBehalfSeq is that of an operator's record: it replaces whatever the member has sent.
	leaveOnBehalfSeq = math.MaxUint64 - 1
	// endedSeq marks an incarnation that another source has proven to have ended. It is never sent.
	endedSeq = math.MaxUint64
)

// MemberState is what a member says of itself.
type MemberState uint8

// States of a member. The zero value is that of a member of which no record has arrived.
const (
	// Joining has no quota yet.
	Joining MemberState = iota + 1
	// Serving uses its quota.
	Serving
	// Leaving has given its quota up, which proves that the incarnation has ended for all bounds.
	Leaving
)

// Identity is a member across its incarnations: its name, and a number drawn once for its directory. Two
// identities of one name are a configuration error.
type Identity struct {
	Name        string
	DirectoryID uint64
}

// ID is one incarnation of a member. Later incarnations of an identity have greater numbers.
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

// digest is what an incarnation adds to the digest of a set.
func (id ID) digest() uint64 {
	return hash(id.Incarnation, id.Name) ^ hash(^id.Incarnation, strconv.FormatUint(id.DirectoryID, 36))
}

// hash is the same at all members, in all versions.
func hash(n uint64, text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, n)) // it never returns an error
	_, _ = io.WriteString(h, text)                        // likewise
	return h.Sum64()
}

// Record is what a member sends of itself.
type Record struct {
	ID
	// Seq orders the records of one incarnation: the greatest holds. It starts at 1.
	Seq    uint64
	Zone   string  // the zone that it runs in, for operators
	Weight float64 // of its quota against others', above 0 and up to MaxWeight, fixed for an incarnation
	State  MemberState
	// EndedUpTo is the incarnation up to which all of this identity have ended, as the process knows
	// from its own machine; 0 for none.
	EndedUpTo uint64
	// Digest is that of the set of incarnations that the member counts, with its own.
	Digest uint64
}

// check rejects a record that no member would send.
func (r *Record) check() error {
	switch {
	case r.Seq == 0 || r.Seq == endedSeq:
		return fmt.Errorf("%w: its sequence number is %d, want one above 0 and below %d", ErrRecord, r.Seq, uint64(endedSeq))
	case r.Name == "" || len(r.Name) > MaxNameBytes || len(r.Zone) > MaxNameBytes:
		return fmt.Errorf("%w: its name has %d bytes and its zone %d, want a name of 1 to %d bytes and a zone of as many at most", ErrRecord, len(r.Name), len(r.Zone), MaxNameBytes)
	case r.Incarnation == 0 || r.EndedUpTo >= r.Incarnation:
		return fmt.Errorf("%w: incarnation %d, with those up to %d ended, want one above 0 and above those", ErrRecord, r.Incarnation, r.EndedUpTo)
	case !(r.Weight > 0) || r.Weight > MaxWeight: // which is false for NaN
		return fmt.Errorf("%w: its weight is %v, want one above 0 and up to %.0f", ErrRecord, r.Weight, float64(MaxWeight))
	case r.State < Joining || r.State > Leaving:
		return fmt.Errorf("%w: its state is %d, want %d to %d", ErrRecord, r.State, Joining, Leaving)
	}
	return nil
}

package idempotency

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Table is who owns keys from a moment on: the members that the group has agreed on under
// a fencing number, the epoch, which only grows.
type Table struct {
	Epoch   uint64
	members []string // sorted
}

// maxMembers bounds a table.
const maxMembers = 256

// NewTable makes a table of members by their names.
func NewTable(epoch uint64, members []string) (Table, error) {
	m := slices.Compact(slices.Sorted(slices.Values(members)))
	switch {
	case len(m) != len(members) || len(m) > maxMembers:
		return Table{}, fmt.Errorf("idem: %d members, %d of them different: want each once, and %d at the most", len(members), len(m), maxMembers)
	case slices.Contains(m, ""):
		return Table{}, errors.New("idem: a member without a name")
	}
	return Table{epoch, m}, nil
}

// Order is the members that hold a key: the owner, and behind it the one that has a copy.
// It is by rendezvous: where the owner goes, the one with the copy is the owner, and where
// a member comes, it takes keys from all others alike. "" stands for nobody.
func (t Table) Order(k Key) (owner, second string) {
	var best, next uint64
	for _, m := range t.members {
		w := weight(m, k)
		switch {
		case owner == "" || w > best:
			second, next = owner, best
			owner, best = m, w
		case second == "" || w > next:
			second, next = m, w
		}
	}
	return owner, second
}

// Has says whether somebody is a member.
func (t Table) Has(member string) bool {
	_, ok := slices.BinarySearch(t.members, member)
	return ok
}

func weight(member string, k Key) uint64 {
	h := sha256.New()
	for _, s := range []string{member, k.Tenant, k.Class, k.Text} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// Record is one key as it goes from member to member. Times are told as what is left of
// them: members' clocks differ.
type Record struct {
	Key     Key
	Digest  Digest
	Running bool
	Run     Ticket // where it runs
	Runner  Asker  // who is to run it
	Unknown bool   // it failed and may have run
	Answer  Answer
	Left    time.Duration
}

// Record gives a key as it stands.
func (s *Store) Record(now time.Duration, k Key) (Record, bool) {
	e := s.entries[k]
	if e == nil {
		return Record{}, false
	}
	r := Record{Key: k, Digest: e.digest, Running: e.state == running, Unknown: e.state == unknown, Answer: e.answer, Left: max(0, e.until-now)}
	if r.Running {
		r.Run, r.Runner = e.owner, e.runner
	}
	return r, true
}

// Ended gives the record that a key's run will leave when it ends so, and false where the
// ticket is not that run's: who keeps a copy has it before the run is settled.
func (s *Store) Ended(now time.Duration, k Key, run Ticket, how End, ans Answer) (Record, bool) {
	r, ok := s.Record(now, k)
	if !ok || !r.Running || r.Run != run {
		return Record{}, false
	}
	if len(ans.Body) > s.set.LongAnswer {
		ans.Body, ans.Trimmed = nil, true
	}
	r.Running, r.Run, r.Unknown, r.Answer, r.Left = false, 0, how == MayHaveRun, ans, s.entries[k].class.Keep
	return r, true
}

// Keys are all keys held, in a fixed order.
func (s *Store) Keys() []Key {
	keys := make([]Key, 0, len(s.entries))
	for k := range s.entries {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Text, b.Text))
	})
	return keys
}

// Adopt takes a record of another member, in place of what is known of its key unless that
// is newer: what has ended does not run again. It is taken beyond the bounds, too: it was
// within those of its owner, and what runs must be known. Those that waited for it here and
// get its answer are given back.
func (s *Store) Adopt(now time.Duration, r Record) (waiters []Ticket) {
	c, known := s.set.Classes[r.Key.Class]
	if !known || r.Running && r.Run == 0 {
		return nil
	}
	e := s.entries[r.Key]
	switch {
	case e == nil:
		e = newEntry(r.Key, c)
		s.entries[r.Key] = e
		s.count(r.Key.Tenant, 1, e.bytes)
	case e.state != running:
		return nil
	default: // one that runs here as well: the newer word is of its end, or of a new runner
		delete(s.tickets, e.owner)
	}
	e.digest = r.Digest
	if r.Running {
		e.owner, e.runner, e.until = r.Run, r.Runner, now+min(r.Left, c.RunMost)
		s.tickets[r.Run] = &arrival{of: e}
		return nil
	}
	s.ended(e, r.Unknown, r.Answer, now+min(r.Left, c.Keep))
	return s.release(e)
}

// Drop forgets a key that another member holds now, and gives those that waited for it
// here: they are to ask there.
func (s *Store) Drop(k Key) (waiters []Ticket) {
	e := s.entries[k]
	if e == nil {
		return nil
	}
	if e.state == running {
		waiters = s.release(e)
		delete(s.tickets, e.owner)
	} else {
		heap.Remove(&s.ages, e.at)
	}
	s.forget(e)
	return waiters
}

// Place is a member's place among the others: which keys it may decide about. A new owner
// decides about none before it has heard from all that may hold some of its keys.
type Place struct {
	self  string
	table Table
	from  map[string]bool // members whose records are awaited, at this epoch
	lease time.Duration   // until when the group counts this one as a member
}

// NewPlace is that of a member before its first table: it owns nothing.
func NewPlace(self string) *Place { return &Place{self: self} }

// Lease says until when the group will not take this member out of the table: behind it
// another may own its keys, and this one decides about none.
func (p *Place) Lease(until time.Duration) { p.lease = max(p.lease, until) }

// Epoch is that of the table in force.
func (p *Place) Epoch() uint64 { return p.table.Epoch }

// Change takes a newer table and says false for any other. Every other member is then sent
// Moved, even if nothing, and awaited: until it has told what it held, a key that it may
// have run cannot be told from a new one. Those that have gone are not awaited: the seconds
// of their keys are members, or were their only copies.
func (p *Place) Change(t Table) bool {
	if t.Epoch <= p.table.Epoch {
		return false
	}
	p.table, p.from = t, make(map[string]bool)
	for _, m := range t.members {
		if m != p.self {
			p.from[m] = true
		}
	}
	return true
}

// Moved is the keys of a store that a member is to hold, as owner or second, by the table
// in force: those that it is told of at each change.
func (p *Place) Moved(s *Store, to string) []Key {
	var keys []Key
	for _, k := range s.Keys() {
		if owner, second := p.table.Order(k); to != p.self && (owner == to || second == to) {
			keys = append(keys, k)
		}
	}
	return keys
}

// Kept says whether this member holds a key by the table in force, as owner or second.
func (p *Place) Kept(k Key) bool {
	owner, second := p.table.Order(k)
	return owner == p.self || second == p.self
}

// Heard notes that a member has told all that it held at an epoch. One of another epoch
// says nothing about this one.
func (p *Place) Heard(from string, epoch uint64) {
	if epoch == p.table.Epoch {
		delete(p.from, from)
	}
}

// Duty is what a member is to a key.
type Duty uint8

// Owner decides about it, with a copy at the second. Elsewhere names another owner. Soon
// is an owner that has not heard from all others yet, or whose lease has run out: it
// refuses, and says to come back.
const (
	Owner Duty = iota
	Elsewhere
	Soon
)

// Duty says what this member is to a key, and who owns it and who holds the copy.
func (p *Place) Duty(now time.Duration, k Key) (d Duty, owner, second string) {
	owner, second = p.table.Order(k)
	switch {
	case owner != p.self:
		return Elsewhere, owner, second
	case len(p.from) > 0 || now >= p.lease:
		return Soon, owner, second
	}
	return Owner, owner, second
}

// Package idempotency is the life of idempotency keys at the edge: whose request runs, who waits
// for its answer, what a repeat gets, and how long that is remembered. It is pure: a Store
// is fed events with their times and says what follows.
package idempotency

import (
	"container/heap"
	"container/list"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Key names what must not run twice. It belongs to its tenant: no other reads its answer.
type Key struct {
	Tenant string `json:"Tenant"`
	Class  string `json:"Class"`
	Text   string `json:"Text"`
}

// Digest stands for a request's method, target and body. The zero one is not known yet, as
// of a body that is still passing. Where a run ends before its body has passed it stays
// unknown, and the key alone says what is a repeat.
type Digest [32]byte

// Answer is what the first request got. One too long to keep has Trimmed set: its status
// stands and its body is gone.
type Answer struct {
	Status  int    `json:"Status"`
	Body    []byte `json:"Body"` // as kept: the store does not read it
	Trimmed bool   `json:"Trimmed"`
}

// End is how a run ended.
type End uint8

// A run is answered by a server; known not to have run, as after a refusal; or failed, and
// may have run.
const (
	Answered End = iota
	NeverRan
	MayHaveRun
)

// Verdict is what becomes of an arrival.
type Verdict uint8

// Run: it is the first, and its end is to be told. Wait: the first still runs, and its end
// brings this one's. Replay: the answer is there. Read: its digest is wanted before it can
// be told, so that its body is to be read and it is to arrive again. Mismatch: the key was
// used for another request. Busy: the first still runs, and the class does not wait, or too
// many do. Full: there is no room, and the class must not run without it. Pass: there is
// none, and the class may.
const (
	Run Verdict = iota
	Wait
	Replay
	Read
	Mismatch
	Busy
	Full
	Pass
)

// Ticket names an arrival that runs or waits.
type Ticket uint64

// Class is how the keys of one class are kept.
type Class struct {
	Keep    time.Duration // how long an answer is remembered; the promise to clients
	RunMost time.Duration // how long a run may take: its process may have died
	NoWait  bool          // a repeat of one that runs is Busy at once
	MayPass bool          // where there is no room it runs without a promise
}

// Settings bound a Store.
type Settings struct {
	Entries int   // keys at a time
	Bytes   int64 // of keys and answers, as counted here
	// TenantShare is the part of either that one tenant may have, above 0, up to 1.
	TenantShare float64
	LongAnswer  int // bytes of an answer beyond which its body is not kept
	Waiters     int // of one key
	First       Ticket
	Classes     map[string]Class
}

// overhead is what an entry takes beside its texts and answer, in bytes, as measured.
const overhead = 512

type state uint8

const (
	running state = iota
	answered
	unknown // failed and may have run: repeats get that failure
)

type entry struct {
	key     Key
	class   Class // as it was when the key came: that is what its client was promised
	digest  Digest
	state   state
	owner   Ticket // of the run
	runner  Asker  // who is to run it, where members share keys
	waiting list.List
	answer  Answer
	bytes   int64
	until   time.Duration // when it is forgotten or, while it runs, overdue
	at      int           // its place among the ages, once it does not run
}

func newEntry(k Key, c Class) *entry {
	return &entry{key: k, class: c, bytes: int64(overhead + len(k.Tenant) + len(k.Class) + len(k.Text))}
}

type usage struct {
	entries int
	bytes   int64
}

// Store holds the keys of one owner. It is used by one goroutine at a time, and its clock
// is whatever the caller's is, so long as it never runs back.
type Store struct {
	set     Settings
	entries map[Key]*entry
	tickets map[Ticket]*arrival
	tenants map[string]*usage
	all     usage
	ages    ages
	last    Ticket
}

// arrival is a request that waits, or the one that runs.
type arrival struct {
	of    *entry
	place *list.Element // among those that wait; nil for the one that runs
	read  Digest
}

// New makes an empty store. First is the ticket before its first: stores that hand keys to
// each other begin far apart, as with a random number each.
func New(set Settings) (*Store, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	return &Store{
		set: set, entries: make(map[Key]*entry), tickets: make(map[Ticket]*arrival), tenants: make(map[string]*usage), last: set.First,
	}, nil
}

// Configure puts other settings in force, but for First. Keys that are held stay as they
// were promised, also beyond the new bounds and of classes that are gone.
func (s *Store) Configure(set Settings) error {
	if err := set.check(); err != nil {
		return err
	}
	s.set = set
	return nil
}

func (set *Settings) check() error {
	if set.Entries < 1 || set.Bytes < overhead || set.TenantShare <= 0 || set.TenantShare > 1 || set.LongAnswer < 0 || set.Waiters < 0 {
		return errors.New("idem: want at least one entry and its bytes, a tenant's share above 0 and up to 1, no bound below 0")
	}
	for name, c := range set.Classes {
		if c.Keep <= 0 || c.RunMost <= 0 {
			return fmt.Errorf("idem: class %q keeps its answers for %v and runs for %v: want times above 0", name, c.Keep, c.RunMost)
		}
	}
	return nil
}

// Arrive says what becomes of a request. With Run and Wait it is known by the ticket; with
// Replay the answer is its.
func (s *Store) Arrive(now time.Duration, k Key, d Digest) (Verdict, Ticket, Answer) {
	s.Expire(now)
	e := s.entries[k]
	if e == nil {
		return s.first(now, k, d)
	}
	var none Digest
	switch {
	case d == none:
		return Read, 0, Answer{}
	case e.digest != none && e.digest != d:
		return Mismatch, 0, Answer{}
	case e.state != running:
		return Replay, 0, e.answer
	case e.class.NoWait || e.waiting.Len() >= s.set.Waiters:
		return Busy, 0, Answer{}
	}
	t := s.ticket(e)
	s.tickets[t].place = e.waiting.PushBack(t)
	s.tickets[t].read = d
	return Wait, t, Answer{}
}

func (s *Store) first(now time.Duration, k Key, d Digest) (Verdict, Ticket, Answer) {
	c, known := s.set.Classes[k.Class]
	if !known {
		return Pass, 0, Answer{} // a class of which nothing is promised
	}
	e := newEntry(k, c)
	e.digest = d
	if !s.fits(k.Tenant, 1, e.bytes) {
		if c.MayPass {
			return Pass, 0, Answer{}
		}
		return Full, 0, Answer{}
	}
	s.entries[k] = e
	s.count(k.Tenant, 1, e.bytes)
	e.owner, e.until = s.ticket(e), now+c.RunMost
	return Run, e.owner, Answer{}
}

func (s *Store) ticket(e *entry) Ticket {
	s.last++
	s.tickets[s.last] = &arrival{of: e}
	return s.last
}

// fits says whether a tenant may have so much more.
func (s *Store) fits(tenant string, entries int, bytes int64) bool {
	var t usage
	if u := s.tenants[tenant]; u != nil {
		t = *u
	}
	part := s.set.TenantShare
	return s.all.entries+entries <= s.set.Entries && s.all.bytes+bytes <= s.set.Bytes &&
		t.entries+entries <= max(1, int(part*float64(s.set.Entries))) && t.bytes+bytes <= int64(part*float64(s.set.Bytes))
}

func (s *Store) count(tenant string, entries int, bytes int64) {
	u := s.tenants[tenant]
	if u == nil {
		u = &usage{}
		s.tenants[tenant] = u
	}
	for _, x := range []*usage{u, &s.all} {
		x.entries += entries
		x.bytes += bytes
	}
	if u.entries == 0 {
		delete(s.tenants, tenant)
	}
}

// Digested tells the digest of a run whose body has passed. Those that wait with another
// one are told Mismatch: they are given back, and wait no more.
func (s *Store) Digested(t Ticket, d Digest) (mismatched []Ticket) {
	a := s.tickets[t]
	if a == nil || a.place != nil || a.of.state != running || a.of.owner != t {
		return nil
	}
	a.of.digest = d
	for at := a.of.waiting.Front(); at != nil; {
		next := at.Next()
		if w := at.Value.(Ticket); s.tickets[w].read != d {
			a.of.waiting.Remove(at)
			delete(s.tickets, w)
			mismatched = append(mismatched, w)
		}
		at = next
	}
	return mismatched
}

// Settled is what follows from a run's end.
type Settled struct {
	Done    bool     // false where the ticket's was not the run, or had ended
	Waiters []Ticket // that get the answer, and are done
	Runner  Ticket   // one of those that waited, which runs now; 0 for none
}

// Settle tells how a run ended. What has been answered, or may have run, is remembered for
// as long as its class says: a repeat gets the same. What never ran is run by the first
// that waits, or forgotten.
func (s *Store) Settle(now time.Duration, t Ticket, end End, ans Answer) Settled {
	a := s.tickets[t]
	if a == nil || a.place != nil || a.of.state != running || a.of.owner != t {
		return Settled{}
	}
	e := a.of
	delete(s.tickets, t)
	if end == NeverRan {
		front := e.waiting.Front()
		if front == nil {
			s.forget(e)
			return Settled{Done: true}
		}
		e.owner = e.waiting.Remove(front).(Ticket)
		next := s.tickets[e.owner]
		next.place, e.digest = nil, next.read
		e.until = now + e.class.RunMost
		return Settled{Done: true, Runner: e.owner}
	}
	s.ended(e, end == MayHaveRun, ans, now+e.class.Keep)
	return Settled{Done: true, Waiters: s.release(e)}
}

// ended keeps a run's end until a moment.
func (s *Store) ended(e *entry, mayHaveRun bool, ans Answer, until time.Duration) {
	e.state = answered
	if mayHaveRun {
		e.state = unknown
	}
	// Only the body may be given up for want of room: that it ran stays known.
	if n := int64(len(ans.Body)); len(ans.Body) > s.set.LongAnswer || !s.fits(e.key.Tenant, 0, n) {
		ans.Body, ans.Trimmed = nil, true
	} else {
		e.bytes += n
		s.count(e.key.Tenant, 0, n)
	}
	e.answer, e.until = ans, until
	heap.Push(&s.ages, e)
}

// release gives up those that wait for an entry.
func (s *Store) release(e *entry) (waiters []Ticket) {
	for at := e.waiting.Front(); at != nil; at = at.Next() {
		w := at.Value.(Ticket)
		delete(s.tickets, w)
		waiters = append(waiters, w)
	}
	e.waiting.Init()
	return waiters
}

// Awaited says whether repeats wait for the end of a run.
func (s *Store) Awaited(t Ticket) bool {
	a := s.tickets[t]
	return a != nil && a.place == nil && a.of.waiting.Len() > 0
}

// Overdue is the runs that have taken longer than one may: whoever ran them is gone, and
// they are to be settled as such that may have run. It looks at every key.
func (s *Store) Overdue(now time.Duration) (runs []Ticket) {
	for _, e := range s.entries {
		if e.state == running && e.until <= now {
			runs = append(runs, e.owner)
		}
	}
	slices.Sort(runs)
	return runs
}

// Gone tells that the client of one that waits has left. A run goes on without its client:
// its repeats may wait for it, and it may have run.
func (s *Store) Gone(t Ticket) {
	if a := s.tickets[t]; a != nil && a.place != nil {
		a.of.waiting.Remove(a.place)
		delete(s.tickets, t)
	}
}

// Expire forgets what has been kept for its time. What runs is never forgotten.
func (s *Store) Expire(now time.Duration) {
	for len(s.ages) > 0 && s.ages[0].until <= now {
		s.forget(heap.Pop(&s.ages).(*entry))
	}
}

func (s *Store) forget(e *entry) {
	delete(s.entries, e.key)
	s.count(e.key.Tenant, -1, -e.bytes)
}

// Room is how long a new key that finds no room has to wait for some, or 0 where that is not
// known: all keys run. Those of other tenants may go first.
func (s *Store) Room(now time.Duration) time.Duration {
	if len(s.ages) == 0 {
		return 0
	}
	return max(0, s.ages[0].until-now)
}

// Held is how many keys there are, and the bytes that they count for.
func (s *Store) Held() (entries int, bytes int64) { return s.all.entries, s.all.bytes }

// ages orders entries by when they are forgotten.
type ages []*entry

func (a ages) Len() int           { return len(a) }
func (a ages) Less(i, j int) bool { return a[i].until < a[j].until }
func (a ages) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].at, a[j].at = i, j
}

// Push adds an entry, as heap wants it.
func (a *ages) Push(x any) {
	e := x.(*entry)
	e.at = len(*a)
	*a = append(*a, e)
}

// Pop takes the last, as heap wants it.
func (a *ages) Pop() any {
	old := *a
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return e
}

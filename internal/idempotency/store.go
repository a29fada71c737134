package idempotency

import (
	"container/heap"
	"container/list"
	"slices"
	"time"
)

type state uint8

const (
	running state = iota
	answered
	mayHaveRun // repeats get the failure of the run
)

// entry is one key in a Store.
type entry struct {
	key     Key
	class   Class // as it was when the key came: that was promised to its client
	digest  Digest
	state   state
	run     Ticket    // of the run
	runner  Origin    // of the request that runs, where members share keys
	waiting list.List // of Ticket, in the order in which they came
	answer  Answer    // unless running
	bytes   int64     // as counted in usage
	// until is when the entry is forgotten or, while it runs, when its run is overdue.
	until       time.Duration
	expiryIndex int // its index in Store.expiring, unless running
}

func newEntry(k Key, c Class) *entry {
	bytes := int64(entryOverheadBytes + len(k.Tenant) + len(k.Class) + len(k.Text))
	return &entry{key: k, class: c, bytes: bytes}
}

// request is a request that waits, or the one that runs.
type request struct {
	entry   *entry
	element *list.Element // in entry.waiting; nil for the one that runs
	digest  Digest
}

// Store holds keys. It is not safe for concurrent use. Times are those of a clock of the caller's that never
// runs backwards.
type Store struct {
	settings   Settings
	entries    map[Key]*entry
	requests   map[Ticket]*request
	tenants    map[string]*usage // without those that have no key
	total      usage
	expiring   expiryHeap // entries that do not run
	lastTicket Ticket
}

// New makes an empty store. Its tickets count up from Settings.FirstTicket: stores that hand keys to each other
// begin far apart, as with a random number each. It fails where the settings cannot be used.
func New(set Settings) (*Store, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	return &Store{
		settings:   set,
		entries:    make(map[Key]*entry),
		requests:   make(map[Ticket]*request),
		tenants:    make(map[string]*usage),
		lastTicket: set.FirstTicket,
	}, nil
}

// Configure replaces the settings, except for the first ticket. Keys that are held stay as they were promised, also
// beyond the new bounds and of classes that are gone. It fails, and changes nothing, where the settings cannot
// be used.
func (s *Store) Configure(set Settings) error {
	if err := set.check(); err != nil {
		return err
	}
	s.settings = set
	return nil
}

// Begin decides about a request. Its digest is zero while its body still streams.
func (s *Store) Begin(now time.Duration, k Key, d Digest) Decision {
	s.Expire(now)
	e := s.entries[k]
	if e == nil {
		return s.beginFirst(now, k, d)
	}
	unknown := Digest{}
	switch {
	case d == unknown:
		return Decision{Verdict: NeedDigest}
	case e.digest != unknown && e.digest != d:
		return Decision{Verdict: Mismatch}
	case e.state != running:
		return Decision{Verdict: Replay, Answer: e.answer}
	case e.class.RejectConcurrent || e.waiting.Len() >= s.settings.MaxWaiters:
		return Decision{Verdict: Busy}
	}
	t := s.newTicket(e)
	s.requests[t].element = e.waiting.PushBack(t)
	s.requests[t].digest = d
	return Decision{Verdict: Wait, Ticket: t}
}

// beginFirst decides about a request whose key is new.
func (s *Store) beginFirst(now time.Duration, k Key, d Digest) Decision {
	c, known := s.settings.Classes[k.Class]
	if !known {
		return Decision{Verdict: RunUnprotected} // nothing is promised about this class
	}
	e := newEntry(k, c)
	e.digest = d
	if !s.fits(k.Tenant, 1, e.bytes) {
		if c.RunWhenFull {
			return Decision{Verdict: RunUnprotected}
		}
		return Decision{Verdict: Full}
	}
	s.add(e)
	e.run, e.until = s.newTicket(e), now+c.MaxRunTime
	return Decision{Verdict: Run, Ticket: e.run}
}

func (s *Store) newTicket(e *entry) Ticket {
	s.lastTicket++
	s.requests[s.lastTicket] = &request{entry: e}
	return s.lastTicket
}

// runOf returns the entry whose run a ticket is; nil for a ticket that waits, or whose run has ended.
func (s *Store) runOf(t Ticket) *entry {
	r := s.requests[t]
	if r == nil || r.element != nil || r.entry.state != running || r.entry.run != t {
		return nil
	}
	return r.entry
}

// SetDigest sets the digest of a run whose body is complete. Requests that wait with another digest are
// Mismatches: their tickets are returned, and void.
func (s *Store) SetDigest(run Ticket, d Digest) (mismatched []Ticket) {
	e := s.runOf(run)
	if e == nil {
		return nil
	}
	e.digest = d
	for element := e.waiting.Front(); element != nil; {
		next := element.Next()
		if t := element.Value.(Ticket); s.requests[t].digest != d {
			e.waiting.Remove(element)
			delete(s.requests, t)
			mismatched = append(mismatched, t)
		}
		element = next
	}
	return mismatched
}

// Settle ends a run. The answer is kept unless the run never ran; then the first request that waits runs
// next, or the key is forgotten. Calls for a run that has ended change nothing.
func (s *Store) Settle(now time.Duration, run Ticket, outcome Outcome, answer Answer) Settled {
	e := s.runOf(run)
	if e == nil {
		return Settled{}
	}
	delete(s.requests, run)
	if outcome == NeverRan {
		return Settled{Done: true, Next: s.runNext(now, e)}
	}
	s.retain(e, outcome, answer, now+e.class.Retention)
	return Settled{Done: true, Waiters: s.releaseWaiters(e)}
}

// runNext has the first request that waits for an entry run. Where none waits the entry is forgotten, and the
// ticket is 0.
func (s *Store) runNext(now time.Duration, e *entry) Ticket {
	first := e.waiting.Front()
	if first == nil {
		s.forget(e)
		return 0
	}
	e.run = e.waiting.Remove(first).(Ticket)
	next := s.requests[e.run]
	next.element = nil
	e.digest = next.digest
	e.until = now + e.class.MaxRunTime
	return e.run
}

// retain keeps the end of an entry's run until a time.
func (s *Store) retain(e *entry, outcome Outcome, answer Answer, until time.Duration) {
	e.state = answered
	if outcome == MayHaveRun {
		e.state = mayHaveRun
	}
	// Only the body may be dropped for want of room: that the request ran stays known.
	bytes := int64(len(answer.Body))
	if len(answer.Body) > s.settings.MaxAnswerBytes || !s.fits(e.key.Tenant, 0, bytes) {
		answer.Body, answer.Trimmed = nil, true
	} else {
		e.bytes += bytes
		s.count(e.key.Tenant, 0, bytes)
	}
	e.answer, e.until = answer, until
	heap.Push(&s.expiring, e)
}

// releaseWaiters voids and returns the tickets that wait for an entry.
func (s *Store) releaseWaiters(e *entry) (waiters []Ticket) {
	for element := e.waiting.Front(); element != nil; element = element.Next() {
		t := element.Value.(Ticket)
		delete(s.requests, t)
		waiters = append(waiters, t)
	}
	e.waiting.Init()
	return waiters
}

// HasWaiters reports whether repeats wait for the end of a run.
func (s *Store) HasWaiters(run Ticket) bool {
	r := s.requests[run]
	return r != nil && r.element == nil && r.entry.waiting.Len() > 0
}

// Overdue returns the runs that have taken longer than their class allows: their processes are gone, and
// the caller is to settle them as MayHaveRun. It looks at every key.
func (s *Store) Overdue(now time.Duration) (runs []Ticket) {
	for _, e := range s.entries {
		if e.state == running && e.until <= now {
			runs = append(runs, e.run)
		}
	}
	slices.Sort(runs)
	return runs
}

// Cancel removes a request that waits, as its client has disconnected. It changes nothing about one that
// runs: repeats may wait for it, and it may have run.
func (s *Store) Cancel(t Ticket) {
	if r := s.requests[t]; r != nil && r.element != nil {
		r.entry.waiting.Remove(r.element)
		delete(s.requests, t)
	}
}

// add adds an entry, whatever the bounds.
func (s *Store) add(e *entry) {
	s.entries[e.key] = e
	s.count(e.key.Tenant, 1, e.bytes)
}

func (s *Store) forget(e *entry) {
	delete(s.entries, e.key)
	s.count(e.key.Tenant, -1, -e.bytes)
}

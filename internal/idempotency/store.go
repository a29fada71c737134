package idempotency

import (
	"container/heap"
	"container/list"
	"slices"
	"time"
)

// state is the state of an entry.
type state uint8

const (
	running state = iota
	answered
	mayHaveRun // repeats receive the failure of the run
)

// entry is one key in a Store.
type entry struct {
	key     Key
	class   Class // the class's settings when the key was created, as promised to the client
	digest  Digest
	state   state
	run     Ticket    // ticket of the current run
	runner  Origin    // request that runs, if members share keys
	waiting list.List // Tickets of waiting requests, in order of arrival
	answer  Answer    // answer of the run; zero while it runs
	bytes   int64     // size of the entry as counted in usage
	// until is the time at which the entry expires or, while running, at which its run is overdue.
	until       time.Duration
	expiryIndex int // index in Store.expiring, unless running
}

func newEntry(k Key, c Class) *entry {
	bytes := int64(entryOverheadBytes + len(k.Tenant) + len(k.Class) + len(k.Text))
	return &entry{key: k, class: c, bytes: bytes}
}

// request is a request that runs or waits.
type request struct {
	entry   *entry
	element *list.Element // element of entry.waiting; nil for the request that runs
	digest  Digest
}

// Store contains idempotency keys and the state of their runs. It is not safe for concurrent use. Its times are
// readings of a monotonic clock of the caller.
type Store struct {
	settings   Settings
	entries    map[Key]*entry
	requests   map[Ticket]*request
	tenants    map[string]*usage // tenants with at least one key
	total      usage
	expiring   expiryHeap // entries that are not running
	lastTicket Ticket
}

// New returns an empty Store. Its tickets count up from Settings.FirstTicket: stores that exchange keys must
// start far apart, for example each at a random number. New returns an error if the settings are invalid.
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

// Configure replaces the settings, except FirstTicket. Existing keys retain the class settings that were
// promised, even if they exceed the new limits or their class no longer exists. If the settings are invalid,
// Configure returns an error and changes nothing.
func (s *Store) Configure(set Settings) error {
	if err := set.check(); err != nil {
		return err
	}
	s.settings = set
	return nil
}

// Begin decides how to handle a request. The digest is zero while the body of the request is still streaming.
func (s *Store) Begin(now time.Duration, k Key, digest Digest) Decision {
	s.Expire(now)
	existing := s.entries[k]
	if existing == nil {
		return s.beginFirst(now, k, digest)
	}
	unknown := Digest{}
	switch {
	case digest == unknown:
		return Decision{Verdict: NeedDigest}
	case existing.digest != unknown && existing.digest != digest:
		return Decision{Verdict: Mismatch}
	case existing.state != running:
		return Decision{Verdict: Replay, Answer: existing.answer}
	case existing.class.RejectConcurrent || existing.waiting.Len() >= s.settings.MaxWaiters:
		return Decision{Verdict: Busy}
	}
	t := s.newTicket(existing)
	s.requests[t].element = existing.waiting.PushBack(t)
	s.requests[t].digest = digest
	return Decision{Verdict: Wait, Ticket: t}
}

// beginFirst decides how to handle a request with a new key.
func (s *Store) beginFirst(now time.Duration, k Key, d Digest) Decision {
	c, known := s.settings.Classes[k.Class]
	if !known {
		return Decision{Verdict: RunUnprotected} // this class has no idempotency guarantee
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

// newTicket returns a new ticket for a request under the key of an entry.
func (s *Store) newTicket(e *entry) Ticket {
	s.lastTicket++
	s.requests[s.lastTicket] = &request{entry: e}
	return s.lastTicket
}

// runOf returns the entry of a run, or nil if the ticket belongs to a waiting request or to a run that has
// ended.
func (s *Store) runOf(t Ticket) *entry {
	r := s.requests[t]
	if r == nil || r.element != nil || r.entry.state != running || r.entry.run != t {
		return nil
	}
	return r.entry
}

// SetDigest sets the digest of a run once its body is complete. It removes the waiting requests with a
// different digest and returns their tickets, which are no longer valid: their verdict is Mismatch.
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

// Settle ends a run. It stores the answer unless the outcome is NeverRan; in that case the first waiting
// request runs next, or the key is deleted if none waits. Settle does nothing if the run has already ended.
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

// runNext starts the run of the first request that waits for an entry, and returns its ticket. If no request
// waits, it deletes the entry and returns 0.
func (s *Store) runNext(now time.Duration, e *entry) Ticket {
	first := e.waiting.Front()
	if first == nil {
		s.remove(e)
		return 0
	}
	e.run = e.waiting.Remove(first).(Ticket)
	next := s.requests[e.run]
	next.element = nil
	e.digest = next.digest
	e.until = now + e.class.MaxRunTime
	return e.run
}

// retain stores the outcome and answer of an entry's run until the given time.
func (s *Store) retain(e *entry, outcome Outcome, answer Answer, until time.Duration) {
	e.state = answered
	if outcome == MayHaveRun {
		e.state = mayHaveRun
	}
	// Only the body may be dropped for lack of room: the fact that the request ran must be retained.
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

// releaseWaiters removes the requests that wait for an entry and returns their tickets, which are no longer
// valid.
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

// Overdue returns the runs that have exceeded the maximum run time of their class. Their processes are
// considered failed, and the caller must settle the runs as MayHaveRun. Overdue iterates over all keys.
func (s *Store) Overdue(now time.Duration) (runs []Ticket) {
	for _, e := range s.entries {
		if e.state == running && e.until <= now {
			runs = append(runs, e.run)
		}
	}
	slices.Sort(runs)
	return runs
}

// Cancel removes a waiting request whose client disconnected. It does nothing for a request that runs: repeats
// may wait for it, and it may have run.
func (s *Store) Cancel(t Ticket) {
	if r := s.requests[t]; r != nil && r.element != nil {
		r.entry.waiting.Remove(r.element)
		delete(s.requests, t)
	}
}

// add adds an entry without checking the limits.
func (s *Store) add(e *entry) {
	s.entries[e.key] = e
	s.count(e.key.Tenant, 1, e.bytes)
}

// remove deletes an entry.
func (s *Store) remove(e *entry) {
	delete(s.entries, e.key)
	s.count(e.key.Tenant, -1, -e.bytes)
}

package idempotency

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Record is the exported state of one key, to be stored in a file or sent to another member. It contains
// remaining durations instead of times, because clocks differ.
type Record struct {
	Key        Key
	Digest     Digest
	Running    bool
	Run        Ticket // ticket of the run, if Running
	Runner     Origin // request that runs, if Running and members share keys
	MayHaveRun bool   // the run failed and may have taken effect
	Answer     Answer // zero if Running
	// Remaining is the time until the key expires or, if Running, until its run is overdue.
	Remaining time.Duration
	// Retention is how long the answer is retained, as promised when the key was created; 0 if that is unknown.
	Retention time.Duration
}

// outcome returns the outcome of the run of a record that is not Running.
func (r *Record) outcome() Outcome {
	if r.MayHaveRun {
		return MayHaveRun
	}
	return Answered
}

// Export returns the current record of a key, or false if the store does not contain the key.
func (s *Store) Export(now time.Duration, k Key) (Record, bool) {
	e := s.entries[k]
	if e == nil {
		return Record{}, false
	}
	r := Record{
		Key: k, Digest: e.digest, Running: e.state == running, MayHaveRun: e.state == mayHaveRun,
		Answer: e.answer, Remaining: max(0, e.until-now), Retention: e.class.Retention,
	}
	if r.Running {
		r.Run, r.Runner = e.run, e.runner
	}
	return r, true
}

// ExportSettled returns the record that the key will have once its run is settled with this outcome and answer.
// It is for a copy that must exist before the run is settled. It returns false if run is not the ticket of the
// key's current run.
func (s *Store) ExportSettled(now time.Duration, k Key, run Ticket, outcome Outcome, answer Answer) (Record, bool) {
	r, ok := s.Export(now, k)
	if !ok || !r.Running || r.Run != run {
		return Record{}, false
	}
	if len(answer.Body) > s.settings.MaxAnswerBytes {
		answer.Body, answer.Trimmed = nil, true
	}
	return Record{
		Key: k, Digest: r.Digest, Runner: r.Runner, MayHaveRun: outcome == MayHaveRun,
		Answer: answer, Remaining: r.Retention, Retention: r.Retention,
	}, true
}

// Import stores a record in place of the current state of its key, unless that state is newer: a run that has
// ended does not run again. It ignores the limits, because the record was within the limits of its previous
// store, and because the store must not lose a key that is running. The key retains what was promised when it was
// created, also if its class has other settings now, or is not configured. Import ignores a Running record without a
// ticket. It returns the requests that waited for the key here and now receive its answer; their tickets are no longer
// valid.
func (s *Store) Import(now time.Duration, r Record) (waiters []Ticket) {
	if r.Running && r.Run == 0 {
		return nil
	}
	class := s.promisedClass(&r)
	target := s.entries[r.Key]
	switch {
	case target == nil:
		target = newEntry(r.Key, class)
		s.add(target)
	case target.state != running:
		return nil
	default: // it runs here as well: the record describes the end of the run, or a new runner
		delete(s.requests, target.run)
	}
	target.digest = r.Digest
	if r.Running {
		target.run, target.runner, target.until = r.Run, r.Runner, now+min(r.Remaining, class.MaxRunTime)
		s.requests[r.Run] = &request{entry: target}
		return nil
	}
	s.retain(target, r.outcome(), r.Answer, now+min(r.Remaining, class.Retention))
	return s.releaseWaiters(target)
}

// promisedClass returns the settings of a record's class, with the retention that was promised for its key.
func (s *Store) promisedClass(r *Record) Class {
	class, known := s.settings.Classes[r.Key.Class]
	if !known {
		class.MaxRunTime = r.Remaining
	}
	class.Retention = cmp.Or(r.Retention, max(class.Retention, r.Remaining))
	return class
}

// Drop deletes a key that another member now holds. It returns the requests that waited for the key here and
// must ask the other member; their tickets are no longer valid.
func (s *Store) Drop(k Key) (waiters []Ticket) {
	e := s.entries[k]
	if e == nil {
		return nil
	}
	if e.state == running {
		waiters = s.releaseWaiters(e)
		delete(s.requests, e.run)
	} else {
		heap.Remove(&s.expiring, e.expiryIndex)
	}
	s.remove(e)
	return waiters
}

// Keys returns all keys, sorted by tenant, class and text.
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

// SetRunner sets the request that runs under a key, which must exist. It is for members that share keys.
func (s *Store) SetRunner(k Key, runner Origin) { s.entries[k].runner = runner }

// KeyOf returns the key of a request that runs or waits, or false if the ticket is unknown.
func (s *Store) KeyOf(t Ticket) (Key, bool) {
	r := s.requests[t]
	if r == nil {
		return Key{}, false
	}
	return r.entry.key, true
}

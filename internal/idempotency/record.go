package idempotency

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Record is one key in a form that leaves its Store, for a file or another member. Times are told as what is
// left of them: clocks differ.
type Record struct {
	Key        Key
	Digest     Digest
	Running    bool
	Run        Ticket // while it runs
	Runner     Origin // while it runs, where members share keys
	MayHaveRun bool   // it failed and may have run
	Answer     Answer // unless it runs
	// TimeLeft is until the key is forgotten or, while it runs, until its run is overdue.
	TimeLeft time.Duration
}

// outcome is how the run of a record that does not run ended.
func (r *Record) outcome() Outcome {
	if r.MayHaveRun {
		return MayHaveRun
	}
	return Answered
}

// Export returns the record of a key as it stands.
func (s *Store) Export(now time.Duration, k Key) (Record, bool) {
	e := s.entries[k]
	if e == nil {
		return Record{}, false
	}
	r := Record{
		Key: k, Digest: e.digest, Running: e.state == running, MayHaveRun: e.state == mayHaveRun,
		Answer: e.answer, TimeLeft: max(0, e.until-now),
	}
	if r.Running {
		r.Run, r.Runner = e.run, e.runner
	}
	return r, true
}

// ExportSettled returns the record that a key would have once its run was settled so, for a copy that must
// exist before the run is settled. It returns false where the ticket is not that of the key's run.
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
		Answer: answer, TimeLeft: s.entries[k].class.Retention,
	}, true
}

// Import takes a record over, in place of what is known of its key, unless that is newer: a run that has
// ended does not run again. It ignores the bounds, as the record was within those of its store, and what runs
// must be known. Requests that waited for the key here and get its answer are returned; their tickets are
// void.
func (s *Store) Import(now time.Duration, r Record) (waiters []Ticket) {
	c, known := s.settings.Classes[r.Key.Class]
	if !known || r.Running && r.Run == 0 {
		return nil
	}
	e := s.entries[r.Key]
	switch {
	case e == nil:
		e = newEntry(r.Key, c)
		s.add(e)
	case e.state != running:
		return nil
	default: // it runs here as well: the record is of its end, or of a new runner
		delete(s.requests, e.run)
	}
	e.digest = r.Digest
	if r.Running {
		e.run, e.runner, e.until = r.Run, r.Runner, now+min(r.TimeLeft, c.MaxRunTime)
		s.requests[r.Run] = &request{entry: e}
		return nil
	}
	s.retain(e, r.outcome(), r.Answer, now+min(r.TimeLeft, c.Retention))
	return s.releaseWaiters(e)
}

// Drop forgets a key that another member holds now. It returns the requests that waited for it here, which
// are to ask there; their tickets are void.
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
	s.forget(e)
	return waiters
}

// Keys returns all keys, in a fixed order.
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

// SetRunner sets which request runs under a key that is held. It is for members that share keys.
func (s *Store) SetRunner(k Key, runner Origin) { s.entries[k].runner = runner }

// KeyOf returns the key of a request that runs or waits.
func (s *Store) KeyOf(t Ticket) (Key, bool) {
	r := s.requests[t]
	if r == nil {
		return Key{}, false
	}
	return r.entry.key, true
}

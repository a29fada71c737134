package soak

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// sample is a record of one node with one request of each class, without a violation.
func sample() *Record {
	r := &Record{
		Began: time.Unix(1_800_000_000, 0), Drains: map[int][]Interval{},
		Plan: Plan{DrainGrace: 500 * ms, Classes: []Class{
			{Name: "free", Idempotency: Idempotent, Deadline: time.Second},
			{Name: "guarded", Idempotency: IdempotentWithKey, DedupWindow: 2 * time.Second, Deadline: time.Second},
			{Name: "single-shot", Idempotency: NotIdempotent, Deadline: time.Second},
		}},
	}
	r.Processes = []*Process{{Node: 0, Lifetime: Interval{r.Began, r.Began.Add(time.Hour)}, StartupTime: 100 * ms, Descriptors: 40}}
	for i, id := range []string{"f", "k", "u"} {
		q := Request{ID: id, Class: i, Sent: r.Began.Add(10 * time.Second), Deadline: time.Second, End: Answered, Status: 200}
		q.Ended = q.Sent.Add(300 * ms)
		if i == 1 {
			q.Key = "key"
		}
		r.Requests = append(r.Requests, q)
		r.Attempts = append(r.Attempts, Attempt{ID: id, Key: q.Key, Server: 1, ReceivedAt: q.Sent.Add(20 * ms), DeadlineLeft: 980 * ms, Executed: true})
	}
	return r
}

// TestOracleFindsViolations alters a correct record so that it violates one rule, each in turn. The oracle
// names that rule.
func TestOracleFindsViolations(t *testing.T) {
	if found := Check(sample()); len(found) > 0 {
		t.Fatalf("in a correct record: %v", found)
	}
	const f, k, u = 0, 1, 2
	again := func(r *Record, i int, later time.Duration) {
		a := r.Attempts[i]
		a.Server, a.ReceivedAt, a.DeadlineLeft = 2, a.ReceivedAt.Add(later), a.DeadlineLeft-later
		r.Attempts = append(r.Attempts, a)
	}
	for name, c := range map[string]struct {
		want  Rule
		alter func(r *Record)
	}{
		"a late answer":                     {OneAnswer, func(r *Record) { r.Requests[f].Ended = r.Requests[f].Sent.Add(1700 * ms) }},
		"no answer":                         {OneAnswer, func(r *Record) { r.Requests[f].End = TimedOut }},
		"a lost connection":                 {OneAnswer, func(r *Record) { r.Requests[f].End = ConnectionLost }},
		"a lost connection that was reused": {OneAnswer, func(r *Record) { r.Requests[f].End, r.Requests[f].Reused = ConnectionLost, true }},
		"forwarded, and its connection closed with no answer": {OneAnswer, func(r *Record) {
			q := &r.Requests[f]
			q.Resent, q.Reused, q.Began = true, true, q.Sent
			r.Attempts[f].ReceivedAt = q.Sent.Add(-20 * ms) // of the first sending
		}},
		"connection lost among idle ones, and forwarded": {OneAnswer, func(r *Record) {
			r.Requests[f].End = ConnectionLost
			r.IdleFloods = []Interval{{r.Began, r.Began.Add(time.Minute)}}
		}},
		"another request's answer":         {GenuineAnswer, func(r *Record) { r.Requests[f].WrongBody = true }},
		"not idempotent, executed twice":   {NotIdempotentOnce, func(r *Record) { again(r, u, 100*ms) }},
		"keyed, executed after its window": {KeyedOncePerWindow, func(r *Record) { again(r, k, 2500*ms); r.Attempts[3].DeadlineLeft = 0 }},
		"rejected, and executed":           {TruthfulRejection, func(r *Record) { r.Requests[u].Status = 503 }},
		"attempt after its client left": {NoAttemptForGoneClient, func(r *Record) {
			r.Requests[f].End, r.Requests[f].Ended = ClientLeft, r.Requests[f].Sent
			r.Attempts[f].ReceivedAt, r.Attempts[f].DeadlineLeft = r.Requests[f].Sent.Add(300*ms), 700*ms
		}},
		"a deadline too long": {DeadlineForwarded, func(r *Record) { r.Attempts[f].ReceivedAt = r.Attempts[f].ReceivedAt.Add(400 * ms) }},
		"sent to a drained server": {NothingToDrained, func(r *Record) {
			r.Drains[1] = []Interval{{r.Began.Add(9 * time.Second), r.Began.Add(time.Minute)}}
		}},
		"a crash":                     {NoCrash, func(r *Record) { r.Processes[0].Failure = "panic" }},
		"a late start of the process": {ReadyInTime, func(r *Record) { r.Processes[0].StartupTime = 11 * time.Second }},
		"descriptors":                 {WithinDescriptorLimit, func(r *Record) { r.Processes[0].Descriptors = descriptorLimit + 1 }},
		"counted by the node itself":  {NoViolationCounted, func(r *Record) { r.Processes[0].Violations = []string{"invariant.repeated_unsafe=1"} }},
		"a stalled client":            {StalledClientEnded, func(r *Record) { r.Stalls = []string{"a client"} }},
	} {
		r := sample()
		c.alter(r)
		found := Check(r)
		if len(found) == 0 || found[0].Rule != c.want {
			t.Errorf("%s: found %v", name, found)
		}
	}
}

// TestOracleExcuses has failures that no node can prevent: it was killed or paused, or could not learn of a drain.
func TestOracleExcuses(t *testing.T) {
	for name, alter := range map[string]func(r *Record){
		"killed": func(r *Record) {
			r.Requests[0].End = ConnectionLost
			r.Processes[0].Killed = r.Requests[0].Ended
		},
		"closed unread among idle connections": func(r *Record) {
			r.Requests[0].End = ConnectionLost
			r.IdleFloods = []Interval{{r.Began, r.Began.Add(time.Minute)}}
			r.Attempts = r.Attempts[1:]
		},
		"paused": func(r *Record) {
			q := &r.Requests[0]
			q.Ended = q.Sent.Add(2 * time.Second)
			r.Processes[0].Paused = []Interval{{q.Sent, q.Sent.Add(time.Second)}}
			r.Attempts[0].DeadlineLeft = 0
		},
		"drained while discovery was down": func(r *Record) {
			r.Drains[1] = []Interval{{r.Began.Add(9 * time.Second), r.Began.Add(time.Minute)}}
			r.DiscoveryFaults = []Interval{{r.Began.Add(9 * time.Second), r.Began.Add(12 * time.Second)}}
		},
	} {
		r := sample()
		alter(r)
		if found := Check(r); len(found) > 0 {
			t.Errorf("%s: %v", name, found)
		}
	}
}

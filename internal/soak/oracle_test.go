package soak

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// sample is a record of two nodes with one request of each effect, all in order.
func sample() *Record {
	r := &Record{
		Began: time.Unix(1_800_000_000, 0), Drains: map[int][]Span{},
		Plan: Plan{Grace: 500 * ms, Classes: []Class{
			{Name: "free", Effect: Free, Deadline: time.Second},
			{Name: "guarded", Effect: Keyed, Window: 2 * time.Second, Deadline: time.Second},
			{Name: "single-shot", Effect: Unsafe, Deadline: time.Second},
		}},
	}
	r.Processes = []*Process{{Node: 0, Span: Span{r.Began, r.Began.Add(time.Hour)}, Ready: 100 * ms, Descriptors: 40}}
	for i, id := range []string{"f", "k", "u"} {
		q := Request{ID: id, Class: i, Sent: r.Began.Add(10 * time.Second), Deadline: time.Second, End: Answered, Status: 200}
		q.Ended = q.Sent.Add(300 * ms)
		if i == 1 {
			q.Key = "key"
		}
		r.Requests = append(r.Requests, q)
		r.Attempts = append(r.Attempts, Attempt{ID: id, Key: q.Key, Server: 1, Came: q.Sent.Add(20 * ms), Told: 980 * ms, Ran: true})
	}
	return r
}

// TestOracleSees breaks each promise in turn in a record that keeps all, and has the oracle name it.
func TestOracleSees(t *testing.T) {
	if found := Check(sample()); len(found) > 0 {
		t.Fatalf("in a record that keeps all: %v", found)
	}
	const f, k, u = 0, 1, 2
	again := func(r *Record, i int, later time.Duration) {
		a := r.Attempts[i]
		a.Server, a.Came, a.Told = 2, a.Came.Add(later), a.Told-later
		r.Attempts = append(r.Attempts, a)
	}
	for name, c := range map[string]struct {
		want  Rule
		alter func(r *Record)
	}{
		"an answer late":          {OneAnswer, func(r *Record) { r.Requests[f].Ended = r.Requests[f].Sent.Add(1700 * ms) }},
		"no answer":               {OneAnswer, func(r *Record) { r.Requests[f].End = Silent }},
		"a connection cut":        {OneAnswer, func(r *Record) { r.Requests[f].End = Cut }},
		"a reused connection cut": {OneAnswer, func(r *Record) { r.Requests[f].End, r.Requests[f].Reused = Cut, true }},
		"sent on, and its connection closed with no answer": {OneAnswer, func(r *Record) {
			q := &r.Requests[f]
			q.Again, q.Reused, q.Began = true, true, q.Sent
			r.Attempts[f].Came = q.Sent.Add(-20 * ms) // of its first sending
		}},
		"cut in a crowd, and sent on": {OneAnswer, func(r *Record) {
			r.Requests[f].End = Cut
			r.Crowds = []Span{{r.Began, r.Began.Add(time.Minute)}}
		}},
		"another's answer":          {RightAnswer, func(r *Record) { r.Requests[f].Wrong = true }},
		"unsafe work twice":         {OnceUnsafe, func(r *Record) { again(r, u, 100*ms) }},
		"keyed work late":           {OnceKeyed, func(r *Record) { again(r, k, 2500*ms); r.Attempts[3].Told = 0 }},
		"a refusal that is not one": {TrueRefusal, func(r *Record) { r.Requests[u].Status = 503 }},
		"begun for nobody": {NotForNobody, func(r *Record) {
			r.Requests[f].End, r.Requests[f].Ended = LeftByClient, r.Requests[f].Sent
			r.Attempts[f].Came, r.Attempts[f].Told = r.Requests[f].Sent.Add(300*ms), 700*ms
		}},
		"a deadline too long": {ToldWhatLeft, func(r *Record) { r.Attempts[f].Came = r.Attempts[f].Came.Add(400 * ms) }},
		"sent to a drained server": {NoneDrained, func(r *Record) {
			r.Drains[1] = []Span{{r.Began.Add(9 * time.Second), r.Began.Add(time.Minute)}}
		}},
		"a crash":           {NoCrash, func(r *Record) { r.Processes[0].Failure = "panic" }},
		"a slow start":      {ReadyInTime, func(r *Record) { r.Processes[0].Ready = 11 * time.Second }},
		"descriptors":       {WithinLimits, func(r *Record) { r.Processes[0].Descriptors = descriptors + 1 }},
		"counted by itself": {NoneCounted, func(r *Record) { r.Processes[0].Broken = []string{"invariant.repeated_unsafe=1"} }},
		"a stall":           {StallEnds, func(r *Record) { r.Stalls = []string{"a client"} }},
	} {
		r := sample()
		c.alter(r)
		found := Check(r)
		if len(found) == 0 || found[0].Rule != c.want {
			t.Errorf("%s: found %v", name, found)
		}
	}
}

// TestOracleExcuses has what no node can help: it was killed, stopped, or told to end.
func TestOracleExcuses(t *testing.T) {
	for name, alter := range map[string]func(r *Record){
		"killed": func(r *Record) {
			r.Requests[0].End = Cut
			r.Processes[0].Killed = r.Requests[0].Ended
		},
		"shut unread in a crowd": func(r *Record) {
			r.Requests[0].End = Cut
			r.Crowds = []Span{{r.Began, r.Began.Add(time.Minute)}}
			r.Attempts = r.Attempts[1:]
		},
		"stopped": func(r *Record) {
			q := &r.Requests[0]
			q.Ended = q.Sent.Add(2 * time.Second)
			r.Processes[0].Paused = []Span{{q.Sent, q.Sent.Add(time.Second)}}
			r.Attempts[0].Told = 0
		},
		"drained while discovery was down": func(r *Record) {
			r.Drains[1] = []Span{{r.Began.Add(9 * time.Second), r.Began.Add(time.Minute)}}
			r.Lists = []Span{{r.Began.Add(9 * time.Second), r.Began.Add(12 * time.Second)}}
		},
	} {
		r := sample()
		alter(r)
		if found := Check(r); len(found) > 0 {
			t.Errorf("%s: %v", name, found)
		}
	}
}

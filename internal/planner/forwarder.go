package planner

import (
	"maps"
	"slices"
	"time"

	"jasperpin/decide"
)

// ForwarderEffects carries out what a Forwarder decides. Methods must not call back.
type ForwarderEffects interface {
	// Tell sends a message to a planner that is up.
	Tell(planner int, m Message)
	// Go lets a request go, to a server if one was planned; 0 stands for none. It
	// comes once for each Ask that said to wait, unless Closed comes first.
	Go(id decide.RequestID, server decide.ServerID)
	// SetTimer wants Late called for a request at a time.
	SetTimer(id decide.RequestID, at time.Duration)
}

// Forwarder is a forwarder's side of planning, for one pool: whom it asks, what it
// does with the answer, and what each planner is told. It owns no request's life:
// whatever planners say, or do not, all it decides is where a first attempt goes.
type Forwarder struct {
	chooser *Chooser
	up      []bool
	turns   map[decide.RequestID]*turn
	out     ForwarderEffects
	counts  Counts
}

// Counts are requests by who chose the server of their first attempt.
type Counts struct{ Planned, Alone int }

// turn is a request from its arrival until the pool has forgotten it.
type turn struct {
	Question
	due     time.Duration
	asked   int // the planner that is to answer; nobody once one has, or none is asked
	askedAt time.Duration
	until   time.Duration // when its answer is late
	by      int           // the planner whose plan it goes by, or nobody
	server  decide.ServerID
	out     []placed
}

const nobody = -1

// placed is an attempt that is out.
type placed struct {
	n      int
	server decide.ServerID
}

// NewForwarder makes one that knows of so many planners, in the order in which they
// are asked. None is up yet.
func NewForwarder(set Settings, planners int, seed uint64, out ForwarderEffects) *Forwarder {
	return &Forwarder{
		chooser: New(set, planners, seed), up: make([]bool, planners),
		turns: make(map[decide.RequestID]*turn), out: out,
	}
}

// Ask takes a request. It says whether to wait for Go; otherwise the forwarder
// decides alone.
func (f *Forwarder) Ask(now time.Duration, id decide.RequestID, q Question) (wait bool) {
	t := &turn{Question: q, due: now + q.Left, asked: nobody, by: nobody}
	f.turns[id] = t
	return f.ask(now, id, t, nobody)
}

// ask asks the next planner behind one.
func (f *Forwarder) ask(now time.Duration, id decide.RequestID, t *turn, after int) bool {
	for {
		n, wait, ok := f.chooser.Ask(now, after)
		if !ok || now+wait >= t.due {
			t.asked = nobody
			return false
		}
		if !f.up[n] {
			f.chooser.Broke(now, n)
			after = n
			continue
		}
		t.asked, t.askedAt, t.until = n, now, now+wait
		f.out.Tell(n, f.word(Ask, now, id, t))
		f.out.SetTimer(id, now+wait)
		return true
	}
}

// word is a message about a request, with what a planner wants to know of it.
func (f *Forwarder) word(kind Kind, now time.Duration, id decide.RequestID, t *turn) Message {
	m := Message{Kind: kind, ID: id, Question: t.Question}
	m.Left = max(t.due-now, 0)
	return m
}

// Answer takes a planner's word on a request. One that comes late, twice or for
// nothing changes nothing.
func (f *Forwarder) Answer(now time.Duration, n int, m Message) {
	t := f.turns[m.ID]
	if t == nil || t.asked != n || m.Kind != Plan && m.Kind != Back {
		return
	}
	f.chooser.Answered(now, n, now-t.askedAt)
	t.asked = nobody
	if m.Kind == Plan && m.Server != 0 {
		t.by, t.server = n, m.Server
	}
	f.out.Go(m.ID, t.server)
}

// Late says that a time set by Wake has come. Where no answer has, the next planner
// is asked, or none.
func (f *Forwarder) Late(now time.Duration, id decide.RequestID) {
	t := f.turns[id]
	if t == nil || t.asked == nobody || now < t.until { // it was set for a planner before
		return
	}
	n := t.asked
	f.chooser.Late(now, n)
	f.withdraw(n, id)
	f.next(now, id, t, n)
}

// next asks behind a planner that has failed, or lets the request go.
func (f *Forwarder) next(now time.Duration, id decide.RequestID, t *turn, after int) {
	if !f.ask(now, id, t, after) {
		f.out.Go(id, 0)
	}
}

// withdraw tells a planner that its plan for a request is not carried out.
func (f *Forwarder) withdraw(n int, id decide.RequestID) {
	if f.up[n] {
		f.out.Tell(n, Message{Kind: Ended, ID: id, Result: decide.Abandoned})
	}
}

// Sent notes an attempt that has been sent, by a plan or without one.
func (f *Forwarder) Sent(now time.Duration, id decide.RequestID, attempt int, server decide.ServerID) {
	t := f.turns[id]
	if t == nil {
		return
	}
	t.out = append(t.out, placed{attempt, server})
	m := f.word(Sent, now, id, t)
	m.Attempt, m.Server = attempt, server
	knows := nobody // whoever planned it counts it already
	if attempt == 0 && (t.by == nobody || server != t.server) {
		f.counts.Alone++
	}
	if attempt == 0 && t.by != nobody {
		if server == t.server {
			knows = t.by
			f.counts.Planned++
		} else {
			f.withdraw(t.by, id)
		}
		t.by = nobody
	}
	for n := range f.up {
		if f.up[n] && n != knows {
			f.out.Tell(n, m)
		}
	}
}

// Ended notes the end of an attempt.
func (f *Forwarder) Ended(id decide.RequestID, attempt int, result decide.Result) {
	t := f.turns[id]
	if t == nil {
		return
	}
	at := slices.IndexFunc(t.out, func(p placed) bool { return p.n == attempt })
	if at < 0 {
		return
	}
	t.out = slices.Delete(t.out, at, at+1)
	for n := range f.up {
		if f.up[n] {
			f.out.Tell(n, Message{Kind: Ended, ID: id, Attempt: attempt, Result: result})
		}
	}
}

// Closed forgets a request that has its answer and nothing out.
func (f *Forwarder) Closed(id decide.RequestID) {
	t := f.turns[id]
	if t == nil {
		return
	}
	delete(f.turns, id)
	for _, n := range []int{t.asked, t.by} { // a plan that was asked for, or not used
		if n != nobody {
			f.withdraw(n, id)
		}
	}
}

// Up says that a planner can be told things. It is told all that is out first.
func (f *Forwarder) Up(now time.Duration, n int) {
	f.up[n] = true
	for _, id := range slices.Sorted(maps.Keys(f.turns)) {
		t := f.turns[id]
		for _, p := range t.out {
			m := f.word(Sent, now, id, t)
			m.Attempt, m.Server = p.n, p.server
			f.out.Tell(n, m)
		}
	}
	f.out.Tell(n, Message{Kind: Synced})
}

// Broke says that the connection to a planner has ended or cannot be made. What it
// was asked for goes to the next.
func (f *Forwarder) Broke(now time.Duration, n int) {
	f.up[n] = false
	f.chooser.Broke(now, n)
	for _, id := range slices.Sorted(maps.Keys(f.turns)) {
		t := f.turns[id]
		if t.by == n {
			t.by = nobody
		}
		if t.asked == n {
			f.next(now, id, t, n)
		}
	}
}

// Move replaces the planners by others, none of which is up yet. What waits for one
// of the old is let go.
func (f *Forwarder) Move(planners int) {
	f.chooser.move(planners)
	f.up = make([]bool, planners)
	for _, id := range slices.Sorted(maps.Keys(f.turns)) {
		t := f.turns[id]
		waits := t.asked != nobody
		if t.asked, t.by = nobody, nobody; waits {
			f.out.Go(id, 0)
		}
	}
}

// Counts are the requests so far.
func (f *Forwarder) Counts() Counts { return f.counts }

// Open counts the requests held.
func (f *Forwarder) Open() int { return len(f.turns) }

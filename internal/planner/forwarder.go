package planner

import (
	"maps"
	"slices"
	"time"

	"jasperpin/decide"
)

// ForwarderEffects carries out what a Forwarder decides. Its methods must not call the Forwarder.
type ForwarderEffects interface {
	// Send sends a message to a planner that is connected.
	Send(planner int, m Message)
	// Proceed lets a request proceed: to the server that was planned for it, or with 0 to one of the
	// forwarder's own choice. It is called once for each request that was to wait, unless the
	// request is closed first.
	Proceed(id decide.RequestID, server decide.ServerID)
	// SetTimer has TimerFired called for a request at a time on the Forwarder's clock.
	SetTimer(id decide.RequestID, at time.Duration)
}

// Forwarder is a forwarder's state machine for one pool: which planner it asks, what it does with
// the answer, and what it reports to each planner. Whatever planners answer, or do not, it decides
// nothing but where a first attempt goes.
//
// Times are on one clock of the caller's. A Forwarder is not safe for concurrent use.
type Forwarder struct {
	chooser   *Chooser
	connected []bool // of each planner
	requests  map[decide.RequestID]*forwardedRequest
	effects   ForwarderEffects
	counts    Counts
}

// Counts are numbers of requests by what chose the server of their first attempt: a planner, or the
// forwarder alone.
type Counts struct{ Planned, Alone int }

// noPlanner stands for no planner.
const noPlanner = -1

// forwardedRequest is a request from its arrival until its pool has forgotten it.
type forwardedRequest struct {
	RequestInfo
	deadline time.Duration
	// asked is the planner that is to answer, or noPlanner.
	asked    int
	askedAt  time.Duration
	answerBy time.Duration // when its answer is late
	// plannedBy is the planner that planned the first attempt, until that is sent, or noPlanner.
	plannedBy int
	server    decide.ServerID // that was planned; 0 for none
	inFlight  []forwardedAttempt
}

// forwardedAttempt is an attempt that has been sent and has not ended.
type forwardedAttempt struct {
	number int
	server decide.ServerID
}

// NewForwarder returns the Forwarder of a number of planners, in the order of preference. None is
// connected yet.
func NewForwarder(settings ChooserSettings, planners int, seed uint64, effects ForwarderEffects) *Forwarder {
	return &Forwarder{
		chooser: NewChooser(settings, planners, seed), connected: make([]bool, planners),
		requests: make(map[decide.RequestID]*forwardedRequest), effects: effects,
	}
}

// Place takes a request that has arrived. It reports whether the request is to wait until it may
// proceed; otherwise the forwarder chooses its server at once.
func (f *Forwarder) Place(now time.Duration, id decide.RequestID, q RequestInfo) (wait bool) {
	r := &forwardedRequest{RequestInfo: q, deadline: now + q.TimeLeft, asked: noPlanner, plannedBy: noPlanner}
	f.requests[id] = r
	return f.askPlanner(now, id, r, noPlanner)
}

// askPlanner asks the next planner behind one, and reports whether there is one to wait for.
func (f *Forwarder) askPlanner(now time.Duration, id decide.RequestID, r *forwardedRequest, after int) bool {
	for {
		n, wait, ok := f.chooser.Choose(now, after)
		if !ok || now+wait >= r.deadline {
			r.asked = noPlanner
			return false
		}
		if !f.connected[n] {
			f.chooser.ConnectionLost(now, n)
			after = n
			continue
		}
		r.asked, r.askedAt, r.answerBy = n, now, now+wait
		f.effects.Send(n, r.message(KindPlace, now, id))
		f.effects.SetTimer(id, now+wait)
		return true
	}
}

// message returns a message about a request, with what a planner is to know of it.
func (r *forwardedRequest) message(kind Kind, now time.Duration, id decide.RequestID) Message {
	m := Message{Kind: kind, ID: id, RequestInfo: r.RequestInfo}
	m.TimeLeft = max(r.deadline-now, 0)
	return m
}

// AnswerReceived takes a planner's answer. One that comes late, twice, or to no question is ignored.
func (f *Forwarder) AnswerReceived(now time.Duration, n int, m Message) {
	r := f.requests[m.ID]
	if r == nil || r.asked != n || m.Kind != KindPlacement && m.Kind != KindDeclined {
		return
	}
	f.chooser.AnswerReceived(now, n, now-r.askedAt)
	r.asked = noPlanner
	if m.Kind == KindPlacement && m.Server != 0 {
		r.plannedBy, r.server = n, m.Server
	}
	f.effects.Proceed(m.ID, r.server)
}

// TimerFired says that the time of a timer has come. If the request still waits for the answer that the
// timer was set for, the next planner is asked, or none.
func (f *Forwarder) TimerFired(now time.Duration, id decide.RequestID) {
	r := f.requests[id]
	if r == nil || r.asked == noPlanner || now < r.answerBy { // the timer was of an earlier question
		return
	}
	late := r.asked
	f.chooser.AnswerMissed(now, late)
	f.withdraw(late, id)
	f.askNextOrProceed(now, id, r, late)
}

// askNextOrProceed asks a planner behind one that has failed, or lets the request proceed.
func (f *Forwarder) askNextOrProceed(now time.Duration, id decide.RequestID, r *forwardedRequest, failed int) {
	if !f.askPlanner(now, id, r, failed) {
		f.effects.Proceed(id, 0)
	}
}

// withdraw reports to a planner that its plan for a request's first attempt is not carried out.
func (f *Forwarder) withdraw(n int, id decide.RequestID) {
	if f.connected[n] {
		f.effects.Send(n, Message{Kind: KindAttemptEnded, ID: id, Result: decide.Abandoned})
	}
}

// AttemptSent reports an attempt that has been sent, numbered from 0 on. A planner that planned it this way
// counts it already and gets no report; one whose plan was not carried out gets its withdrawal.
func (f *Forwarder) AttemptSent(now time.Duration, id decide.RequestID, attempt int, server decide.ServerID) {
	r := f.requests[id]
	if r == nil {
		return
	}
	r.inFlight = append(r.inFlight, forwardedAttempt{attempt, server})
	informed := noPlanner
	if attempt == 0 {
		informed = f.firstAttemptSent(id, r, server)
	}
	m := r.message(KindAttemptSent, now, id)
	m.Attempt, m.Server = attempt, server
	for n, connected := range f.connected {
		if connected && n != informed {
			f.effects.Send(n, m)
		}
	}
}

// firstAttemptSent settles what becomes of a request's plan, and returns the planner that counts the
// attempt already, or noPlanner.
func (f *Forwarder) firstAttemptSent(id decide.RequestID, r *forwardedRequest, server decide.ServerID) (informed int) {
	by := r.plannedBy
	r.plannedBy = noPlanner
	switch {
	case by == noPlanner:
		f.counts.Alone++
		return noPlanner
	case server != r.server:
		f.counts.Alone++
		f.withdraw(by, id)
		return noPlanner
	default:
		f.counts.Planned++
		return by
	}
}

// AttemptEnded reports the end of an attempt. One that is not in flight is ignored.
func (f *Forwarder) AttemptEnded(id decide.RequestID, attempt int, result decide.Result) {
	r := f.requests[id]
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.inFlight, func(a forwardedAttempt) bool { return a.number == attempt })
	if i < 0 {
		return
	}
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	for n, connected := range f.connected {
		if connected {
			f.effects.Send(n, Message{Kind: KindAttemptEnded, ID: id, Attempt: attempt, Result: result})
		}
	}
}

// RequestClosed forgets a request that has its answer and no attempt in flight. A plan that was asked for or
// not carried out is withdrawn.
func (f *Forwarder) RequestClosed(id decide.RequestID) {
	r := f.requests[id]
	if r == nil {
		return
	}
	delete(f.requests, id)
	for _, n := range []int{r.asked, r.plannedBy} {
		if n != noPlanner {
			f.withdraw(n, id)
		}
	}
}

// PlannerConnected says that a planner is connected. It first gets all attempts in flight.
func (f *Forwarder) PlannerConnected(now time.Duration, n int) {
	f.connected[n] = true
	for _, id := range f.requestIDs() {
		r := f.requests[id]
		for _, attempt := range r.inFlight {
			m := r.message(KindAttemptSent, now, id)
			m.Attempt, m.Server = attempt.number, attempt.server
			f.effects.Send(n, m)
		}
	}
	f.effects.Send(n, Message{Kind: KindSynced})
}

// PlannerDisconnected says that the connection to a planner has ended or could not be made. Requests that wait for
// it go to the next.
func (f *Forwarder) PlannerDisconnected(now time.Duration, n int) {
	f.connected[n] = false
	f.chooser.ConnectionLost(now, n)
	for _, id := range f.requestIDs() {
		r := f.requests[id]
		if r.plannedBy == n {
			r.plannedBy = noPlanner
		}
		if r.asked == n {
			f.askNextOrProceed(now, id, r, n)
		}
	}
}

// SetPlanners replaces the planners by a number of others, none of which is connected yet. Requests
// that wait for one of the old proceed.
func (f *Forwarder) SetPlanners(planners int) {
	f.chooser.reset(planners)
	f.connected = make([]bool, planners)
	for _, id := range f.requestIDs() {
		r := f.requests[id]
		waits := r.asked != noPlanner
		r.asked, r.plannedBy = noPlanner, noPlanner
		if waits {
			f.effects.Proceed(id, 0)
		}
	}
}

// requestIDs returns the requests held, in a fixed order: effects must not follow a map's.
func (f *Forwarder) requestIDs() []decide.RequestID { return slices.Sorted(maps.Keys(f.requests)) }

// Counts returns the numbers of requests so far.
func (f *Forwarder) Counts() Counts { return f.counts }

// OpenRequests returns the number of requests that are not closed.
func (f *Forwarder) OpenRequests() int { return len(f.requests) }

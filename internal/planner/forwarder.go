package planner

import (
	"maps"
	"slices"
	"time"

	"jasperpin/decide"
)

// ForwarderEffects carries out what a Forwarder decides. Its methods must not call the Forwarder.
type ForwarderEffects interface {
	// Send sends a message to a connected planner.
	Send(planner int, m Message)
	// Proceed ends the wait of a request. Server is the server that a planner chose, or 0 if the
	// forwarder is to choose one by itself. Proceed is called once for each request for which Place
	// returned true, unless the request is closed first.
	Proceed(id decide.RequestID, server decide.ServerID)
	// SetTimer arranges for a call of TimerFired for a request at a time on the Forwarder's clock.
	SetTimer(id decide.RequestID, at time.Duration)
}

// Forwarder is a forwarder's state machine for one pool. It decides which planner to ask, how to use
// the answer, and what to report to each planner. Planners influence only the server of a request's
// first attempt.
//
// All times are on one clock of the caller. A Forwarder is not safe for concurrent use.
type Forwarder struct {
	chooser   *Chooser
	connected []bool // by planner: whether it is connected
	requests  map[decide.RequestID]*forwardedRequest
	effects   ForwarderEffects
	counts    Counts
}

// Counts are the numbers of requests whose first attempt went to a server chosen by a planner (Planned)
// or by the forwarder itself (Unplanned).
type Counts struct{ Planned, Unplanned int }

// noPlanner is the planner number that stands for none.
const noPlanner = -1

// forwardedRequest is a request from its arrival until RequestClosed.
type forwardedRequest struct {
	RequestInfo
	deadline time.Duration
	// asked is the planner whose answer the request waits for, or noPlanner.
	asked    int
	askedAt  time.Duration
	answerBy time.Duration // time from which the answer is late
	// plannedBy is the planner that planned the first attempt, until that is sent; otherwise noPlanner.
	plannedBy int
	server    decide.ServerID // server that plannedBy chose; 0 for none
	inFlight  []forwardedAttempt
}

// forwardedAttempt is an attempt that has been sent and has not ended.
type forwardedAttempt struct {
	number int
	server decide.ServerID
}

// NewForwarder returns a Forwarder for a number of planners, numbered in the order of preference. None
// is connected yet.
func NewForwarder(settings ChooserSettings, planners int, seed uint64, effects ForwarderEffects) *Forwarder {
	return &Forwarder{
		chooser: NewChooser(settings, planners, seed), connected: make([]bool, planners),
		requests: make(map[decide.RequestID]*forwardedRequest), effects: effects,
	}
}

// Place adds a request that has arrived. It reports whether the request must wait for Proceed;
// otherwise the forwarder chooses the server by itself at once.
func (f *Forwarder) Place(now time.Duration, id decide.RequestID, q RequestInfo) (wait bool) {
	r := &forwardedRequest{RequestInfo: q, deadline: now + q.Remaining, asked: noPlanner, plannedBy: noPlanner}
	f.requests[id] = r
	return f.askPlanner(now, id, r, noPlanner)
}

// askPlanner asks the next planner after the given one, and reports whether the request waits for an
// answer.
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

// message returns a message about a request with its RequestInfo and its remaining time.
func (r *forwardedRequest) message(kind Kind, now time.Duration, id decide.RequestID) Message {
	m := Message{Kind: kind, ID: id, RequestInfo: r.RequestInfo}
	m.Remaining = max(r.deadline-now, 0)
	return m
}

// AnswerReceived handles a planner's answer. Late, duplicate and unsolicited answers are ignored.
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

// TimerFired reports that a timer has expired. If the request still waits for the answer for which the
// timer was set, the next planner is asked; if there is none, the request proceeds.
func (f *Forwarder) TimerFired(now time.Duration, id decide.RequestID) {
	r := f.requests[id]
	if r == nil || r.asked == noPlanner || now < r.answerBy { // the timer belongs to an earlier planner's answer
		return
	}
	late := r.asked
	f.chooser.AnswerMissed(now, late)
	f.withdraw(late, id)
	f.askNextOrProceed(now, id, r, late)
}

// askNextOrProceed asks the next planner after one that has failed; if there is none, the request
// proceeds.
func (f *Forwarder) askNextOrProceed(now time.Duration, id decide.RequestID, r *forwardedRequest, failed int) {
	if !f.askPlanner(now, id, r, failed) {
		f.effects.Proceed(id, 0)
	}
}

// withdraw reports to a planner that the attempt it planned is abandoned.
func (f *Forwarder) withdraw(n int, id decide.RequestID) {
	if f.connected[n] {
		f.effects.Send(n, Message{Kind: KindAttemptEnded, ID: id, Result: decide.Abandoned})
	}
}

// AttemptSent reports to the planners that an attempt, numbered from 0, has been sent to a server. The
// planner that chose this server counts the attempt already and gets no report. A planner that chose
// another server gets a withdrawal before the report.
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

// firstAttemptSent counts whether the first attempt was sent as planned and withdraws the plan if it
// was not. It returns the planner that counts the attempt already, or noPlanner.
func (f *Forwarder) firstAttemptSent(id decide.RequestID, r *forwardedRequest, server decide.ServerID) (informed int) {
	by := r.plannedBy
	r.plannedBy = noPlanner
	switch {
	case by == noPlanner:
		f.counts.Unplanned++
		return noPlanner
	case server != r.server:
		f.counts.Unplanned++
		f.withdraw(by, id)
		return noPlanner
	default:
		f.counts.Planned++
		return by
	}
}

// AttemptEnded reports the end of an attempt to the planners. An attempt that is not in flight is
// ignored.
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

// RequestClosed removes a request that has its final answer and no attempt in flight. A pending plan,
// or one that was not carried out, is withdrawn.
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

// PlannerConnected reports that a planner is connected. The Forwarder first sends it all attempts in
// flight.
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

// PlannerDisconnected reports that the connection to a planner was lost or could not be established. For
// each request that waits for this planner, the next planner is asked; if there is none, the request
// proceeds.
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

// SetPlanners replaces the planners with a number of new ones, none of which is connected yet. Requests
// that wait for an old planner proceed.
func (f *Forwarder) SetPlanners(planners int) {
	f.chooser.reset(planners)
	f.connected = make([]bool, planners)
	for _, id := range f.requestIDs() {
		r := f.requests[id]
		waiting := r.asked != noPlanner
		r.asked, r.plannedBy = noPlanner, noPlanner
		if waiting {
			f.effects.Proceed(id, 0)
		}
	}
}

// requestIDs returns the IDs of the open requests in ascending order, so that the order of effects does
// not depend on the iteration order of a map.
func (f *Forwarder) requestIDs() []decide.RequestID { return slices.Sorted(maps.Keys(f.requests)) }

// Counts returns the numbers of requests since the Forwarder was created.
func (f *Forwarder) Counts() Counts { return f.counts }

// OpenRequests returns the number of requests that have not been closed.
func (f *Forwarder) OpenRequests() int { return len(f.requests) }

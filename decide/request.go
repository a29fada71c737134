package decide

import (
	"slices"
	"time"
)

// request is what the node holds for one client request.
type request struct {
	Request
	objectiveAt time.Duration // when an answer has lost its value, and attempts end
	hedgeAt     time.Duration // when the last attempt sent counts as lost
	attempts    []attempt     // in the order in which they were sent
	finished    bool          // it has its final answer, or its client disconnected
}

// attempt is one send of a request to one server.
type attempt struct {
	server *server
	sentAt time.Duration
	// startedAt is when it began to be written, and until it has its connection when it was sent.
	startedAt       time.Duration
	expectedLatency time.Duration // as expected when it was sent
	inFlight        bool          // it has no outcome yet
	mayHaveRun      bool          // in flight, or ended without proof that it did not run
}

// attemptInFlight reports whether any attempt has no outcome yet.
func (r *request) attemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight })
}

// sentTo reports whether an attempt went to a server.
func (r *request) sentTo(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// firstPossiblyRun returns, of the attempts that may have run, the one that started first, or nil.
func (r *request) firstPossiblyRun() *attempt {
	var first *attempt
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.mayHaveRun && (first == nil || a.startedAt < first.startedAt) {
			first = a
		}
	}
	return first
}

// forgetIfDone drops a request once it is finished and no attempt for it is in flight.
func (b *Balancer) forgetIfDone(r *request) {
	if r.finished && !r.attemptInFlight() && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
	}
}

package decide

import (
	"slices"
	"time"
)

// request is the state that the Balancer stores for one client request.
type request struct {
	Request
	objectiveAt time.Duration // when an answer has lost its value and attempts end
	hedgeAt     time.Duration // time from which the last attempt counts as lost
	attempts    []attempt     // attempts in the order of sending
	finished    bool          // the request has its final answer, or its client disconnected
}

// attempt is one sending of a request to one server.
type attempt struct {
	server *server
	sentAt time.Duration
	// startedAt is when writing it began; until the attempt has a connection, the time it was sent.
	startedAt       time.Duration
	expectedLatency time.Duration // expected latency of the request, as of sentAt
	inFlight        bool          // the attempt has no outcome yet
	countsAsRun     bool          // the attempt is in flight, or ended without proof that the server did not run it
}

// attemptInFlight reports whether any attempt has no outcome yet.
func (r *request) attemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight })
}

// sentTo reports whether an attempt was sent to a server.
func (r *request) sentTo(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// firstCountedAsRun returns the earliest-started attempt that counts as run, or nil if there is none.
func (r *request) firstCountedAsRun() *attempt {
	var first *attempt
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.countsAsRun && (first == nil || a.startedAt < first.startedAt) {
			first = a
		}
	}
	return first
}

// forgetIfDone deletes a request once it is finished and has no attempt in flight.
func (b *Balancer) forgetIfDone(r *request) {
	if r.finished && !r.attemptInFlight() && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
	}
}

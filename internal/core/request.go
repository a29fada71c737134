package core

import (
	"slices"
	"sync/atomic"
	"time"

	"jasperpin/decide"
)

// MaxUploadTime is the longest time until the last byte of a request whose body is streamed. The client's own
// timeout starts only at the last byte, so that without this limit a client could keep the request open forever.
const MaxUploadTime = 15 * time.Minute

// MaxClientTimeout is the longest timeout accepted from a client if the request's class sets no deadline. It
// bounds how long a request and its timer stay in memory.
const MaxClientTimeout = time.Minute

// OpenRequest is a request between its arrival and its end. Pool.Submit returns it.
type OpenRequest struct {
	*Request // without its message once the request is released and its answer streams
	id       decide.RequestID
	final    chan Final // has a buffer of one

	// settled is true once the request has its final answer or its client has disconnected: no further
	// answer is sent. It is written with Pool.mu held, and read without the lock by an attempt that is
	// about to be written.
	settled atomic.Bool

	// The following fields are guarded by Pool.mu.
	deadline             time.Duration // the request's deadline, on the Balancer's clock
	attempts             []*attempt    // the attempts sent so far, by number
	outstanding          int           // number of attempts without an outcome
	slowWrites           int           // number of attempts that were ended because their server read them slowly
	clientDisconnected   bool          // the client disconnected, and the request does not continue without it
	clientDisconnectedAt time.Time
	awaitingPlacement    bool        // the Placer has not yet chosen the first attempt's server
	answerStreams        bool        // the rest of the answer is on its way to the client
	uploadTimer          *time.Timer // calls watchUpload; nil unless the body is streamed
}

// Final returns the channel that receives the request's one final answer.
func (r *OpenRequest) Final() <-chan Final { return r.final }

// Submit accepts a request. If the error is nil, the request gets exactly one final answer. Otherwise the error
// is ErrRetired or ErrIDInUse. Ids are unique to a request, and clients and servers match answers to requests by
// them: an id that an open request already has comes from another client.
func (p *Pool) Submit(q *Request) (*OpenRequest, error) {
	r := &OpenRequest{Request: q, final: make(chan Final, 1)}
	var err error
	p.handle(eventArrival, func(now time.Duration) { err = p.open(now, r) })
	if err != nil {
		return nil, err
	}
	return r, nil
}

// open registers a request and passes it to the Balancer, or to the Placer first.
func (p *Pool) open(now time.Duration, r *OpenRequest) error {
	if p.retired {
		return ErrRetired
	}
	if !p.shared.openRequestID(r.ID) {
		return ErrIDInUse
	}
	r.id = p.nextRequestID()
	r.deadline = p.capDeadline(p.clockTime(r.ReceivedAt) + r.Timeout)
	if r.StreamedBody != nil {
		r.deadline = p.capDeadline(now + MaxUploadTime)
	}
	p.requests[r.id] = r
	if r.StreamedBody != nil && r.BodySentAt != nil {
		id := r.id // the runtime may keep a stopped timer, which must not keep the request and its body
		r.uploadTimer = time.AfterFunc(r.Timeout, func() { p.watchUpload(id) })
	}
	// The arrival is now and not ReceivedAt, as the Balancer's clock must not run backwards. The deadline
	// still counts from ReceivedAt, for a request that waited between the two.
	placer := p.settings.Placer
	if placer != nil && placer.Place(r.balancerRequest(0), r.deadline-now) {
		r.awaitingPlacement = true
		return nil
	}
	p.balancer.Arrive(now, r.balancerRequest(0))
	return nil
}

// nextRequestID returns an id that no open request has.
func (p *Pool) nextRequestID() decide.RequestID {
	p.lastRequestID++
	for p.requests[p.lastRequestID] != nil {
		p.lastRequestID++
	}
	return p.lastRequestID
}

// handlePlacement receives the Placer's answer: the server of a request's first attempt, or 0 for none.
func (p *Pool) handlePlacement(id decide.RequestID, server decide.ServerID) {
	p.handle(eventPlacement, func(now time.Duration) {
		r := p.requests[id]
		if r == nil || !r.awaitingPlacement {
			return
		}
		r.awaitingPlacement = false
		p.balancer.Arrive(now, r.balancerRequest(server))
	})
}

// balancerRequest returns the Balancer's form of the request. planned is the server that the Placer has chosen;
// 0 for none.
func (r *OpenRequest) balancerRequest(planned decide.ServerID) decide.Request {
	return decide.Request{
		ID: r.id, Class: r.Class, Key: r.AffinityKey, WorkHint: r.WorkHint, Deadline: r.deadline,
		ClientRetry: r.ClientRetry, Streaming: r.StreamedBody != nil, PlannedServer: planned,
	}
}

// settle sends a request's final answer, unless the request is already settled. It is called with Pool.mu held.
func (p *Pool) settle(id decide.RequestID, final Final) {
	r := p.requests[id]
	if r == nil || r.settled.Load() {
		return
	}
	r.settled.Store(true)
	r.final <- final
	p.cancelUnbegun(r)
	p.release(r)
}

// release removes a request that is settled and has no attempt in flight, and frees its id unless its answer is still
// being streamed. The id of a request that may have run, and whose client left without an answer, stays in use for
// a while: servers would run another request of that id as well. It is called with Pool.mu held.
func (p *Pool) release(r *OpenRequest) {
	if !r.settled.Load() || r.outstanding > 0 || p.requests[r.id] != r {
		return
	}
	delete(p.requests, r.id)
	if r.uploadTimer != nil {
		r.uploadTimer.Stop()
	}
	if r.Released != nil {
		p.afterUnlock(r.Released)
	}
	if r.answerStreams { // the rest of the answer, which may take long, keeps r
		r.dropMessage()
	}
	switch {
	case r.answerStreams: // answerEnded frees the id
	case r.clientDisconnected && r.mayHaveRun():
		p.shared.holdRequestID(r.ID)
	default:
		p.shared.closeRequestID(r.ID)
	}
	if p.settings.Placer != nil {
		p.settings.Placer.RequestClosed(r.id)
	}
	if p.retired && len(p.requests) == 0 {
		close(p.drained)
	}
}

// dropMessage lets go of the message of a request that no attempt sends any more, and with it of the body. It is called
// with Pool.mu held. The front end may still read its own Request.
func (r *OpenRequest) dropMessage() {
	released := *r.Request
	released.Message = Message{}
	r.Request = &released
}

// ClientDisconnected ends a request whose client has disconnected. It returns false if the request continues,
// as duplicate requests may wait for its final answer.
func (p *Pool) ClientDisconnected(r *OpenRequest) (ended bool) {
	p.handle(eventClient, func(now time.Duration) { ended = p.clientDisconnected(now, r) })
	return ended
}

// clientDisconnected is ClientDisconnected with Pool.mu held. It cancels the attempts that have not begun even
// if the settings disable cancelling: that setting applies to attempts that a server has received.
func (p *Pool) clientDisconnected(now time.Duration, r *OpenRequest) (ended bool) {
	if r.clientDisconnected {
		return true
	}
	if r.continuesWithoutClient() {
		return false
	}
	r.clientDisconnected, r.clientDisconnectedAt = true, time.Now()
	final := Final{Status: StatusClientDisconnected}
	if slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.endedMayHaveRun }) {
		final.Status = Failed // this is the final answer to duplicate requests that wait
	}
	select {
	case unreceived := <-r.final:
		p.afterUnlock(unreceived.Answer.drop)
	default:
	}
	p.abandon(now, r, final)
	return true
}

// clientUnknown ends a request whose client may have disconnected (ClientPresenceUnknown), so that no further attempt
// begins, unless the request continues without a client. The final answer is Failed if an attempt may have run, and
// Rejected otherwise. It is called with Pool.mu held.
func (p *Pool) clientUnknown(now time.Duration, r *OpenRequest) {
	if r.settled.Load() || r.continuesWithoutClient() {
		return
	}
	final := Final{Status: Rejected}
	if r.mayHaveRun() {
		final.Status = Failed
	}
	p.abandon(now, r, final)
}

// abandon settles a request with final and cancels its attempts that have not begun. Attempts that have begun
// continue or are cancelled, as the Balancer's settings require.
func (p *Pool) abandon(now time.Duration, r *OpenRequest, final Final) {
	r.settled.Store(true)
	r.final <- final
	p.balancer.ClientDisconnected(now, r.id)
	p.cancelUnbegun(r)
	p.release(r)
}

// hasStoredKey reports whether the node stores the key of the request, so that duplicates get its final answer.
func (r *OpenRequest) hasStoredKey() bool { return r.HasWaiters != nil }

// mayHaveRun reports whether an attempt of the request may have run; see attempt.mayHaveRun.
func (r *OpenRequest) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).mayHaveRun)
}

// continuesWithoutClient reports whether a request continues after its client has disconnected. It does not if
// HasWaiters is nil or no attempt has begun. Otherwise it continues if it is settled or a duplicate request waits
// now. If no duplicate waits, continuesWithoutClient cancels the attempts that have not begun; the request then
// continues while an attempt that has begun is in flight, as duplicates may still ask for the final answer.
func (r *OpenRequest) continuesWithoutClient() bool {
	if !r.hasStoredKey() || !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.begun }) {
		return false
	}
	if r.settled.Load() || r.HasWaiters() {
		return true
	}
	inFlight := false
	for _, a := range r.attempts {
		switch {
		case a.ended:
		case a.begun:
			inFlight = true
		default:
			a.unwanted = true
			a.cancel(ErrCancelled)
		}
	}
	return inFlight
}

// cancelUnbegun cancels the attempts of a settled request that have not begun.
func (p *Pool) cancelUnbegun(r *OpenRequest) {
	for _, a := range r.attempts {
		if !a.begun && !a.ended {
			p.afterUnlock(func() { a.cancel(ErrCancelled) })
		}
	}
}

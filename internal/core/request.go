package core

import (
	"slices"
	"sync/atomic"
	"time"

	"jasperpin/decide"
)

// MaxUploadTime bounds how long a request whose body is streamed may take until its last byte. Its
// client's own timeout starts only there, so that without this bound it could be held open for ever.
const MaxUploadTime = 15 * time.Minute

// MaxClientTimeout bounds the timeouts accepted where a request's class sets no deadline, and so how long a
// request and its timer may be held.
const MaxClientTimeout = time.Minute

// OpenRequest is a request from its arrival to its end.
type OpenRequest struct {
	*Request
	id    decide.RequestID
	final chan Final // holds one

	// settled says that the request has its final answer, or that its client has disconnected: no further
	// answer is due. It is written under the pool's lock, and read without it by an attempt that is
	// about to be written.
	settled atomic.Bool

	// What follows is guarded by the pool's lock.
	deadline             time.Duration // on the Balancer's clock
	attempts             []*attempt    // by number
	outstanding          int           // attempts without an outcome
	clientDisconnected   bool          // and nobody else waits for its end
	clientDisconnectedAt time.Time
	awaitingPlacement    bool // the Placer has yet to choose the first attempt's server
}

// Final brings the request's one answer.
func (r *OpenRequest) Final() <-chan Final { return r.final }

// Submit takes a request, which gets one final answer from now on. Its error is ErrRetired or ErrIDInUse:
// ids are new with every request, and servers and clients tell answers apart by them, so that one which
// is used twice at a time is another client's.
func (p *Pool) Submit(q *Request) (*OpenRequest, error) {
	r := &OpenRequest{Request: q, final: make(chan Final, 1)}
	var err error
	p.handle(eventArrival, func(time.Duration) { err = p.open(r) })
	if err != nil {
		return nil, err
	}
	return r, nil
}

// open registers a request and hands it to the Balancer, or to the Placer first.
func (p *Pool) open(r *OpenRequest) error {
	if p.retired {
		return ErrRetired
	}
	if !p.requestIDs.Open(r.ID) {
		return ErrIDInUse
	}
	r.id = p.nextRequestID()
	r.deadline = p.capDeadline(p.clockTime(r.ReceivedAt) + r.Timeout)
	if r.StreamedBody != nil {
		r.deadline = p.capDeadline(p.clockTime(time.Now()) + MaxUploadTime)
	}
	p.requests[r.id] = r
	// The Balancer's clock never runs back, and a request that waited to be read has its true
	// deadline all the same.
	now := p.clockTime(time.Now())
	placer := p.settings.Placer
	if placer != nil && placer.Place(r.balancerRequest(0), r.deadline-now) {
		r.awaitingPlacement = true
		return nil
	}
	p.balancer.Arrive(now, r.balancerRequest(0))
	return nil
}

// nextRequestID gives an id that no open request has.
func (p *Pool) nextRequestID() decide.RequestID {
	p.lastRequestID++
	for p.requests[p.lastRequestID] != nil {
		p.lastRequestID++
	}
	return p.lastRequestID
}

// placed takes the Placer's answer: the server to send a request to, or 0 for none.
func (p *Pool) placed(id decide.RequestID, server decide.ServerID) {
	p.handle(eventPlacement, func(now time.Duration) {
		r := p.requests[id]
		if r == nil || !r.awaitingPlacement {
			return
		}
		r.awaitingPlacement = false
		p.balancer.Arrive(now, r.balancerRequest(server))
	})
}

// balancerRequest is the request as the Balancer takes it.
func (r *OpenRequest) balancerRequest(planned decide.ServerID) decide.Request {
	return decide.Request{
		ID: r.id, Class: r.Class, Key: r.AffinityKey, WorkHint: r.WorkHint, Deadline: r.deadline,
		ClientRetry: r.ClientRetry, Streaming: r.StreamedBody != nil, PlannedServer: planned,
	}
}

// settle gives a request its final answer, if it has none.
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

// release forgets a request that is settled and has no attempt in flight.
func (p *Pool) release(r *OpenRequest) {
	if !r.settled.Load() || r.outstanding > 0 || p.requests[r.id] != r {
		return
	}
	delete(p.requests, r.id)
	p.requestIDs.Close(r.ID)
	if p.settings.Placer != nil {
		p.settings.Placer.RequestClosed(r.id)
	}
	if p.retired && len(p.requests) == 0 {
		close(p.drained)
	}
}

// ClientDisconnected ends a request whose client has disconnected. It returns false where the request goes
// on, as others may wait for its end.
func (p *Pool) ClientDisconnected(r *OpenRequest) (ended bool) {
	p.handle(eventClient, func(now time.Duration) { ended = p.clientDisconnected(now, r) })
	return ended
}

// clientDisconnected is ClientDisconnected under the lock. What was not sent yet is not sent any more, whatever
// the settings say of cancelling attempts: they speak of what is at a server.
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
		final.Status = Failed // for others that wait for this request's end
	}
	select {
	case untaken := <-r.final:
		p.afterUnlock(untaken.Answer.drop)
	default:
	}
	p.abandon(now, r, final)
	return true
}

// clientUnknown answers a request of which nobody can say whether its client still waits, and begins
// nothing more for it: it is rejected where none of it may have run.
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

// abandon settles a request for which nothing more is to begin. What is at a server ends as the Balancer's
// settings say.
func (p *Pool) abandon(now time.Duration, r *OpenRequest, final Final) {
	r.settled.Store(true)
	r.final <- final
	p.balancer.ClientDisconnected(now, r.id)
	p.cancelUnbegun(r)
	p.release(r)
}

// mayHaveRun reports whether an attempt is in flight that has begun, or has ended with no proof that it
// never ran.
func (r *OpenRequest) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).mayHaveRun)
}

// continuesWithoutClient reports whether a request goes on whose client has disconnected. Attempts that have begun
// do, where others may ask for its end; an attempt that has not begun does only for others that wait
// now, and is cancelled otherwise.
func (r *OpenRequest) continuesWithoutClient() bool {
	if r.OthersWait == nil || !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.begun }) {
		return false
	}
	if r.settled.Load() || r.OthersWait() {
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

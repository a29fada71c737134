package fsm

import "time"

// Times of a holder: each is the lease's TTL divided by one of these.
const (
	// clockMarginDivisor gives the part of the TTL that a holder does not use, since its clock may run slower
	// than the leader's.
	clockMarginDivisor = 8
	// renewalDivisor gives the time from a request that was granted to the renewal. It leaves time for two
	// retries before a lease that is held ends.
	renewalDivisor = 3
	// rejectedRetryDivisor gives the pause before a lease that another holds is requested again. It bounds how
	// long a lease that has expired stays unused.
	rejectedRetryDivisor = 4
	// unansweredRetryDivisor gives the pause after a request without an answer. It is shorter, since a lease may
	// be held that is about to end.
	unansweredRetryDivisor = 8
)

// Holder is the holder's side of one lease: whether it may act under the lease, and when to send the
// next request. It is pure: the caller sends the requests and reports their outcome through Granted,
// Rejected or Unanswered. All times are offsets on the holder's own monotonic clock. It is not safe
// for concurrent use.
//
// The holder decides on expiry by one rule: a grant counts from the moment at which its request was
// sent, since the time on the way is unknown, and ends 1/clockMarginDivisor of its TTL early. The cluster
// clock is never ahead of real time, so that the lease is granted to no other holder before.
type Holder struct {
	ttl         time.Duration
	token       uint64 // 0 while the lease is not held
	deadline    time.Duration
	nextRequest time.Duration
}

// NewHolder returns the holder's side of a lease that is not held yet. Its first request is due at once.
func NewHolder(ttl time.Duration) *Holder { return &Holder{ttl: ttl} }

// Holds returns the fencing token, and whether the lease is held at a time.
func (h *Holder) Holds(now time.Duration) (token uint64, held bool) {
	return h.token, h.token > 0 && now < h.deadline
}

// Deadline is when the holder must stop, unless the lease is renewed before.
func (h *Holder) Deadline() time.Duration { return h.deadline }

// NextRequest is when the next request is due: to renew a lease that is held, else to acquire it.
func (h *Holder) NextRequest() time.Duration { return h.nextRequest }

// Request returns the command to send. A lease whose deadline has passed is acquired anew: another may
// have held it since.
func (h *Holder) Request(now time.Duration, name, holder string) Command {
	c := Command{Op: Acquire, Name: name, Holder: holder, TTL: h.ttl}
	if token, held := h.Holds(now); held {
		c.Op, c.FencingToken = Renew, token
	}
	return c
}

// Granted reports that the request sent at a time was granted under a fencing token.
func (h *Holder) Granted(sent time.Duration, token uint64) {
	if token != h.token {
		h.deadline = 0
	}
	h.token = token
	h.deadline = max(h.deadline, sent+h.ttl-h.ttl/clockMarginDivisor)
	h.nextRequest = sent + h.ttl/renewalDivisor
}

// Rejected reports that another holds the lease, or that it was lost.
func (h *Holder) Rejected(now time.Duration) {
	h.token, h.deadline = 0, 0
	h.nextRequest = now + h.ttl/rejectedRetryDivisor
}

// Unanswered reports that no answer came. A lease that is held stays held until its deadline.
func (h *Holder) Unanswered(now time.Duration) { h.nextRequest = now + h.ttl/unansweredRetryDivisor }

package fsm

import "time"

// Divisors of the lease's TTL that give the intervals of a holder.
const (
	// clockMarginDivisor gives the margin at the end of the TTL that a holder does not use, since its clock may
	// run slower than the leader's.
	clockMarginDivisor = 8
	// renewalDivisor gives the time from a granted request to the renewal. It leaves time for two retries before
	// the deadline.
	renewalDivisor = 3
	// rejectedRetryDivisor gives the pause before the next request for a lease that has another holder. It bounds
	// how long an expired lease stays unused.
	rejectedRetryDivisor = 4
	// unansweredRetryDivisor gives the pause after a request without a response. It is shorter, since the holder
	// may have a lease that is about to expire.
	unansweredRetryDivisor = 8
)

// Holder is the client side of one lease. It decides whether the client may act under the lease, and when to
// send the next request. It performs no I/O: the caller sends the requests and reports their outcome through
// Granted, Rejected or Unanswered. All times are offsets on the client's monotonic clock. It is not safe for
// concurrent use.
//
// The TTL of a grant starts when its request was sent, since the network delay is unknown, and ends
// 1/clockMarginDivisor of the TTL early. The cluster clock is never ahead of real time, so the lease is not
// granted to another holder before the end of the TTL.
type Holder struct {
	ttl         time.Duration
	token       uint64 // the fencing token; 0 while the lease is not held
	deadline    time.Duration
	nextRequest time.Duration
}

// NewHolder returns the Holder of a lease that is not held yet. Its first request is due immediately.
func NewHolder(ttl time.Duration) *Holder { return &Holder{ttl: ttl} }

// Holds returns the fencing token, and whether the lease is held at the time now.
func (h *Holder) Holds(now time.Duration) (token uint64, held bool) {
	return h.token, h.token > 0 && now < h.deadline
}

// Deadline returns the time at which the holder must stop acting under the lease unless it is renewed.
func (h *Holder) Deadline() time.Duration { return h.deadline }

// NextRequest returns the time at which the next request is due: a Renew if the lease is held, else an Acquire.
func (h *Holder) NextRequest() time.Duration { return h.nextRequest }

// Request returns the command to send at the time now. After the deadline it is an Acquire, since the lease may
// have had another holder in the meantime.
func (h *Holder) Request(now time.Duration, name, holder string) Command {
	request := Command{Op: Acquire, Name: name, Holder: holder, TTL: h.ttl}
	if token, held := h.Holds(now); held {
		request.Op, request.FencingToken = Renew, token
	}
	return request
}

// Granted reports that the request sent at the time sent was granted under a fencing token.
func (h *Holder) Granted(sent time.Duration, token uint64) {
	if token != h.token {
		h.deadline = 0
	}
	h.token = token
	h.deadline = max(h.deadline, sent+h.ttl-h.ttl/clockMarginDivisor)
	h.nextRequest = sent + h.ttl/renewalDivisor
}

// Rejected reports that the lease has another holder, or was lost.
func (h *Holder) Rejected(now time.Duration) {
	h.token, h.deadline = 0, 0
	h.nextRequest = now + h.ttl/rejectedRetryDivisor
}

// Unanswered reports that a request got no response. A lease that is held stays held until its deadline.
func (h *Holder) Unanswered(now time.Duration) { h.nextRequest = now + h.ttl/unansweredRetryDivisor }

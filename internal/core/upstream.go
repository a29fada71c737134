package core

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"jasperpin/decide"
)

// Upstream sends attempts to servers over one protocol.
type Upstream interface {
	// AddServer returns a new Server. The pool calls Invalidate on it when it removes the server.
	AddServer() Server
	// Close closes all idle connections. No attempt is sent after Close.
	Close()
}

// Server is the upstream's view of one server.
type Server interface {
	// Send sends one attempt and returns its result. The answer is nil unless the result is decide.OK.
	// Send returns soon after ctx is done, whose cause is then ErrTimedOut or ErrCancelled; see
	// ResultWithoutAnswer. It may be called concurrently.
	Send(ctx context.Context, addr string, m *Message, gate AttemptGate) (decide.Result, *Answer)
	// Invalidate is called when the process behind the address ends or has been replaced. Its existing
	// connections must not be used for further attempts.
	Invalidate()
}

// AttemptGate decides whether an attempt may be written. Server.Send calls the gate before it writes the attempt, and
// reports the end of the write to the gate.
type AttemptGate interface {
	// Begin reports whether the attempt may be written. It is called once, after the attempt has its
	// connection and before anything is written, as conditions may have changed during the wait for
	// that connection. If it returns false, the attempt's result is decide.Abandoned, or
	// ResultWithoutAnswer if the context is done.
	Begin() (AttemptDeadlines, bool)
	// StillValid reports whether an attempt that Begin allowed may still be written. It must be called
	// immediately before each write, as the node may be delayed for long between Begin and a write, and
	// may be called at any time. If it returns false, nothing more is written, and the attempt ends like
	// one that did not begin.
	StillValid() bool
	// AnswerMemory returns the memory of the attempt's answer. What is taken is released with the answer, or else by the
	// caller.
	AnswerMemory() AnswerMemory
	// WriteTooSlow is called if the write was ended before the last byte, as the timeout that the server was given at
	// the beginning of the request would have exceeded the client's time at its end.
	WriteTooSlow()
	// RequestWritten is called once the request's last byte is written. It is not called if the write does not
	// complete.
	RequestWritten(WrittenRequest)
}

// WrittenRequest describes a request whose last byte is written.
type WrittenRequest struct {
	Timeout time.Duration // timeout that the server was given for its answer
	// LeftAt returns when the last byte left for the server, which the node may notice later.
	LeftAt func() time.Time
}

// AttemptDeadlines are the deadlines of an attempt that may be written.
type AttemptDeadlines struct {
	// WriteBy is the latest time for the attempt's last byte: servers may forget the idempotency key
	// of an earlier attempt after that. The zero time means no limit.
	WriteBy time.Time
	// ClientDeadline is the client's deadline, or the end of the attempt's own timeout if that is earlier, less a
	// safety margin. The server may be given the time that remains until then when the request is written.
	ClientDeadline time.Time
	// AnswerBy is the client's deadline.
	AnswerBy time.Time
	// ForwardFrom is when an answer without a length that is still arriving has to be forwarded. It is the earlier, the
	// earlier the attempt was sent.
	ForwardFrom time.Time
	// TimeoutShare is the part of the remaining time that the server is given: less than 1 if earlier attempts were
	// written slowly.
	TimeoutShare float64
}

// Remaining returns the most time that the server may be given for its answer if the attempt is written now.
func (s AttemptDeadlines) Remaining() time.Duration { return time.Until(s.ClientDeadline) }

// ResultWithoutAnswer returns the result of an attempt that ended without a complete answer. neverRan means that
// the attempt is known not to have run.
func ResultWithoutAnswer(ctx context.Context, neverRan bool) decide.Result {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrCancelled):
		return decide.Cancelled
	case neverRan:
		return decide.ConnectFailed
	case errors.Is(cause, ErrTimedOut):
		return decide.TimedOut
	}
	return decide.ConnectionReset
}

// Endpoint is one server of an endpoint list.
type Endpoint struct {
	Name        string             `json:"Name"`
	Addr        string             `json:"Addr"` // host and port
	Zone        int                `json:"Zone"`
	Cell        int                `json:"Cell"` // the failure domain within which servers detect repeats of a request
	State       decide.ServerState `json:"Condition"`
	Capacity    float64            `json:"Share"`  // relative to the other servers
	StartedAtMS float64            `json:"BornMS"` // Unix time of the server's start, in ms; 0 for long ago
}

// BalancerServer returns the Balancer's form of the endpoint. startedAt is the server's start time on the
// Balancer's clock.
func (e *Endpoint) BalancerServer(id decide.ServerID, startedAt time.Duration) decide.Server {
	return decide.Server{
		ID: id, Zone: e.Zone, Cell: e.Cell, State: e.State, Capacity: e.Capacity,
		StartedAt: startedAt,
	}
}

// HashServerID returns a server's id in the Balancer: a hash of its name, so that all nodes send a key to the
// same servers and planners and forwarders agree on ids. If the hash is 0 or taken, the id is the next free
// number above it.
func HashServerID(name string, taken func(decide.ServerID) bool) decide.ServerID {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := decide.ServerID(h.Sum32())
	for id == 0 || taken(id) {
		id++
	}
	return id
}

// Placer chooses the server of each request's first attempt, and is notified of all attempts. Except for Start
// and Close, the pool makes one call at a time, with Pool.mu held: a call must not block or call the pool.
type Placer interface {
	// Start sets the function that the Placer calls to answer Place: with a server, or 0 for none.
	Start(answer func(decide.RequestID, decide.ServerID))
	// Place requests the server of a request's first attempt. It returns true if the pool must wait for
	// the answer, which then always arrives soon. left is the time until the request's deadline.
	Place(q decide.Request, left time.Duration) (wait bool)
	AttemptSent(id decide.RequestID, attempt int, to decide.ServerID)
	AttemptEnded(id decide.RequestID, attempt int, result decide.Result)
	// RequestClosed is called when a request is settled and has no attempt in flight.
	RequestClosed(id decide.RequestID)
	// Close closes the Placer. The pool makes no call after it.
	Close()
}

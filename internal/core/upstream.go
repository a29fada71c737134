package core

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"jasperpin/decide"
)

// Upstream carries attempts to servers by one protocol.
type Upstream interface {
	// AddServer begins to know a server. The pool calls its Invalidate when it has forgotten it.
	AddServer() Server
	// Close closes all idle connections. Nothing is sent after it.
	Close()
}

// Server is one server as its upstream knows it.
type Server interface {
	// Send carries one attempt out and reports how it ended; an answer comes with decide.OK only. It
	// returns soon after its context ends, whose cause is ErrTimedOut or ErrCancelled; see ResultWithoutAnswer.
	// Calls may run concurrently.
	Send(ctx context.Context, addr string, m *Message, gate AttemptGate) (decide.Result, *Answer)
	// Invalidate says that the process behind the address ends or has been replaced: connections to
	// it are not used again.
	Invalidate()
}

// AttemptGate is asked by an attempt's sender whether it may be written, and notified once it is.
type AttemptGate interface {
	// Begin reports whether the attempt may be written. It is called once, with a connection at hand and
	// nothing written, as much may have changed in the wait for that connection. Where it says no the
	// attempt is decide.Abandoned, or ended as its context says.
	Begin() (AttemptDeadlines, bool)
	// StillValid reports whether an attempt that was allowed to begin still is. It is called at the last
	// moment before each write, and may be at any time: between Begin and a write a node may be held
	// up for long. Where it says no nothing more is written, and the attempt ends as one that did not
	// begin.
	StillValid() bool
	// Wrote is called once the request's last byte is written, if it comes to that, with the time
	// that the server was given for its answer.
	Wrote(serverTimeout time.Duration)
}

// AttemptDeadlines bound an attempt that may be written.
type AttemptDeadlines struct {
	// WriteBy is until when the attempt's last byte may be written: servers remember an earlier
	// attempt's idempotency key no longer. The zero time stands for no bound.
	WriteBy time.Time
	// ClientDeadline is when the client gives up. What is left until then as the request is written is
	// what the server may be given.
	ClientDeadline time.Time
}

// Remaining is the time that the server may be given for its answer, as the attempt is written now.
func (s AttemptDeadlines) Remaining() time.Duration { return time.Until(s.ClientDeadline) }

// ResultWithoutAnswer is the result of an attempt that brought no whole answer. neverRan says that it is known
// not to have run.
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
	Cell        int                `json:"Cell"` // the failure domain in which it drops repeats of a request
	State       decide.ServerState `json:"Condition"`
	Capacity    float64            `json:"Share"`  // relative to the other servers
	StartedAtMS float64            `json:"BornMS"` // Unix time of its start, in ms; 0 for long ago
}

// BalancerServer is the endpoint as the Balancer knows it, with its start, startedAt, on the Balancer's clock.
func (e *Endpoint) BalancerServer(id decide.ServerID, startedAt time.Duration) decide.Server {
	return decide.Server{
		ID: id, Zone: e.Zone, Cell: e.Cell, State: e.State, Capacity: e.Capacity,
		StartedAt: startedAt,
	}
}

// HashServerID gives a server its id in the Balancer: a hash of its name, so that all nodes keep a key on the
// same servers and planners mean the same ones, and the next free number above 0 where two names collide.
func HashServerID(name string, taken func(decide.ServerID) bool) decide.ServerID {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := decide.ServerID(h.Sum32())
	for id == 0 || taken(id) {
		id++
	}
	return id
}

// Placer chooses the server of each request's first attempt, and is notified of all attempts. Calls come
// one at a time, under the pool's lock: they do not block and do not call back.
type Placer interface {
	// Start says how Place is answered: with a server, or 0 for none.
	Start(answer func(decide.RequestID, decide.ServerID))
	// Place reports whether to wait for the answer, which comes soon in any case. Left is the time until
	// the request's deadline.
	Place(q decide.Request, left time.Duration) (wait bool)
	AttemptSent(id decide.RequestID, attempt int, to decide.ServerID)
	AttemptEnded(id decide.RequestID, attempt int, result decide.Result)
	// RequestClosed says that a request is over: it is settled and no attempt is in flight.
	RequestClosed(id decide.RequestID)
	// Close ends the Placer. The pool makes no call after it.
	Close()
}

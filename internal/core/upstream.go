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
	// AddServer begins to know a server. The pool calls Leave when it has forgotten it.
	AddServer() Server
	// Close gives up all that is at rest. Nothing is sent after it.
	Close()
}

// Server is one server as its upstream knows it.
type Server interface {
	// Send carries one attempt out and tells how it ended; an answer comes with
	// decide.OK only. It returns soon after its context ends, whose cause is
	// ErrTimedOut or ErrCancelled; see Outcome. Calls may run side by side.
	Send(ctx context.Context, addr string, m *Message, on AttemptGate) (decide.Result, *Answer)
	// Invalidate says that the process behind the address ends or has been replaced:
	// what connects to it is not used again.
	Invalidate()
}

// AttemptGate is told of an attempt's steps by the one who sends it.
type AttemptGate interface {
	// Begin says whether the attempt may be written: it is called once, with a connection at
	// hand and nothing written, as much may have ended in the wait for that connection. Where
	// it says no the attempt is moot, or ended as its context says.
	Begin() (AttemptDeadlines, bool)
	// StillValid says whether an attempt that may begin still may. It is called at the last moment before
	// each write, and may be at any time: between Begin and a write a node may be held up for long.
	// Where it says no nothing more is written, and the attempt is as one that did not begin.
	StillValid() bool
	// Wrote is called once the request's last byte is written, if it comes to that, with the
	// time that the server was told to have.
	Wrote(told time.Duration)
}

// AttemptDeadlines is what an attempt that may be written is held to.
type AttemptDeadlines struct {
	// WriteBy is until when its last byte may go out, the zero time for no bound: servers drop
	// repeats no longer.
	WriteBy time.Time
	// ClientDeadline is when its client gives up. What is left until then as the request goes out is
	// what the server may be told.
	ClientDeadline time.Time
}

// Remaining is the time that an attempt may tell its server to have, as it goes out now.
func (s AttemptDeadlines) Remaining() time.Duration { return time.Until(s.ClientDeadline) }

// Outcome is the outcome of an attempt that brought no whole answer. Never says
// that it is known not to have run.
func Outcome(ctx context.Context, never bool) decide.Result {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrCancelled):
		return decide.Cancelled
	case never:
		return decide.ConnectFailed
	case errors.Is(cause, ErrTimedOut):
		return decide.TimedOut
	}
	return decide.ConnectionReset
}

// Endpoint is one server of a list.
type Endpoint struct {
	Name        string             `json:"Name"`
	Addr        string             `json:"Addr"`
	Zone        int                `json:"Zone"`
	Cell        int                `json:"Cell"`
	State       decide.ServerState `json:"Condition"`
	Capacity    float64            `json:"Share"`
	StartedAtMS float64            `json:"BornMS"` // Unix time of its start, in ms; 0 for long ago
}

// Placer is asked where the first attempt of each request should go, and told of
// all attempts. Calls come one at a time, under the pool's lock: they do not block
// and do not call back.
type Placer interface {
	// Start says how Ask is answered: with a server, or 0 for none.
	Start(answer func(decide.RequestID, decide.ServerID))
	// Place says whether to wait for the answer, which comes soon in any case.
	Place(q decide.Request, left time.Duration) (wait bool)
	AttemptSent(id decide.RequestID, attempt int, to decide.ServerID)
	AttemptEnded(id decide.RequestID, attempt int, result decide.Result)
	// RequestClosed says that a request is over: nothing is out and nothing is owed.
	RequestClosed(id decide.RequestID)
	// Close ends the guide. The pool makes no call after it.
	Close()
}

// ServerID names a server to the module: a hash, so that all nodes keep a key on
// the same servers and planners mean the same ones, and the next free number above
// 0 where two names meet.
func ServerID(host string, taken func(decide.ServerID) bool) decide.ServerID {
	h := fnv.New32a()
	h.Write([]byte(host))
	id := decide.ServerID(h.Sum32())
	for id == 0 || taken(id) {
		id++
	}
	return id
}

// Server is the host as the module knows it, with when it started on the module's clock.
func (h *Endpoint) Server(id decide.ServerID, since time.Duration) decide.Server {
	return decide.Server{
		ID: id, Zone: h.Zone, Cell: h.Cell, State: h.State, Capacity: h.Capacity,
		StartedAt: since,
	}
}

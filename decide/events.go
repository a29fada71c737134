package decide

import "time"

// ServerID identifies a server, whatever its incarnation.
type ServerID uint32

// RequestID identifies a request among those that the Balancer knows.
type RequestID uint32

// ServerState is what the endpoint list says of a server.
type ServerState uint8

// States of a server.
const (
	Gone     ServerState = 0 // not listed any more
	Ready    ServerState = 1 // takes requests
	Draining ServerState = 2 // finishes what it has and takes nothing new
)

// Server is one entry of the endpoint list.
type Server struct {
	ID         ServerID
	Zone, Cell int
	State      ServerState
	Capacity   float64       // against a usual server; what is not above 0 counts as 1
	StartedAt  time.Duration // when its process started; 0 for long ago
}

// UpdateKind says how an update relates to the endpoint list known so far.
type UpdateKind uint8

// Kinds of update.
const (
	UpdateDelta  UpdateKind = 0 // from discovery: only the entries that changed
	UpdateFull   UpdateKind = 1 // from discovery: the complete list
	UpdateCached UpdateKind = 2 // the complete list as this node had it earlier
	UpdateFailed UpdateKind = 3 // the poll of discovery failed; there is no list
)

// Request is a client's request.
type Request struct {
	ID    RequestID
	Class int    // an index of Settings.Classes
	Key   uint64 // what it is about, for key affinity; 0 for none
	// WorkHint is the client's estimate of the work, 0 for none; Deadline is when the client gives up.
	WorkHint, Deadline time.Duration
	ClientRetry        bool // the client marked it as a retry of its own
	// Streaming requests are passed on while their body still arrives. They get one attempt, and their
	// objective counts from their last byte, when SetDeadline is called.
	Streaming bool
	// PlannedServer is the server to which a planner sends the first attempt; 0 for none.
	PlannedServer ServerID
}

// Result says how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	OK              Result = 0 // answered
	Failed          Result = 1 // answered with an error; it may have run
	Overloaded      Result = 2 // declined by the server, before it ran
	TimedOut        Result = 3 // not answered in its time; it may have run
	ConnectFailed   Result = 4 // no connection came up, so it did not run
	ConnectionReset Result = 5 // the connection broke after the last byte; it may have run
	Cancelled       Result = 6 // cancelled by this node; it may have run
	Abandoned       Result = 7 // given up before it was written, by no fault of the server
)

// String names a result.
func (r Result) String() string {
	names := [...]string{
		OK: "ok", Failed: "failed", Overloaded: "full", TimedOut: "timed out",
		ConnectFailed: "no connection", ConnectionReset: "reset",
		Cancelled: "cancelled", Abandoned: "abandoned",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// NeverRan reports whether a result proves that the attempt did not run.
func (r Result) NeverRan() bool { return r == Overloaded || r == ConnectFailed || r == Abandoned }

// Outcome is the end of an attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // which attempt of the request, from 0
	Result  Result
	Final   bool // the request has its final answer, by this attempt or otherwise
}

// Effects carries out what a Balancer decides. Its methods must not call the Balancer back.
type Effects interface {
	// Send sends an attempt. The attempts of a request are numbered from 0 in the order of these calls.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Cancel ends an attempt that is in flight. Its outcome is still reported.
	Cancel(id RequestID, attempt int)
	// Reject gives a request its final answer: it did no harm and may be tried again. A retryAfter of 0
	// names no time.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives a request its final answer: it may have run.
	Fail(id RequestID)
	// SetTimer asks for a TimerFired with the token, at a time.
	SetTimer(token uint64, at time.Duration)
	// WatchEndpoints polls discovery and subscribes to its updates.
	WatchEndpoints(on bool)
	// Log writes a line for the operators.
	Log(text string)
}

package decide

import "time"

// ServerID identifies a server across its incarnations.
type ServerID uint32

// RequestID identifies a request among those that the Balancer stores.
type RequestID uint32

// ServerState is the state of a server in the endpoint list.
type ServerState uint8

// States of a server.
const (
	Gone     ServerState = 0 // the server is no longer listed
	Ready    ServerState = 1 // the server accepts requests
	Draining ServerState = 2 // the server finishes its requests and accepts no new ones
)

// Server is one entry of the endpoint list.
type Server struct {
	ID         ServerID
	Zone, Cell int
	State      ServerState
	Capacity   float64       // capacity relative to a usual server, which has 1; 0, negative values and NaN count as 1
	StartedAt  time.Duration // start time of its process; 0 for long ago
}

// UpdateKind is the kind of an update of the endpoint list.
type UpdateKind uint8

// Kinds of update.
const (
	UpdateDelta  UpdateKind = 0 // discovery sent only the entries that changed
	UpdateFull   UpdateKind = 1 // discovery sent the complete list
	UpdateCached UpdateKind = 2 // the complete list, as this node stored it earlier
	UpdateFailed UpdateKind = 3 // polling discovery failed; there is no list
)

// Request is a client's request.
type Request struct {
	ID    RequestID
	Class int    // index into Settings.Classes
	Key   uint64 // identifies the object of the request, for key affinity; 0 for none
	// WorkHint is the client's estimate of the work, 0 for none. Deadline is when the client gives up.
	WorkHint, Deadline time.Duration
	ClientRetry        bool // the client marked the request as its own retry
	// Streaming requests are forwarded while their body is still arriving. They get one attempt, and
	// their latency objective starts when their last byte has been sent, at SetDeadline.
	Streaming bool
	// PlannedServer is the server that the planner chose for the first attempt; 0 for none.
	PlannedServer ServerID
}

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	OK              Result = 0 // the server answered
	Failed          Result = 1 // the server answered with an error; the attempt may have run
	Overloaded      Result = 2 // the server declined the attempt before running it
	TimedOut        Result = 3 // no answer before the attempt's timeout; the attempt may have run
	ConnectFailed   Result = 4 // no connection was established, so the attempt never ran
	ConnectionReset Result = 5 // the connection was lost after the last byte was written; the attempt may have run
	Cancelled       Result = 6 // this node cancelled the attempt, which may have run
	Abandoned       Result = 7 // this node ended the attempt before it was written, through no fault of the server
)

// String returns the name of the result.
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

// NeverRan reports whether the result proves that the server did not run the attempt.
func (r Result) NeverRan() bool { return r == Overloaded || r == ConnectFailed || r == Abandoned }

// Outcome is the end of an attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // index of the attempt within the request, from 0
	Result  Result
	Final   bool // the request has its final answer, from this attempt or otherwise
}

// Effects carries out the decisions of a Balancer. Its methods must not call the Balancer.
type Effects interface {
	// Send sends an attempt. The attempts of a request are numbered from 0 in the order of the Send calls.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Cancel cancels an attempt that is in flight. The caller still reports its outcome.
	Cancel(id RequestID, attempt int)
	// Reject gives a request its final answer: the request did no harm and the client may retry it. A
	// retryAfter of 0 means that the rejection has no Retry-After.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives a request its final answer: the request may have run.
	Fail(id RequestID)
	// SetTimer requests a TimerFired event with the token at the given time.
	SetTimer(token uint64, at time.Duration)
	// WatchEndpoints polls discovery and subscribes to its updates.
	WatchEndpoints(on bool)
	// Log writes a line to the operators' log.
	Log(text string)
}

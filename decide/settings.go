// Package decide holds every decision jasperpin makes: which server gets an
// attempt, when another one is due, what is refused, and which servers are
// ejected. It is a pure state machine: the caller feeds it events with the
// time they happened, and its decisions leave through Effects. It starts no
// goroutine, reads no clock and does no input or output.
package decide

import "time"

type (
	// ServerID names a server, RequestID a request; they say nothing else.
	ServerID  uint32
	RequestID uint32
	// Idempotency says what repeating a request does, Scope which servers drop
	// repeats, Condition what the list says of a server, ListKind how a list
	// event relates to the list held, Result how an attempt ended.
	Idempotency uint8
	DedupScope  uint8
	ServerState uint8
	UpdateKind  uint8
	Result      uint8
)

// Idempotent classes may be repeated at will, repeats of Guarded ones are dropped by
// a group of servers for a while, SingleShot ones must never run twice.
const (
	Idempotent, IdempotentWithKey, NotIdempotent Idempotency = 0, 1, 2
	DedupAll, DedupZone, DedupCell               DedupScope  = 0, 1, 2
	Gone, Ready, Draining                        ServerState = 0, 1, 2

	UpdateDelta, UpdateFull, UpdateCached, UpdateFailed UpdateKind = 0, 1, 2, 3

	OK, Failed, Overloaded, TimedOut                     Result = 0, 1, 2, 3
	ConnectFailed, ConnectionReset, Cancelled, Abandoned Result = 4, 5, 6, 7
)

// String names a result.
func (r Result) String() string {
	names := [...]string{
		OK: "ok", Failed: "failed", Overloaded: "full", TimedOut: "timed out",
		ConnectFailed: "no connection", ConnectionReset: "reset", Cancelled: "cancelled", Abandoned: "moot",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// NeverRan reports whether a result proves that the attempt did not run.
func (r Result) NeverRan() bool { return r == Overloaded || r == ConnectFailed || r == Abandoned }

// Class describes one class of requests. An answer within Aim has its full
// worth; Aim grows by AimFactor times the request's own work.
type Class struct {
	Idempotency                        Idempotency
	DedupScope                         DedupScope
	DedupWindow                        time.Duration // how long a guarded class's repeats are dropped
	LatencyObjective, Deadline         time.Duration // Deadline is a client's wait over all its tries
	ObjectiveWorkFactor                float64
	PriorityWeight, LatePriorityWeight float64
}

// Settings is what a node is told when it starts.
type Settings struct {
	NodeIndex, NodeCount, Zone, ZoneCount int
	Classes                               []Class

	PollDiscovery             bool // discovery answers only when asked, within AskWithin
	PollPeriod                time.Duration
	MaxAttempts               int
	Hedging, CancelAttempts   bool
	WeightByWork, KeyAffinity bool

	OverloadMultiple float64       // of its capacity, what pushes a cold server over
	SlowStartShare   float64       // of its capacity, the least a server starts with
	SlowStartWindow  time.Duration // the longest it takes to its full capacity
	WithheldShare    float64       // of this node's part of a cold server: 1 until the fleet counts it

	CrossZoneCost, HandshakeCost float64       // prices of crossing zones and of connecting, a request
	OpenConnectionCost           float64       // of a mean of 100 connections open to each server
	IdleTimeout                  time.Duration // after which an idle connection closes
	MaxRetryAfter                time.Duration // the longest wait told to refused clients
}

// Server is one entry of the server list. Since is its last start; 0 is the distant past.
type Server struct {
	ID         ServerID
	Zone, Cell int
	State      ServerState
	Capacity   float64
	StartedAt  time.Duration
}

// Request is a client's request. Hint is its estimated work, 0 if none; Repeat
// says that the client tried before; Due is when the client gives up. One that Streams
// passes through: it has one attempt, and its clocks start with its last byte (Written).
type Request struct {
	ID                 RequestID
	Class              int
	Key                uint64
	WorkHint, Deadline time.Duration
	ClientRetry        bool
	Streaming          bool
	PlannedServer      ServerID // where another who sees more sends its first attempt; 0 for none
}

// Outcome is the end of an attempt.
type Outcome struct {
	ID      RequestID
	Attempt int
	Result  Result
	Final   bool
}

// Effects carries decisions out. Methods must not call back.
type Effects interface {
	Send(id RequestID, server ServerID, timeout time.Duration)
	Cancel(id RequestID, attempt int)
	Reject(id RequestID, retryAfter time.Duration) // 0 tells no time
	Fail(id RequestID)
	SetTimer(token uint64, at time.Duration)
	WatchEndpoints(on bool)
	Log(text string)
}

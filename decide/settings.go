package decide

import "time"

// Idempotency says what repeating a request does.
type Idempotency uint8

// Kinds of idempotency.
const (
	// Idempotent requests may be repeated at will.
	Idempotent Idempotency = 0
	// IdempotentWithKey requests may be repeated while the servers in their DedupScope still drop
	// repeats of the first attempt.
	IdempotentWithKey Idempotency = 1
	// NotIdempotent requests must never run twice.
	NotIdempotent Idempotency = 2
)

// DedupScope says which servers drop repeats of an IdempotentWithKey request.
type DedupScope uint8

// Scopes of deduplication, from the widest to the narrowest.
const (
	DedupAll  DedupScope = 0 // every server
	DedupZone DedupScope = 1 // the servers of the zone that got the first attempt
	DedupCell DedupScope = 2 // the servers of the zone and cell that got the first attempt
)

// Class describes one class of requests.
type Class struct {
	Idempotency Idempotency
	DedupScope  DedupScope    // used where Idempotency is IdempotentWithKey
	DedupWindow time.Duration // how long repeats of an IdempotentWithKey request are dropped

	// LatencyObjective is within what time an answer has its full value; 0 for no objective.
	LatencyObjective time.Duration
	// Deadline is how long a client waits in all, including its own retries.
	Deadline time.Duration
	// ObjectiveWorkFactor times the request's work hint is added to its objective.
	ObjectiveWorkFactor float64

	PriorityWeight     float64 // the value of an answer in time
	LatePriorityWeight float64 // the value of an answer after the objective; 0 for none
}

// Settings configure a Balancer. They do not change while it runs, but for what SetFleetPosition sets.
type Settings struct {
	NodeIndex int // which node of the fleet this is, from 0
	NodeCount int // nodes in the fleet
	Zone      int // this node's zone
	ZoneCount int // zones of the fleet
	Classes   []Class

	// PollDiscovery is set where discovery answers only when polled. Where it is not set, updates are
	// pushed and never late.
	PollDiscovery bool
	// PollPeriod is within what time discovery must be polled again.
	PollPeriod time.Duration

	MaxAttempts    int  // attempts for each request, the first included
	Hedging        bool // an attempt may be sent while another one is in flight
	CancelAttempts bool // attempts in flight are cancelled when their request has its answer

	// WeightByWork is set where a class's PriorityWeight is for each unit of work, and not for each
	// request.
	WeightByWork bool
	// KeyAffinity is set where servers cache by key, so that a key should stay on few servers.
	KeyAffinity bool

	OverloadMultiple float64       // load, as a multiple of its present capacity, at which a server in slow start fails
	SlowStartShare   float64       // share of its capacity that a server has when it starts
	SlowStartWindow  time.Duration // the longest it takes a server to reach its capacity; 0 for no slow start
	// WithheldShare is the share of this node's part of the slow-start budgets that it leaves unused: 1
	// until the fleet counts this node.
	WithheldShare float64

	CrossZoneCost      float64       // cost of leaving the zone, in requests
	HandshakeCost      float64       // cost of a new connection, in requests
	OpenConnectionCost float64       // cost of holding 100 connections open to each server, in requests
	IdleTimeout        time.Duration // after which an idle connection closes
	MaxRetryAfter      time.Duration // the longest Retry-After given to rejected clients; 0 for none
}

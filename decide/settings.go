package decide

import "time"

// Idempotency is the effect of executing a request more than once.
type Idempotency uint8

// Kinds of idempotency.
const (
	// Idempotent requests may be repeated without limit.
	Idempotent Idempotency = 0
	// IdempotentWithKey requests may be repeated while the servers in their DedupScope still deduplicate
	// repeats of the first attempt.
	IdempotentWithKey Idempotency = 1
	// NotIdempotent requests must never run twice.
	NotIdempotent Idempotency = 2
)

// DedupScope is the set of servers that deduplicate repeats of an IdempotentWithKey request.
type DedupScope uint8

// Scopes of deduplication, from the widest to the narrowest.
const (
	DedupAll  DedupScope = 0 // every server
	DedupZone DedupScope = 1 // the servers in the zone of the first attempt
	DedupCell DedupScope = 2 // the servers in the zone and cell of the first attempt
)

// Class describes one class of requests.
type Class struct {
	Idempotency Idempotency
	DedupScope  DedupScope    // used only if Idempotency is IdempotentWithKey
	DedupWindow time.Duration // how long servers deduplicate repeats of an IdempotentWithKey request

	// LatencyObjective is the time within which an answer has its full value; 0 means no objective.
	LatencyObjective time.Duration
	// Deadline is how long a client waits in total, including its own retries.
	Deadline time.Duration
	// ObjectiveWorkFactor times the request's work hint is added to the request's latency objective.
	ObjectiveWorkFactor float64

	PriorityWeight     float64 // the value of an answer within the objective
	LatePriorityWeight float64 // the value of an answer after the objective; 0 for none
}

// Settings configures a Balancer. Only SetFleetPosition changes it after New.
type Settings struct {
	NodeIndex int // index of this node in the fleet, from 0
	NodeCount int // number of nodes in the fleet
	Zone      int // this node's zone
	ZoneCount int // number of zones in the fleet
	Classes   []Class

	// PollDiscovery is true if discovery answers only when polled. Otherwise updates are pushed and never late.
	PollDiscovery bool
	// PollPeriod is the time within which discovery must be polled again.
	PollPeriod time.Duration

	MaxAttempts    int  // attempts per request, including the first
	Hedging        bool // a second attempt may be sent while the first is in flight
	CancelAttempts bool // attempts in flight are cancelled once their request has its final answer

	// WeightByWork is true if a class's PriorityWeight is the value of one unit of work rather than of one request.
	WeightByWork bool
	// KeyAffinity is true if servers cache by key, so that the requests of a key should go to few servers.
	KeyAffinity bool

	OverloadMultiple float64       // load, as a multiple of its present capacity, at which a server in slow start fails
	SlowStartShare   float64       // share of its capacity that a server has at its start
	SlowStartWindow  time.Duration // maximum time from a server's start to full capacity; 0 for no slow start
	// UnusedQuotaShare is the share of this node's part of the slow-start budgets that the node leaves
	// unused. It is 1 until the other nodes count this node as a member.
	UnusedQuotaShare float64

	CrossZoneCost      float64       // cost of sending a request to another zone, in requests
	HandshakeCost      float64       // cost of a new connection, in requests
	OpenConnectionCost float64       // cost of keeping 100 connections open to each server, in requests
	IdleTimeout        time.Duration // time after which an idle connection is closed
	MaxRetryAfter      time.Duration // maximum Retry-After of a rejection; 0 for no Retry-After
}

// Package fleetsim simulates a fleet of nodes in virtual time and in one goroutine: clients, nodes, planners
// and servers with queues, all driven by one seed. The decisions are those of package decide; everything else
// is an event in a queue.
package fleetsim

import (
	"time"

	"jasperpin/decide"
)

// Settings are the settings of one run.
type Settings struct {
	Nodes, Servers int
	// Load is the offered load, as a share of the total capacity of the servers.
	Load     float64
	Duration time.Duration
	Seed     uint64
	// Planners is the number of planners that decide for all nodes; 0 if each node decides for itself.
	// With ZonePlanners each zone has a planner of its own.
	Planners     int
	ZonePlanners bool
	// PlannersPerZone is the number of planners in each zone, with the nodes as their forwarders (see package
	// planner); 0 for no planners.
	PlannersPerZone int
	Faults          []Fault
	// RestartShare is the share of servers that restart, and so are cold, every RestartEvery; 0 for no
	// restarts.
	RestartShare float64
	// SmallZoneShare is the share of its servers that the first zone retains; the other zones get the rest. 0 means
	// that the first zone retains all.
	SmallZoneShare float64
	RestartEvery   time.Duration
	// HotKeyShare is the share of all requests that one key gets in every other second.
	HotKeyShare float64
	// Outage is an outage of the first zone. The zero value is no outage.
	Outage ZoneOutage
	// Zones is the number of zones; 0 means 3. Planners work with 3 zones only.
	Zones int
	Scenario
}

// ZoneOutage makes the servers of a zone unreachable from At on, for For. They return cold, and the endpoint
// list has their new start times later. With WithNodes the nodes of the zone are killed at the start of the outage
// and restart at its end, with the endpoint list that they had before.
type ZoneOutage struct {
	At, For   time.Duration
	WithNodes bool
}

// Fault is a fault of a planner, or of all planners.
type Fault struct {
	Planner int // index of a planner, or All
	Kind    FaultKind
	At, For time.Duration
}

// All stands for all planners.
const All = -1

// FaultKind is a kind of fault of a planner.
type FaultKind uint8

// Killed ends a planner, which restarts without state. Paused stops a planner, which then continues with its
// old state and all messages that it was sent meanwhile. Slow delays each message by slowPlannerDelay.
const (
	Killed FaultKind = iota
	Paused
	Slow
	// Partitioned is a network partition between a planner and every second forwarder.
	Partitioned
)

// slowPlannerDelay is the delay of each message to a planner with the fault Slow.
const slowPlannerDelay = 50 * time.Millisecond

// The simulated deployment, as the operators describe theirs: three zones, three kinds of servers, four
// classes of requests, keys of different popularity.
const (
	zoneCount        = 3
	sameZoneDelay    = 150 * time.Microsecond
	otherZoneDelay   = 600 * time.Microsecond
	queuePerCore     = 8
	keyCount         = 1000
	keyCacheTime     = 6 * time.Second // how long a server works faster on a key that it has served
	keyCacheSaving   = 0.45
	slowStartShare   = 0.13
	overloadMultiple = 2.5
	overloadWindow   = time.Second
	slowStartWindow  = 23 * time.Second
	listDelay        = time.Second // time from the restart of a server until the endpoint list has its new start time
	idleTimeout      = 15 * time.Second
	dialTimeout      = 250 * time.Millisecond // time after which a connection attempt of a node fails
	watchDelay       = 100 * time.Millisecond // latency of discovery's answer to the first call of a watch
	retries          = 1
	retryDelay       = 100 * time.Millisecond
)

// requestClass is a class of requests, its share of all requests and their work.
type requestClass struct {
	decide.Class
	share float64
	work  time.Duration // mean work of a request, at the reference speed
}

var classes = []requestClass{
	{decide.Class{Idempotency: decide.Idempotent, LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1}, 0.45, 76 * time.Millisecond},
	{decide.Class{Idempotency: decide.Idempotent, LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}, 0.27, 101 * time.Millisecond},
	{decide.Class{Idempotency: decide.IdempotentWithKey, DedupWindow: 12 * time.Second, LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 5}, 0.18, 170 * time.Millisecond},
	{decide.Class{Idempotency: decide.NotIdempotent, LatencyObjective: 2500 * time.Millisecond, Deadline: 6 * time.Second, PriorityWeight: 3}, 0.10, 200 * time.Millisecond},
}

// serverKind is a kind of servers and its share of all servers.
type serverKind struct {
	share      float64
	cores      int
	slow, fast float64 // range of the speed of a core; 1 is the reference speed
}

var serverKinds = []serverKind{{0.36, 2, 1.1, 1.5}, {0.31, 3, 0.85, 1.1}, {0.33, 2, 0.59, 0.8}}

// Package fleetsim simulates a fleet of nodes in virtual time and in one goroutine: clients,
// nodes, planners and servers with queues, all driven by one seed. The decisions
// are those of the decide module; everything else is an event in a queue.
package fleetsim

import (
	"time"

	"jasperpin/decide"
)

// Settings are one run.
type Settings struct {
	Nodes, Servers int
	// Load is the work offered, as a part of what the servers can do.
	Load float64
	For  time.Duration
	Seed uint64
	// Planners is how many planners decide for all nodes; 0 for one level, where
	// each node decides for itself. With SitePlanners each site has one of its own.
	Planners     int
	SitePlanners bool
	// Forward is how many planners each site has, whose forwarders the nodes are, as
	// package plan has both; 0 for none.
	Forward int
	Faults  []Fault
	// Trouble has servers restart, and so be cold: Restart of them at a time,
	// each RestartEvery.
	Restart float64
	// SmallSite is the part of its servers that the first site has; the others have
	// the rest. 0 stands for all of them.
	SmallSite    float64
	RestartEvery time.Duration
	// Hot is the part of all requests that one key has in every other second.
	Hot float64
	// Lost is a loss of the first site.
	Lost Loss
	// Sites is how many there are, 3 where it is 0. Planners know of three.
	Sites int
	FleetDay
}

// Loss has a site's servers fall silent from At on, For so long, and come back cold, which
// the list tells later. With Nodes those of the site die with it and begin anew as it comes
// back, with the list that they had.
type Loss struct {
	At, For time.Duration
	Nodes   bool
}

// Fault is something that befalls a planner, or all of them.
type Fault struct {
	Planner int // or All
	Kind    FaultKind
	At, For time.Duration
}

// All stands for every planner.
const All = -1

// FaultKind is what befalls a planner.
type FaultKind uint8

// A planner is killed and comes back knowing nothing; is paused and comes back with
// old beliefs and all that was said to it meanwhile; or takes slowBy for every word.
const (
	Killed FaultKind = iota
	Paused
	Slow
	// Cut has every other forwarder lose its connection, and find no way for a time.
	Cut
)

const slowPlannerDelay = 50 * time.Millisecond

// The world, after the operators' brief: three sites, three kinds of servers, four
// classes of requests, keys of unlike popularity.
const (
	zoneCount        = 3
	sameZoneDelay    = 150 * time.Microsecond
	otherZoneDelay   = 600 * time.Microsecond
	queuePerCore     = 8 // a core
	keyCount         = 1000
	keyCacheTime     = 6 * time.Second // how long a server is quicker with a key
	keyCacheSaving   = 0.45
	slowStartShare   = 0.13
	overloadMultiple = 2.5
	overloadWindow   = time.Second
	slowStartWindow  = 23 * time.Second
	listDelay        = time.Second // how late the list tells of a restart
	idleTimeout      = 15 * time.Second
	dialTimeout      = 250 * time.Millisecond // how long a node waits for a connection
	watchDelay       = 100 * time.Millisecond // discovery's answer to the first call of a watch
	retries          = 1
	retryDelay       = 100 * time.Millisecond
)

type requestClass struct {
	decide.Class
	share float64
	work  time.Duration // mean, on the yardstick
}

var classes = []requestClass{
	{decide.Class{Idempotency: decide.Idempotent, LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1}, 0.45, 76 * time.Millisecond},
	{decide.Class{Idempotency: decide.Idempotent, LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}, 0.27, 101 * time.Millisecond},
	{decide.Class{Idempotency: decide.IdempotentWithKey, DedupWindow: 12 * time.Second, LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 5}, 0.18, 170 * time.Millisecond},
	{decide.Class{Idempotency: decide.NotIdempotent, LatencyObjective: 2500 * time.Millisecond, Deadline: 6 * time.Second, PriorityWeight: 3}, 0.10, 200 * time.Millisecond},
}

type serverKind struct {
	share      float64
	cores      int
	slow, fast float64 // speed of a core, from and to
}

var serverKinds = []serverKind{{0.36, 2, 1.1, 1.5}, {0.31, 3, 0.85, 1.1}, {0.33, 2, 0.59, 0.8}}

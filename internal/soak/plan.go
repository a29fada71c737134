// Package soak runs real processes of the node under load while overlapping faults, all drawn from one seed, are
// injected, and checks the observations of clients and servers against the guarantees of the node.
//
// NewPlan draws a plan of faults, Run executes it and returns a Record, and Check is the oracle: it uses the Record
// only and shares no code with the node.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind uint8

// The faults of nodes, discovery, servers, links and clients. run.inject depends on their order.
const (
	NodeTerminated       Kind = iota // SIGTERM, and a new process once it has ended
	NodeKilled                       // SIGKILL, and a new process at once
	NodePaused                       // SIGSTOP and SIGCONT
	NodeReloads                      // SIGHUP with a valid file
	NodeReloadsInvalid               // SIGHUP with an invalid file
	NodeReloadsTwice                 // SIGHUP twice, with a valid file
	NodeOutOfDescriptors             // the process cannot open further descriptors
	DiscoveryDown                    // each call is answered with 503
	DiscoveryOverloaded              // calls take long, and some fail
	DiscoveryStale                   // an older list is served for a moment
	ServerDrains
	ServerHangs
	ServerErrs
	ServerResets
	ServerCorrupts
	ServerLate // answers are sent after the deadline of the request
	ServerDies // the connections of the server are reset; later another process listens at its address
	LinkResets // connections are reset
	LinkSlow
	LinkBlackHole // no byte is forwarded
	ClientsDisconnect
	ClientsStall
	ClientsFlood
	ClientsIdle    // idle connections use up the descriptors of the nodes
	RollingRestart // nodes are restarted one by one, with further SIGHUP and SIGTERM meanwhile
	numKinds       // of the faults that drawFault draws

	// The following faults are drawn apart from the others.

	NodeSignals  Kind = iota - 1 // SIGHUP several times, then SIGTERM with further signals, and SIGKILL as early as the platform sends it
	ClientsCrowd                 // hundreds of clients of all kinds of emulator.CrowdKind
	allKinds
)

var kindNames = [allKinds]string{
	"node-ends", "node-dies", "node-pauses", "node-reloads", "node-reloads-bad", "node-reloads-twice", "node-starves",
	"discovery-down", "discovery-crowds", "discovery-old", "server-drains", "server-hangs", "server-errs", "server-resets",
	"server-spoils", "server-late", "server-dies", "link-cut", "link-slow", "link-silent", "clients-leave", "clients-stall", "clients-flood", "clients-crowd", "nodes-end-in-turn",
	"node-signals", "clients-crowd-of-all-kinds",
}

func (k Kind) String() string {
	if k < allKinds {
		return kindNames[k]
	}
	return "unknown"
}

// Fault is one fault of a plan.
type Fault struct {
	Kind     Kind
	At       time.Duration // time of the fault since the start of the run
	Duration time.Duration
	Target   int // index of a node or a server; unused by other faults
}

func (f Fault) String() string {
	return fmt.Sprintf("%v %v at %v for %v", f.Kind, f.Target, f.At.Round(time.Millisecond), f.Duration.Round(time.Millisecond))
}

// Idempotency says whether requests of a class may be executed more than once.
type Idempotency string

// The values, as spelled in the platform's settings.
const (
	Idempotent        Idempotency = "free"
	IdempotentWithKey Idempotency = "guarded"
	NotIdempotent     Idempotency = "single_shot"
)

// Class is a class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupWindow time.Duration // how long servers drop duplicates of a key
	Deadline    time.Duration
	Work        time.Duration
}

// Plan is everything that happens in one run. Equal plans inject equal faults, but the scheduling of processes
// differs from run to run.
type Plan struct {
	Seed             uint64
	Nodes            int
	Servers          int
	Duration         time.Duration
	Rate             float64 // requests a second, over all clients
	Classes          []Class
	DrainGrace       time.Duration // time within which a node must stop sending to a draining server
	SlowStart        time.Duration // how long a restarted server runs at half speed; 0 for no slow start
	ClockSkew        time.Duration // offset of the servers' wall clocks from the nodes' clocks
	ImmediateRetries bool          // drawn, but not used yet
	ListedServers    int           // entries in the endpoint list; several may refer to one server
	MemoryMB         int           // memory of each node
	Descriptors      int           // descriptor limit of each node
	AllForms         bool          // servers answer in all framings, paces and sizes
	Faults           []Fault
}

// Bounds of plans, small enough for several runs at once on one machine.
const (
	minNodes, maxNodes     = 2, 4
	minServers, maxServers = 3, 7
	minRate, maxRate       = 40, 140
	minFaults, maxFaults   = 4, 9
	maxPause               = 1500 * time.Millisecond
	quietTail              = 2 * time.Second // time at the end of a run without new faults
	maxListedServers       = 3200
	longListOdds           = 4 // one plan in longListOdds lists thousands of servers
	crowdOdds              = 3 // one plan in crowdOdds has a crowd
	signalOdds             = 2 // one plan in signalOdds has a series of signals
	formOdds               = 2 // one plan in formOdds has answers of all forms
)

// The least and the most resources of a node that the platform names.
var (
	memoryMBs        = []int{32, 64, 192}
	descriptorLimits = []int{256, 1024}
)

// The random streams of a plan: that of the faults, and that of what was added later, so that recorded seeds keep their
// faults.
const (
	faultStream    = 0x50a1
	resourceStream = 0x50a2
)

// NewPlan draws a plan for a run of the given length. Equal seeds and lengths yield equal plans. A change to the
// order of the draws would change the plans of recorded seeds.
func NewPlan(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, faultStream))
	plan := Plan{
		Seed: seed, Duration: length,
		Nodes:            minNodes + random.IntN(maxNodes-minNodes+1),
		Servers:          minServers + random.IntN(maxServers-minServers+1),
		Rate:             minRate + random.Float64()*(maxRate-minRate),
		DrainGrace:       between(random, 300*time.Millisecond, 2*time.Second),
		ClockSkew:        []time.Duration{0, 0, time.Hour, -time.Hour, 3 * time.Second}[random.IntN(5)],
		ImmediateRetries: random.IntN(3) == 0,
	}
	if random.IntN(2) == 0 {
		plan.SlowStart = between(random, 2*time.Second, 6*time.Second)
	}
	shortDeadlines := random.IntN(2) == 0
	for _, idempotency := range []Idempotency{Idempotent, IdempotentWithKey, NotIdempotent} {
		deadline := between(random, 800*time.Millisecond, 3*time.Second)
		if shortDeadlines {
			deadline = between(random, 250*time.Millisecond, 700*time.Millisecond)
		}
		window := between(random, deadline, 3*deadline)
		if random.IntN(3) == 0 {
			window = between(random, deadline/3, deadline) // the window is shorter than the deadline
		}
		work := between(random, 2*time.Millisecond, 30*time.Millisecond)
		plan.Classes = append(plan.Classes, Class{Name: strings.ReplaceAll(string(idempotency), "_", "-"), Idempotency: idempotency, DedupWindow: window, Deadline: deadline, Work: work})
	}
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		plan.Faults = append(plan.Faults, plan.drawFault(random))
	}
	if plan.ListedServers = plan.Servers; random.IntN(longListOdds) == 0 {
		plan.ListedServers = maxListedServers/2 + random.IntN(maxListedServers/2)
	}
	plan.MemoryMB, plan.Descriptors = 64, 256
	slices.SortFunc(plan.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// NewDeployedPlan draws a plan for the program as it is deployed: that of NewPlan, with resources from both ends, answers
// of all forms, a crowd and a series of signals. The race detector makes a crowd too slow.
func NewDeployedPlan(seed uint64, length time.Duration) Plan {
	plan := NewPlan(seed, length)
	plan.drawResources(rand.New(rand.NewPCG(seed, resourceStream)))
	slices.SortFunc(plan.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// drawResources draws the resources of the nodes, the forms of answers, a crowd and a series of signals.
func (p *Plan) drawResources(random *rand.Rand) {
	p.MemoryMB = memoryMBs[random.IntN(len(memoryMBs))]
	p.Descriptors = descriptorLimits[random.IntN(len(descriptorLimits))]
	p.AllForms = random.IntN(formOdds) == 0
	latest := max(time.Second, p.Duration-quietTail)
	if random.IntN(crowdOdds) == 0 {
		p.Faults = append(p.Faults, Fault{Kind: ClientsCrowd, At: between(random, 500*time.Millisecond, latest), Duration: between(random, time.Second, p.Duration/2)})
	}
	if random.IntN(signalOdds) == 0 {
		p.Faults = append(p.Faults, Fault{Kind: NodeSignals, At: between(random, 500*time.Millisecond, latest), Duration: between(random, 50*time.Millisecond, time.Second), Target: random.IntN(p.Nodes)})
	}
}

// drawFault draws one fault. Each lasts for at most a third of the run, so that two or three overlap.
func (p *Plan) drawFault(random *rand.Rand) Fault {
	fault := Fault{Kind: Kind(random.IntN(int(numKinds)))}
	fault.At = between(random, 500*time.Millisecond, max(time.Second, p.Duration-quietTail))
	fault.Duration = between(random, 50*time.Millisecond, p.Duration/3)
	switch {
	case fault.Kind == NodePaused:
		fault.Duration = between(random, 50*time.Millisecond, maxPause)
		fault.Target = random.IntN(p.Nodes)
	case fault.Kind <= NodeOutOfDescriptors:
		fault.Target = random.IntN(p.Nodes)
	case fault.Kind >= ServerDrains && fault.Kind <= LinkBlackHole:
		fault.Target = random.IntN(p.Servers)
	}
	return fault
}

// maxDeadline returns the longest deadline of all classes.
func (p *Plan) maxDeadline() (longest time.Duration) {
	for _, c := range p.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Without returns the plan without its i-th fault.
func (p Plan) Without(i int) Plan {
	p.Faults = slices.Delete(slices.Clone(p.Faults), i, i+1)
	return p
}

// Drop returns the plan without the faults at these indices.
func (p Plan) Drop(indices []int) Plan {
	kept := make([]Fault, 0, len(p.Faults))
	for i, fault := range p.Faults {
		if !slices.Contains(indices, i) {
			kept = append(kept, fault)
		}
	}
	p.Faults = kept
	return p
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(max(high-low, 1))))
}

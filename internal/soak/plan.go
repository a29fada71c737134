// Package soak runs real processes of the node under load while overlapping faults, all drawn from one
// seed, are injected, and checks what clients and servers saw against what the node promises.
//
// NewPlan draws what happens, Run carries it out and returns a Record, and Check is the oracle: it goes by
// the Record alone and shares no code with the node.
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

// The faults of nodes, discovery, servers, links and clients. run.inject goes by their order.
const (
	NodeTerminated       Kind = iota // SIGTERM, and a new process once it has ended
	NodeKilled                       // SIGKILL, and a new process at once
	NodePaused                       // SIGSTOP and SIGCONT
	NodeReloads                      // SIGHUP with a good file
	NodeReloadsInvalid               // SIGHUP with a broken one
	NodeReloadsTwice                 // SIGHUP twice, with a good file
	NodeOutOfDescriptors             // the process may open no further descriptor
	DiscoveryDown                    // no call is answered
	DiscoveryOverloaded              // each call takes long
	DiscoveryStale                   // an older list is served for a moment
	ServerDrains
	ServerHangs
	ServerErrs
	ServerResets
	ServerCorrupts
	ServerLate // answers come after the deadline in the request
	ServerDies // its connections are reset; later another process has its address
	LinkCut    // connections are reset
	LinkSlow
	LinkBlackHole // no byte passes
	ClientsDisconnect
	ClientsStall
	ClientsFlood
	ClientsIdle    // connections that send nothing use up the descriptors
	RollingRestart // nodes are restarted one by one, with further SIGHUP and SIGTERM meanwhile
	numKinds
)

var kindNames = [numKinds]string{
	"node-ends", "node-dies", "node-pauses", "node-reloads", "node-reloads-bad", "node-reloads-twice", "node-starves",
	"discovery-down", "discovery-crowds", "discovery-old", "server-drains", "server-hangs", "server-errs", "server-resets",
	"server-spoils", "server-late", "server-dies", "link-cut", "link-slow", "link-silent", "clients-leave", "clients-stall", "clients-flood", "clients-crowd", "nodes-end-in-turn",
}

func (k Kind) String() string {
	if k < numKinds {
		return kindNames[k]
	}
	return "unknown"
}

// Fault is one fault of a plan: what, when, for how long, and to whom.
type Fault struct {
	Kind     Kind
	At       time.Duration
	Duration time.Duration
	Target   int // index of a node or a server; unused by other faults
}

func (t Fault) String() string {
	return fmt.Sprintf("%v %v at %v for %v", t.Kind, t.Target, t.At.Round(time.Millisecond), t.Duration.Round(time.Millisecond))
}

// Idempotency says whether requests of a class may be executed more than once.
type Idempotency string

// The values, as the platform's settings spell them.
const (
	Idempotent        Idempotency = "free"
	IdempotentWithKey Idempotency = "guarded"
	NotIdempotent     Idempotency = "single_shot"
)

// Class is a class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupWindow time.Duration // for how long servers drop duplicates of a key
	Deadline    time.Duration
	Work        time.Duration
}

// Plan is all that happens in one run. Equal plans inject equal faults; the scheduling of processes differs.
type Plan struct {
	Seed             uint64
	Nodes            int
	Servers          int
	Duration         time.Duration
	Rate             float64 // requests a second, over all clients
	Classes          []Class
	DrainGrace       time.Duration // within which a node stops sending to a draining server
	SlowStart        time.Duration // how long a restarted server works at half speed; 0 for never
	ClockSkew        time.Duration // of the servers' wall clocks, relative to the nodes'
	ImmediateRetries bool          // drawn and not used yet
	ListedServers    int           // entries in discovery; several may name one server
	Faults           []Fault
}

// Bounds of plans, small enough that several run at once on one machine.
const (
	minNodes, maxNodes     = 2, 4
	minServers, maxServers = 3, 7
	minRate, maxRate       = 40, 140
	minFaults, maxFaults   = 4, 9
	maxPause               = 1500 * time.Millisecond
	quietTail              = 2 * time.Second // at the end, without a new fault
	maxListedServers       = 3200
	longListOdds           = 4 // one plan in so many lists thousands of servers
)

// NewPlan draws a plan. Equal seeds and lengths give equal plans, and recorded seeds depend on the order of
// the draws.
func NewPlan(seed uint64, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x50a1))
	p := Plan{
		Seed: seed, Duration: length,
		Nodes:            minNodes + r.IntN(maxNodes-minNodes+1),
		Servers:          minServers + r.IntN(maxServers-minServers+1),
		Rate:             minRate + r.Float64()*(maxRate-minRate),
		DrainGrace:       between(r, 300*time.Millisecond, 2*time.Second),
		ClockSkew:        []time.Duration{0, 0, time.Hour, -time.Hour, 3 * time.Second}[r.IntN(5)],
		ImmediateRetries: r.IntN(3) == 0,
	}
	if r.IntN(2) == 0 {
		p.SlowStart = between(r, 2*time.Second, 6*time.Second)
	}
	short := r.IntN(2) == 0
	for _, effect := range []Idempotency{Idempotent, IdempotentWithKey, NotIdempotent} {
		deadline := between(r, 800*time.Millisecond, 3*time.Second)
		if short {
			deadline = between(r, 250*time.Millisecond, 700*time.Millisecond)
		}
		window := between(r, deadline, 3*deadline)
		if r.IntN(3) == 0 {
			window = between(r, deadline/3, deadline) // shorter than the deadline
		}
		work := between(r, 2*time.Millisecond, 30*time.Millisecond)
		p.Classes = append(p.Classes, Class{Name: strings.ReplaceAll(string(effect), "_", "-"), Idempotency: effect, DedupWindow: window, Deadline: deadline, Work: work})
	}
	for range minFaults + r.IntN(maxFaults-minFaults+1) {
		p.Faults = append(p.Faults, p.drawFault(r))
	}
	if p.ListedServers = p.Servers; r.IntN(longListOdds) == 0 {
		p.ListedServers = maxListedServers/2 + r.IntN(maxListedServers/2)
	}
	slices.SortFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// drawFault draws one fault. Each lasts for up to a third of the run, so
// that two or three overlap.
func (p *Plan) drawFault(r *rand.Rand) Fault {
	t := Fault{Kind: Kind(r.IntN(int(numKinds)))}
	t.At = between(r, 500*time.Millisecond, max(time.Second, p.Duration-quietTail))
	t.Duration = between(r, 50*time.Millisecond, p.Duration/3)
	switch {
	case t.Kind == NodePaused:
		t.Duration = between(r, 50*time.Millisecond, maxPause)
		t.Target = r.IntN(p.Nodes)
	case t.Kind <= NodeOutOfDescriptors:
		t.Target = r.IntN(p.Nodes)
	case t.Kind >= ServerDrains && t.Kind <= LinkBlackHole:
		t.Target = r.IntN(p.Servers)
	}
	return t
}

// maxDeadline is the longest that any client waits.
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
func (p Plan) Drop(numbers []int) Plan {
	kept := make([]Fault, 0, len(p.Faults))
	for i, t := range p.Faults {
		if !slices.Contains(numbers, i) {
			kept = append(kept, t)
		}
	}
	p.Faults = kept
	return p
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(max(most-least, 1))))
}

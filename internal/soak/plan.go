// Package soak plays real processes of the program through faults that overlap, all of them drawn
// from one seed, and holds what clients and servers saw against what the node promises. Its oracle
// knows nothing of the program's code: it goes by the records alone.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of trouble.
type Kind uint8

// What happens to nodes, discovery, servers, links and clients.
const (
	NodeEnds        Kind = iota // SIGTERM, and a new process at once
	NodeDies                    // SIGKILL, and a new process at once
	NodePauses                  // SIGSTOP and SIGCONT
	NodeReloads                 // SIGHUP with a good file
	NodeReloadsBad              // SIGHUP with a broken one
	NodeReloadsAll              // two good files in a row
	NodeStarves                 // no new descriptor may be opened
	DiscoveryDown               // it answers no call
	DiscoveryCrowds             // it has too many callers
	DiscoveryOld                // it gives an older list for a moment
	ServerDrains
	ServerHangs
	ServerErrs
	ServerResets
	ServerSpoils
	ServerLate // it answers after the deadline that it was told
	ServerDies // after the request's last byte and before its answer; and begins anew
	LinkCut    // connections break
	LinkSlow
	LinkSilent // nothing passes
	ClientsLeave
	ClientsStall
	ClientsFlood
	ClientsCrowd   // connections that say nothing fill the descriptors
	NodesEndInTurn // each node is told to end, one behind the other, with signals beside: SIGHUP, SIGTERM again
	kinds
)

var kindNames = [kinds]string{
	"node-ends", "node-dies", "node-pauses", "node-reloads", "node-reloads-bad", "node-reloads-twice", "node-starves",
	"discovery-down", "discovery-crowds", "discovery-old", "server-drains", "server-hangs", "server-errs", "server-resets",
	"server-spoils", "server-late", "server-dies", "link-cut", "link-slow", "link-silent", "clients-leave", "clients-stall", "clients-flood", "clients-crowd", "nodes-end-in-turn",
}

func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return "unknown"
}

// Trouble is one fault of a plan.
type Trouble struct {
	Kind   Kind
	At     time.Duration
	For    time.Duration
	Target int // the number of a node or a server
}

func (t Trouble) String() string {
	return fmt.Sprintf("%v %v at %v for %v", t.Kind, t.Target, t.At.Round(time.Millisecond), t.For.Round(time.Millisecond))
}

// Effect is what repeating a request of a class does.
type Effect string

// The effects, as the settings name them.
const (
	Free   Effect = "free"
	Keyed  Effect = "guarded"
	Unsafe Effect = "single_shot"
)

// Class is a class of requests.
type Class struct {
	Name     string
	Effect   Effect
	Window   time.Duration // for how long servers drop repeats of a key
	Deadline time.Duration
	Work     time.Duration
}

// Plan is all that happens in one run.
type Plan struct {
	Seed     uint64
	Nodes    int
	Servers  int
	For      time.Duration
	Rate     float64 // requests a second, of all clients
	Classes  []Class
	Grace    time.Duration // in which a node has to stop sending to a server that drains
	Cold     time.Duration // for how long a server is cold; 0 for never
	Skew     time.Duration // of the servers' wall clocks against the nodes'
	Zipped   bool          // clients retry at once what was refused
	Names    int           // of servers that are listed: several for each server
	Troubles []Trouble
}

// Dimensions of plans: small enough that several run side by side on one machine.
const (
	leastNodes, mostNodes       = 2, 4
	leastServers, mostServers   = 3, 7
	leastRate, mostRate         = 40, 140
	leastTroubles, mostTroubles = 4, 9
	longestPause                = 1500 * time.Millisecond
	quietTail                   = 2 * time.Second // without a new trouble
	mostNames                   = 3200
	manyNames                   = 4 // one plan in so many lists thousands
)

// NewPlan draws a plan. Equal seeds and lengths give equal plans.
func NewPlan(seed uint64, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x50a1))
	p := Plan{
		Seed: seed, For: length,
		Nodes:   leastNodes + r.IntN(mostNodes-leastNodes+1),
		Servers: leastServers + r.IntN(mostServers-leastServers+1),
		Rate:    leastRate + r.Float64()*(mostRate-leastRate),
		Grace:   between(r, 300*time.Millisecond, 2*time.Second),
		Skew:    []time.Duration{0, 0, time.Hour, -time.Hour, 3 * time.Second}[r.IntN(5)],
		Zipped:  r.IntN(3) == 0,
	}
	if r.IntN(2) == 0 {
		p.Cold = between(r, 2*time.Second, 6*time.Second)
	}
	short := r.IntN(2) == 0
	for _, effect := range []Effect{Free, Keyed, Unsafe} {
		deadline := between(r, 800*time.Millisecond, 3*time.Second)
		if short {
			deadline = between(r, 250*time.Millisecond, 700*time.Millisecond)
		}
		window := between(r, deadline, 3*deadline)
		if r.IntN(3) == 0 {
			window = between(r, deadline/3, deadline) // shorter than a client waits
		}
		work := between(r, 2*time.Millisecond, 30*time.Millisecond)
		p.Classes = append(p.Classes, Class{Name: strings.ReplaceAll(string(effect), "_", "-"), Effect: effect, Window: window, Deadline: deadline, Work: work})
	}
	for range leastTroubles + r.IntN(mostTroubles-leastTroubles+1) {
		p.Troubles = append(p.Troubles, p.trouble(r))
	}
	if p.Names = p.Servers; r.IntN(manyNames) == 0 {
		p.Names = mostNames/2 + r.IntN(mostNames/2)
	}
	slices.SortFunc(p.Troubles, func(a, b Trouble) int { return int(a.At - b.At) })
	return p
}

// trouble draws one fault. They begin in the first part of the run and last for up to a third of it, so
// that two or three overlap.
func (p *Plan) trouble(r *rand.Rand) Trouble {
	t := Trouble{Kind: Kind(r.IntN(int(kinds)))}
	t.At = between(r, 500*time.Millisecond, max(time.Second, p.For-quietTail))
	t.For = between(r, 50*time.Millisecond, p.For/3)
	switch {
	case t.Kind == NodePauses:
		t.For = between(r, 50*time.Millisecond, longestPause)
		t.Target = r.IntN(p.Nodes)
	case t.Kind <= NodeStarves:
		t.Target = r.IntN(p.Nodes)
	case t.Kind >= ServerDrains && t.Kind <= LinkSilent:
		t.Target = r.IntN(p.Servers)
	}
	return t
}

// longest is the longest that any client waits.
func (p *Plan) longest() (longest time.Duration) {
	for _, c := range p.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Without is the plan without one of its troubles.
func (p Plan) Without(i int) Plan {
	p.Troubles = slices.Delete(slices.Clone(p.Troubles), i, i+1)
	return p
}

// Drop is the plan without the troubles of some numbers, as the plan lists them.
func (p Plan) Drop(numbers []int) Plan {
	kept := make([]Trouble, 0, len(p.Troubles))
	for i, t := range p.Troubles {
		if !slices.Contains(numbers, i) {
			kept = append(kept, t)
		}
	}
	p.Troubles = kept
	return p
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(max(most-least, 1))))
}

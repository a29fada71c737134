package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/planner"
)

// operationsPerRun is the number of short operations that Options.cost times together.
const operationsPerRun = 100

// plannerEffects are the effects of a planner. They count its messages and drop them.
type plannerEffects struct {
	bytes, messages int
	timer           planner.Timer // the latest timer that was set
}

func (e *plannerEffects) Send(_ planner.ConnectionID, m planner.Message) {
	e.bytes += len(m.Append(nil))
	e.messages++
}
func (e *plannerEffects) SetTimer(t planner.Timer, _ time.Duration) { e.timer = t }
func (*plannerEffects) WatchEndpoints(bool)                         {}
func (*plannerEffects) Reset()                                      {}
func (*plannerEffects) Log(string)                                  {}

// settledPlanner is a planner of one pool, some ticks after its forwarders have connected.
type settledPlanner struct {
	*planner.Planner
	effects    *plannerEffects
	forwarders []planner.ConnectionID
	now        time.Duration
}

func newSettledPlanner(forwarders, servers int) *settledPlanner {
	const settlingTicks, tick = 20, 100 * time.Millisecond
	p := &settledPlanner{effects: &plannerEffects{}, now: time.Hour}
	p.Planner = planner.NewPlanner(moduleSettings(1), false, 1, p.now, p.effects)
	p.UpdateEndpoints(p.now, decide.UpdateCached, moduleList(servers))
	for i := range forwarders {
		p.forwarders = append(p.forwarders, p.ForwarderConnected(p.now, fmt.Sprint("forwarder-", i)))
		p.Receive(p.now, p.forwarders[i], planner.Message{Kind: planner.KindSynced})
	}
	for range settlingTicks {
		p.now += tick
		p.TimerFired(p.now, p.effects.timer)
	}
	return p
}

// centralTrial measures the central processes: planners by the number of forwarders, and the consensus group
// by the number of instances.
func centralTrial(ctx context.Context, o Options) (Findings, error) {
	collector := &slopeCollector{ctx: ctx}
	sizes := o.sizes([]int{10, 20, 40, 80}, 100, 300, 1_000, o.Nodes)
	o.measurePlanner(collector, sizes)
	if collector.err != nil {
		return collector.Findings, collector.err
	}
	o.measureGroup(collector, sizes)
	return collector.Findings, collector.err
}

// measurePlanner measures a planner by the number of its forwarders.
func (o Options) measurePlanner(collector *slopeCollector, sizes []int) {
	servers := int(o.serversPerPool())
	base := Slope{Role: "planner", SizeUnit: fmt.Sprintf("forwarders of a pool of %d servers", servers), Stated: float64(o.Nodes), Runs: costRuns}
	bytesPerRequest := 0.0
	placed := base.forFigure("a request placed and ended", "us", 0)
	collector.measure(placed, sizes, func(n int) (float64, error) {
		var us float64
		var err error
		us, bytesPerRequest, err = o.placementCost(newSettledPlanner(n, servers))
		return us, err
	})
	collector.measure(base.forFigure("memory of a pool's forwarders", "MB", 0), sizes, func(n int) (float64, error) {
		return heapGrowth(func() any { return newSettledPlanner(n, servers) }) / 1e6, nil
	})
	if collector.err != nil {
		return
	}
	perRequest := placed.Samples[len(sizes)-1].Value
	collector.notef("a request takes %.0f bytes of messages between forwarder and planner, without frames and TLS; at %s requests a second all decisions take %s%% of a core",
		bytesPerRequest, digits(o.RequestRate), digits(100*o.RequestRate*perRequest/1e6))
	collector.notef("each forwarder's pool has a connection to each planner: %s pools of %s nodes make %s connections to one planner that serves all pools",
		digits(float64(o.Services)), digits(float64(o.Nodes)), digits(float64(o.Services*o.Nodes)))
}

// placementCost returns the processor time in microseconds, and the bytes of messages, of one request that is
// placed and ended.
func (o Options) placementCost(settled *settledPlanner) (us, bytes float64, err error) {
	id, requests, sent := decide.RequestID(0), 0, 0
	cost := o.cost(func() {
		settled.TimerFired(settled.now, settled.effects.timer) // the planner assumes that it was paused if its timer does not fire
		for range operationsPerRun {
			id++
			settled.now += time.Millisecond
			forwarder := settled.forwarders[int(id)%len(settled.forwarders)]
			place := planner.Message{Kind: planner.KindPlace, ID: id, RequestInfo: planner.RequestInfo{Remaining: 5 * time.Second}}
			ended := planner.Message{Kind: planner.KindAttemptEnded, ID: id, Result: decide.OK}
			settled.Receive(settled.now, forwarder, place)
			settled.Receive(settled.now, forwarder, ended)
			requests++
			sent += len(place.Append(nil)) + len(ended.Append(nil))
		}
	})
	if settled.effects.messages < requests {
		return 0, 0, fmt.Errorf("planner answered %d of %d requests", settled.effects.messages, requests)
	}
	return microseconds(cost) / operationsPerRun, float64(sent+settled.effects.bytes) / float64(requests), nil
}

// stateWithLeases returns the state of a group in which n instances hold a lease each.
func stateWithLeases(n int) *fsm.State {
	state := fsm.New()
	for i := range n {
		state.Apply(fsm.Command{
			Elapsed: time.Millisecond, Op: fsm.Acquire, Name: fmt.Sprint("instances/node-", i),
			Holder: fmt.Sprintf("node-%d/%016x", i, i), TTL: time.Hour,
		})
	}
	return state
}

// measureGroup measures a voter's state by the number of instances.
func (o Options) measureGroup(collector *slopeCollector, sizes []int) {
	base := Slope{Role: "group voter", SizeUnit: "instances", Stated: float64(o.Nodes), Runs: costRuns}
	collector.measure(base.forFigure("a renewal put into the state", "us", 0), sizes, func(n int) (float64, error) {
		return o.renewalCost(stateWithLeases(n)), nil
	})
	collector.measure(base.forFigure("the list of instances, which each node with group = true reads each second", "bytes/s", o.ByteRate), sizes, func(n int) (float64, error) {
		b, err := json.Marshal(stateWithLeases(n).Leases(""))
		return float64(len(b)), err
	})
	collector.measure(base.forFigure("a snapshot", "bytes", 0), sizes, func(n int) (float64, error) {
		b, err := stateWithLeases(n).Snapshot()
		return float64(len(b)), err
	})
	collector.measure(base.forFigure("memory", "MB", 0), sizes, func(n int) (float64, error) {
		return heapGrowth(func() any { return stateWithLeases(n) }) / 1e6, nil
	})
	collector.notef("a lease of 3 s is renewed each second: %s renewals a second through the log if all nodes are instances", digits(float64(o.Nodes)))
}

// renewalCost returns the processor time of one renewal of a lease, in microseconds.
func (o Options) renewalCost(state *fsm.State) float64 {
	leases, i := state.Leases(""), 0
	return microseconds(o.cost(func() {
		for range operationsPerRun {
			i = (i + 1) % len(leases)
			l := leases[i]
			if r := state.Apply(fsm.Command{Op: fsm.Renew, Name: l.Name, Holder: l.Holder, FencingToken: l.FencingToken, TTL: time.Hour}); r.Err() != nil {
				panic(r.Err())
			}
		}
	})) / operationsPerRun
}

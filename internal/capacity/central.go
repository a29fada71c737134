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

// operationsPerRun is how many short operations a run of Options.cost times together.
const operationsPerRun = 100

// plannerEffects are the effects of a planner whose messages go nowhere.
type plannerEffects struct {
	bytes, messages int
	timer           planner.Timer // the latest that was set
}

func (e *plannerEffects) Send(_ planner.ConnectionID, m planner.Message) {
	e.bytes += len(m.Append(nil))
	e.messages++
}
func (e *plannerEffects) SetTimer(t planner.Timer, _ time.Duration) { e.timer = t }
func (*plannerEffects) WatchEndpoints(bool)                         {}
func (*plannerEffects) Reset()                                      {}
func (*plannerEffects) Log(string)                                  {}

// settledPlanner is a planner of one pool whose forwarders have joined, and which has settled.
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

// centralTrial measures what is central: planners by their forwarders, and the consensus group by its
// instances.
func centralTrial(ctx context.Context, o Options) (Findings, error) {
	c := &slopeCollector{ctx: ctx}
	sizes := o.sizes([]int{10, 20, 40, 80}, 100, 300, 1_000, o.Nodes)
	o.measurePlanner(c, sizes)
	if c.err != nil {
		return c.Findings, c.err
	}
	o.measureGroup(c, sizes)
	return c.Findings, c.err
}

// measurePlanner measures a planner by the number of its forwarders.
func (o Options) measurePlanner(c *slopeCollector, sizes []int) {
	servers := int(o.serversPerPool())
	base := Slope{Role: "planner", SizeOf: fmt.Sprintf("forwarders of a pool of %d servers", servers), Stated: float64(o.Nodes), Runs: costRuns}
	bytesPerRequest := 0.0
	placed := base.forFigure("a request placed and ended", "us", 0)
	c.measure(placed, sizes, func(n int) (float64, error) {
		var us float64
		var err error
		us, bytesPerRequest, err = o.placementCost(newSettledPlanner(n, servers))
		return us, err
	})
	c.measure(base.forFigure("memory of a pool's forwarders", "MB", 0), sizes, func(n int) (float64, error) {
		return heapGrowth(func() any { return newSettledPlanner(n, servers) }) / 1e6, nil
	})
	if c.err != nil {
		return
	}
	perRequest := placed.Samples[len(sizes)-1].Value
	c.notef("a request is %.0f bytes of words between the two, without frames and TLS; at %s a second that is %s%% of a core of decisions in all",
		bytesPerRequest, digits(o.RequestRate), digits(100*o.RequestRate*perRequest/1e6))
	c.notef("each forwarder's pool has a connection to each planner: %s pools of %s nodes make %s connections to one planner of all",
		digits(float64(o.Services)), digits(float64(o.Nodes)), digits(float64(o.Services*o.Nodes)))
}

// placementCost is the microseconds and the bytes of messages of one request that is placed and ended.
func (o Options) placementCost(p *settledPlanner) (us, bytes float64, err error) {
	id, requests, sent := decide.RequestID(0), 0, 0
	cost := o.cost(func() {
		p.TimerFired(p.now, p.effects.timer) // without time that passes it takes itself for paused
		for range operationsPerRun {
			id++
			p.now += time.Millisecond
			forwarder := p.forwarders[int(id)%len(p.forwarders)]
			ask := planner.Message{Kind: planner.KindPlace, ID: id, RequestInfo: planner.RequestInfo{Remaining: 5 * time.Second}}
			ended := planner.Message{Kind: planner.KindAttemptEnded, ID: id, Result: decide.OK}
			p.Receive(p.now, forwarder, ask)
			p.Receive(p.now, forwarder, ended)
			requests++
			sent += len(ask.Append(nil)) + len(ended.Append(nil))
		}
	})
	if p.effects.messages < requests {
		return 0, 0, fmt.Errorf("planner answered %d of %d requests", p.effects.messages, requests)
	}
	return microseconds(cost) / operationsPerRun, float64(sent+p.effects.bytes) / float64(requests), nil
}

// stateWithLeases is the state of a group in which n instances hold a lease each.
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
func (o Options) measureGroup(c *slopeCollector, sizes []int) {
	base := Slope{Role: "group voter", SizeOf: "instances", Stated: float64(o.Nodes), Runs: costRuns}
	c.measure(base.forFigure("a renewal put into the state", "us", 0), sizes, func(n int) (float64, error) {
		return o.renewalCost(stateWithLeases(n)), nil
	})
	c.measure(base.forFigure("the list of instances, which each node with group = true reads each second", "bytes/s", o.ByteRate), sizes, func(n int) (float64, error) {
		b, err := json.Marshal(stateWithLeases(n).Leases(""))
		return float64(len(b)), err
	})
	c.measure(base.forFigure("a snapshot", "bytes", 0), sizes, func(n int) (float64, error) {
		b, err := stateWithLeases(n).Snapshot()
		return float64(len(b)), err
	})
	c.measure(base.forFigure("memory", "MB", 0), sizes, func(n int) (float64, error) {
		return heapGrowth(func() any { return stateWithLeases(n) }) / 1e6, nil
	})
	c.notef("a lease of 3 s is renewed each second: %s renewals a second through the log were all nodes instances", digits(float64(o.Nodes)))
}

// renewalCost is the microseconds of one renewal of a lease.
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

package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
)

// The tokens of decide.Balancer's timers, which it assigns in this order.
const (
	tickToken  = 0
	sweepToken = 1
)

// noEffects are the effects of a balancer whose decisions are not carried out. It records the requests sent.
type noEffects struct{ sent []decide.RequestID }

func (e *noEffects) Send(id decide.RequestID, _ decide.ServerID, _ time.Duration) {
	e.sent = append(e.sent, id)
}
func (*noEffects) Cancel(decide.RequestID, int)           {}
func (*noEffects) Reject(decide.RequestID, time.Duration) {}
func (*noEffects) Fail(decide.RequestID)                  {}
func (*noEffects) SetTimer(uint64, time.Duration)         {}
func (*noEffects) WatchEndpoints(bool)                    {}
func (*noEffects) Log(string)                             {}

// idempotentClass is a class of short requests.
var idempotentClass = decide.Class{Idempotency: decide.Idempotent, LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}

// moduleSettings returns the settings of a balancer in a fleet of some nodes.
func moduleSettings(nodes int) decide.Settings {
	return decide.Settings{
		NodeCount: nodes, ZoneCount: 1, Classes: []decide.Class{idempotentClass}, MaxAttempts: 3, Hedging: true, CancelAttempts: true,
		OverloadMultiple: 1, SlowStartShare: 1, IdleTimeout: 15 * time.Second, MaxRetryAfter: 2 * time.Second,
	}
}

// moduleList returns the endpoint list of a balancer.
func moduleList(servers int) []decide.Server {
	list := make([]decide.Server, servers)
	for i := range list {
		list[i] = decide.Server{ID: decide.ServerID(i + 1), State: decide.Ready, Capacity: 1}
	}
	return list
}

// endpointList returns the endpoint list of a pool.
func endpointList(n int) []core.Endpoint {
	all := make([]core.Endpoint, n)
	for i := range all {
		all[i] = core.Endpoint{Name: fmt.Sprintf("server-%d", i), Addr: fmt.Sprintf("127.0.%d.%d:9000", i>>8, i&255), State: decide.Ready, Capacity: 1}
	}
	return all
}

// decisionsTrial measures package decide: a pool's timers and requests by its number of servers, and idle pools
// by their number.
func decisionsTrial(ctx context.Context, o Options) (Findings, error) {
	collector := &slopeCollector{ctx: ctx}
	o.measureBalancer(collector)
	o.measureIdlePools(collector)
	return collector.Findings, collector.err
}

// newBalancer returns a balancer with its endpoint list, and its effects.
func (o Options) newBalancer(servers int) (*decide.Balancer, *noEffects) {
	out := &noEffects{}
	b := decide.New(moduleSettings(o.Nodes), 1, time.Hour, out)
	b.UpdateEndpoints(time.Hour, decide.UpdateCached, moduleList(servers))
	return b, out
}

// measureBalancer measures one pool's balancer by the number of servers.
func (o Options) measureBalancer(collector *slopeCollector) {
	sizes := o.sizes([]int{4, 8, 16, 32}, 5, 21, 80, 320, 1300)
	base := Slope{Role: "node: decisions", SizeUnit: "servers of the pool", Stated: o.serversPerPool(), Runs: costRuns}
	collector.measure(base.forFigure("a tick", "us", 0), sizes, func(n int) (float64, error) { return o.timerCost(n, tickToken), nil })
	collector.measure(base.forFigure("a sweep", "us", 0), sizes, func(n int) (float64, error) { return o.timerCost(n, sweepToken), nil })
	collector.measure(base.forFigure("a request", "us", 0), sizes, func(n int) (float64, error) { return o.requestCost(n), nil })
	collector.measure(base.forFigure("a whole list", "us", 0), sizes, func(n int) (float64, error) {
		b, _ := o.newBalancer(n)
		list, now := moduleList(n), time.Hour
		return microseconds(o.cost(func() {
			now += time.Millisecond
			b.UpdateEndpoints(now, decide.UpdateFull, list)
		})), nil
	})
}

// timerCost returns the processor time of one call of TimerFired, in microseconds.
func (o Options) timerCost(servers int, token uint64) float64 {
	b, _ := o.newBalancer(servers)
	now := time.Hour
	return microseconds(o.cost(func() {
		now += time.Millisecond
		for range operationsPerRun {
			b.TimerFired(now, token)
		}
	})) / operationsPerRun
}

// requestCost returns the processor time of one request that is sent and answered, in microseconds.
func (o Options) requestCost(servers int) float64 {
	b, out := o.newBalancer(servers)
	now, id := time.Hour, decide.RequestID(0)
	return microseconds(o.cost(func() {
		for range operationsPerRun {
			id++
			now += time.Millisecond
			out.sent = out.sent[:0]
			b.Arrive(now, decide.Request{ID: id, Deadline: now + 5*time.Second})
			now += time.Millisecond
			b.AttemptFinished(now, decide.Outcome{ID: id, Result: decide.OK, Final: true})
		}
	})) / operationsPerRun
}

// measureIdlePools measures pools without requests, by their number.
func (o Options) measureIdlePools(collector *slopeCollector) {
	sizes := o.sizes([]int{4, 8, 16, 32}, 160, 325, 650, 1300)
	servers := o.serversPerPool()
	base := Slope{Role: "node: pools at rest", SizeUnit: fmt.Sprintf("pools, of %.0f servers each", servers), Stated: float64(o.Services), Runs: costRuns}
	cpu, memory := base.forFigure("processor time at rest", "% of a core", o.corePercent()), base.forFigure("memory", "MB", o.MemoryMB)
	collector.measure(cpu, sizes, func(n int) (float64, error) {
		var pools []*core.Pool
		bytes := heapGrowth(func() any {
			pools = o.newPools(n, int(servers))
			return pools
		})
		memory.add(n, bytes/1e6)
		percent := o.idleCorePercent(collector.ctx)
		for _, p := range pools {
			p.Close()
		}
		return percent, collector.ctx.Err()
	})
	collector.Slopes = append(collector.Slopes, *memory)
}

// newPools returns pools that have their endpoint lists and get no requests.
func (o Options) newPools(n, servers int) []*core.Pool {
	var pools []*core.Pool
	for i := range n {
		p := core.NewPool(core.Settings{
			Balancer: moduleSettings(o.Nodes), Seed: uint64(i), Upstream: unreachable{}, ClassNames: []string{"look"},
			Log: slog.New(slog.DiscardHandler),
		})
		p.UpdateEndpoints(decide.UpdateCached, endpointList(servers))
		pools = append(pools, p)
	}
	return pools
}

// idleCorePercent returns the percentage of a core that this process uses while idle: the median of some runs.
func (o Options) idleCorePercent(ctx context.Context) float64 {
	duration := 3 * time.Second
	if o.Small {
		duration = 100 * time.Millisecond
	}
	var shares []float64
	for range costRuns {
		began, used := time.Now(), processorTime()
		emulator.Sleep(ctx, duration)
		used = processorTime() - used
		shares = append(shares, 100*used.Seconds()/time.Since(began).Seconds())
	}
	return median(shares)
}

// unreachable is the upstream of pools that send nothing.
type unreachable struct{}

func (unreachable) AddServer() core.Server { return unreachable{} }
func (unreachable) Close()                 {}
func (unreachable) Invalidate()            {}
func (unreachable) Send(context.Context, string, *core.Message, core.AttemptGate) (decide.Result, *core.Answer) {
	return decide.ConnectFailed, nil
}

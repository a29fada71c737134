package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// The module's timers: it ticks and sweeps by tokens that it hands out itself.
const (
	tickToken  = 0
	sweepToken = 1
	ticks      = 10.0 // a second, of each pool
)

// nothing is the effects of a module whose decisions nobody carries out.
type nothing struct{ sent []decide.RequestID }

func (n *nothing) Send(id decide.RequestID, _ decide.ServerID, _ time.Duration) {
	n.sent = append(n.sent, id)
}
func (*nothing) Cancel(decide.RequestID, int)           {}
func (*nothing) Reject(decide.RequestID, time.Duration) {}
func (*nothing) Fail(decide.RequestID)                  {}
func (*nothing) SetTimer(uint64, time.Duration)         {}
func (*nothing) WatchEndpoints(bool)                    {}
func (*nothing) Log(string)                             {}

// lookClass is a class of short requests that may be repeated.
var lookClass = decide.Class{Idempotency: decide.Idempotent, LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}

func moduleSettings(nodes int) decide.Settings {
	return decide.Settings{
		NodeCount: nodes, ZoneCount: 1, Classes: []decide.Class{lookClass}, MaxAttempts: 3, Hedging: true, CancelAttempts: true,
		OverloadMultiple: 1, SlowStartShare: 1, IdleTimeout: 15 * time.Second, MaxRetryAfter: 2 * time.Second,
	}
}

func moduleList(servers int) []decide.Server {
	list := make([]decide.Server, servers)
	for i := range list {
		list[i] = decide.Server{ID: decide.ServerID(i + 1), State: decide.Ready, Capacity: 1}
	}
	return list
}

// decisions measures the decision module: what a pool's timers and requests cost by its servers, and
// what many pools cost that rest.
func decisions(ctx context.Context, o Options) (Found, error) {
	g := gather{ctx: ctx}
	sizes := o.sizes([]int{4, 8, 16, 32}, 5, 21, 80, 320, 1300)
	of := per(o.Servers, o.Services)
	module := func(n int) (*decide.Balancer, *nothing) {
		out := &nothing{}
		b := decide.New(moduleSettings(o.Nodes), 1, time.Hour, out)
		b.UpdateEndpoints(time.Hour, decide.UpdateCached, moduleList(n))
		return b, out
	}
	timer := func(token uint64) func(int) (float64, error) {
		return func(n int) (float64, error) {
			b, _ := module(n)
			now := time.Hour
			return micros(o.cost(func() {
				now += time.Millisecond
				for range 100 {
					b.TimerFired(now, token)
				}
			})) / 100, nil
		}
	}
	s := Slope{Role: "node: decisions", By: "servers of the pool", Stated: of, Runs: tries}
	g.slope(s.named("a tick", "us", 0), sizes, timer(tickToken))
	g.slope(s.named("a sweep", "us", 0), sizes, timer(sweepToken))
	g.slope(s.named("a request", "us", 0), sizes, func(n int) (float64, error) {
		b, out := module(n)
		now, id := time.Hour, decide.RequestID(0)
		return micros(o.cost(func() {
			for range 100 {
				id++
				now += time.Millisecond
				out.sent = out.sent[:0]
				b.Arrive(now, decide.Request{ID: id, Deadline: now + 5*time.Second})
				now += time.Millisecond
				b.AttemptFinished(now, decide.Outcome{ID: id, Result: decide.OK, Final: true})
			}
		})) / 100, nil
	})
	g.slope(s.named("a whole list", "us", 0), sizes, func(n int) (float64, error) {
		b, _ := module(n)
		list, now := moduleList(n), time.Hour
		return micros(o.cost(func() {
			now += time.Millisecond
			b.UpdateEndpoints(now, decide.UpdateFull, list)
		})), nil
	})

	pools := o.sizes([]int{4, 8, 16, 32}, 160, 325, 650, 1300)
	rest := Slope{Role: "node: pools at rest", By: fmt.Sprintf("pools, of %.0f servers each", of), Stated: float64(o.Services), Runs: tries}
	cpu, memory := rest.named("processor time at rest", "% of a core", 100*o.Core), rest.named("memory", "MB", o.Memory)
	lasts := 3 * time.Second
	if o.Small {
		lasts = 100 * time.Millisecond
	}
	g.slope(cpu, pools, func(n int) (float64, error) {
		var all []*core.Pool
		bytes := heap(func() any {
			for i := range n {
				p := core.NewPool(core.Settings{Balancer: moduleSettings(o.Nodes), Seed: uint64(i), Upstream: unreachable{}, Classes: []string{"look"}, Log: slog.New(slog.DiscardHandler)})
				p.UpdateEndpoints(decide.UpdateCached, hosts(int(of)))
				all = append(all, p)
			}
			return all
		})
		memory.Samples = append(memory.Samples, Sample{float64(n), bytes / 1e6})
		var shares []float64
		for range tries {
			began, used := time.Now(), processorTime()
			select {
			case <-time.After(lasts):
			case <-ctx.Done():
			}
			used = processorTime() - used
			shares = append(shares, 100*used.Seconds()/time.Since(began).Seconds())
		}
		for _, p := range all {
			p.Close()
		}
		return median(shares), ctx.Err()
	})
	g.Slopes = append(g.Slopes, *memory)
	return g.Found, g.err
}

// unreachable is the upstream of pools that send nothing.
type unreachable struct{}

func (unreachable) AddServer() core.Server { return unreachable{} }
func (unreachable) Close()                 {}
func (unreachable) Invalidate()            {}
func (unreachable) Send(context.Context, string, *core.Message, core.AttemptGate) (decide.Result, *core.Answer) {
	return decide.ConnectFailed, nil
}

func hosts(n int) []core.Endpoint {
	all := make([]core.Endpoint, n)
	for i := range all {
		all[i] = core.Endpoint{Name: fmt.Sprintf("server-%d", i), Addr: fmt.Sprintf("127.0.%d.%d:9000", i>>8, i&255), State: decide.Ready, Capacity: 1}
	}
	return all
}

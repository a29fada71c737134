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

// silentPlanner is a planner's effects that nobody hears, with the last time that it asked for.
type silentPlanner struct {
	bytes, told int
	wanted      planner.Timer
}

func (s *silentPlanner) Tell(_ planner.Source, m planner.Message) {
	s.bytes += len(m.Append(nil))
	s.told++
}
func (s *silentPlanner) SetTimer(t planner.Timer, _ time.Duration) { s.wanted = t }
func (*silentPlanner) WatchEndpoints(bool)                         {}
func (*silentPlanner) Reset()                                      {}
func (*silentPlanner) Log(string)                                  {}

// central measures what is central: a planner's belief by its forwarders, and the group's state and
// words by its instances.
func central(ctx context.Context, o Options) (Found, error) {
	g := gather{ctx: ctx}
	many := o.sizes([]int{10, 20, 40, 80}, 100, 300, 1_000, o.Nodes)
	servers := int(per(o.Servers, o.Services))
	newPlanner := func(forwarders int) (*planner.Planner, *silentPlanner, []planner.Source, time.Duration) {
		out := &silentPlanner{}
		now := time.Hour
		p := planner.NewPlanner(moduleSettings(1), false, 1, now, out)
		p.Listed(now, decide.UpdateCached, moduleList(servers))
		var from []planner.Source
		for i := range forwarders {
			from = append(from, p.Join(now, fmt.Sprint("forwarder-", i)))
			p.Take(now, from[i], planner.Message{Kind: planner.Synced})
		}
		for range 20 { // its settling time
			now += 100 * time.Millisecond
			p.Timer(now, out.wanted)
		}
		return p, out, from, now
	}
	s := Slope{Role: "planner", By: fmt.Sprintf("forwarders of a pool of %d servers", servers), Stated: float64(o.Nodes), Runs: tries}
	words := 0.0
	g.slope(s.named("a request placed and ended", "us", 0), many, func(n int) (float64, error) {
		p, out, from, now := newPlanner(n)
		id, asked, sent := decide.RequestID(0), 0, 0
		took := o.cost(func() {
			p.Timer(now, out.wanted) // time passes for it too: else it takes itself for paused
			for range 100 {
				id++
				now += time.Millisecond
				at := from[int(id)%n]
				ask := planner.Message{Kind: planner.Ask, ID: id, Question: planner.Question{Left: 5 * time.Second}}
				ended := planner.Message{Kind: planner.Ended, ID: id, Result: decide.OK}
				p.Take(now, at, ask)
				p.Take(now, at, ended)
				asked++
				sent += len(ask.Append(nil)) + len(ended.Append(nil))
			}
		})
		if out.told < asked {
			return 0, fmt.Errorf("of %d requests %d were answered", asked, out.told)
		}
		words = float64(sent+out.bytes) / float64(asked)
		return micros(took) / 100, nil
	})
	g.slope(s.named("memory of a pool's forwarders", "MB", 0), many, func(n int) (float64, error) {
		return heap(func() any {
			p, _, from, _ := newPlanner(n)
			return []any{p, from}
		}) / 1e6, nil
	})
	if g.err != nil {
		return g.Found, g.err
	}
	g.note("a request is %.0f bytes of words between the two, without frames and TLS; at %s a second that is %s%% of a core of decisions in all", words, digits(o.Requests), digits(100*o.Requests*g.Slopes[0].Samples[len(many)-1].Value/1e6))
	g.note("each forwarder's pool has a connection to each planner: %s pools of %s nodes make %s connections to one planner of all", digits(float64(o.Services)), digits(float64(o.Nodes)), digits(float64(o.Services*o.Nodes)))

	agreed := func(n int) *fsm.State {
		st := fsm.New()
		for i := range n {
			st.Apply(fsm.Command{Elapsed: time.Millisecond, Op: fsm.Acquire, Name: fmt.Sprint("instances/node-", i), Holder: fmt.Sprintf("node-%d/%016x", i, i), TTL: time.Hour})
		}
		return st
	}
	s = Slope{Role: "group voter", By: "instances", Stated: float64(o.Nodes), Runs: tries}
	g.slope(s.named("a renewal put into the state", "us", 0), many, func(n int) (float64, error) {
		st := agreed(n)
		leases := st.Leases("")
		i := 0
		return micros(o.cost(func() {
			for range 100 {
				i = (i + 1) % n
				l := leases[i]
				if r := st.Apply(fsm.Command{Op: fsm.Renew, Name: l.Name, Holder: l.Holder, Fence: l.Fence, TTL: time.Hour}); r.Err() != nil {
					panic(r.Err())
				}
			}
		})) / 100, nil
	})
	g.slope(s.named("the list of instances, which each node with group = true reads each second", "bytes/s", o.Bytes), many, func(n int) (float64, error) {
		b, err := json.Marshal(agreed(n).Leases(""))
		return float64(len(b)), err
	})
	g.slope(s.named("a snapshot", "bytes", 0), many, func(n int) (float64, error) {
		b, err := agreed(n).Snapshot()
		return float64(len(b)), err
	})
	g.slope(s.named("memory", "MB", 0), many, func(n int) (float64, error) {
		return heap(func() any { return agreed(n) }) / 1e6, nil
	})
	g.note("a lease of 3 s is renewed each second: %s renewals a second through the log were all nodes instances", digits(float64(o.Nodes)))
	return g.Found, g.err
}

package testbed

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/slowstart"
)

// ColdOptions say how many processes send to how many servers of which some are cold.
type ColdOptions struct {
	Nodes, Servers int
	Kind           string // one of ColdKinds
	Dir            string // of files and logs
	Seed           uint64
	// Node starts a node by its file.
	Node func(dir, name, file string) (*Process, error)
	// Before is how long all is calm, For how long servers are watched from then on.
	Before, For time.Duration
}

// ColdKinds are what befalls: servers join under a burst, also with uneven traffic; a zone whose
// servers had ended, or were silent, returns cold; servers join and all nodes begin anew at once.
var ColdKinds = []string{"newcomers", "uneven", "zone", "silent zone", "anew"}

// The servers' kind, with the operators' cold settings.
const (
	coldZones    = 3
	coldCores    = 2
	coldWork     = 60 * time.Millisecond // mean
	coldFrom     = 0.13
	coldMultiple = 2.5
	coldWithin   = time.Second
	coldWarm     = 23 * time.Second
	coldLoad     = 0.6 // of what all can do
	coldJoin     = 0.4 // servers that join, of those that there are
	coldBurst    = 0.3 // likewise, on top while some are cold
	coldAway     = 2 * time.Second
	coldList     = 300 * time.Millisecond // from a start until discovery tells of it
)

// ColdResult is what came of it, for servers and for clients.
type ColdResult struct {
	slowstart.Sum
	Clients emulator.Tally
}

// cold is a play.
type cold struct {
	ColdOptions
	rng   *rand.Rand
	boxes []*emulator.Box
	disc  *emulator.Discovery
	addrs []string
	procs []*Process
}

// Cold plays it, with real processes and in real time.
func Cold(ctx context.Context, o ColdOptions) (*ColdResult, error) {
	if !slices.Contains(ColdKinds, o.Kind) {
		return nil, fmt.Errorf("no play %q: want one of %v", o.Kind, ColdKinds)
	}
	c := &cold{ColdOptions: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), procs: make([]*Process, o.Nodes)}
	defer c.end()
	if err := c.lay(); err != nil {
		return nil, err
	}
	parts := c.parts()
	loads := c.load(ctx, parts, coldLoad, o.Before+o.For, 2*o.Seed)
	if err := pause(ctx, o.Before); err != nil {
		return nil, err
	}
	loads = append(loads, c.load(ctx, parts, coldBurst, o.For, 2*o.Seed+1)...)
	if err := c.befall(ctx); err != nil {
		return nil, err
	}
	r := &ColdResult{}
	for _, l := range loads {
		for _, t := range l.Wait() {
			r.Clients.Add(t)
		}
	}
	for _, b := range c.boxes {
		r.Merge(b.Starts())
	}
	return r, ctx.Err()
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// box starts one more server, in the zones by turns.
func (c *cold) box(up time.Duration) error {
	at, err := emulator.Unused()
	if err != nil {
		return err
	}
	b, err := emulator.NewBox(emulator.BoxSettings{
		At: at, Cores: coldCores, Queue: 8 * coldCores, Work: coldWork, ColdFrom: coldFrom, Warm: coldWarm, Up: up,
		Rule: slowstart.Rule{Multiple: coldMultiple, Window: coldWithin},
	})
	if err == nil {
		c.boxes = append(c.boxes, b)
	}
	return err
}

// lay starts the servers, discovery and the nodes.
func (c *cold) lay() (err error) {
	for range c.Servers {
		if err := c.box(coldWarm); err != nil {
			return err
		}
	}
	if c.disc, err = emulator.NewDiscovery(c.list()...); err != nil {
		return err
	}
	for range c.Nodes {
		addr, err := emulator.Unused()
		if err != nil {
			return err
		}
		c.addrs = append(c.addrs, addr)
	}
	return c.start()
}

// list is what discovery tells of all servers.
func (c *cold) list() (list []emulator.Entry) {
	for i, b := range c.boxes {
		e := b.Entry()
		e.Site = string(rune('a' + i%coldZones))
		list = append(list, e)
	}
	return list
}

// tell has discovery tell of all starts so far.
func (c *cold) tell(ctx context.Context) error {
	if err := pause(ctx, coldList); err != nil {
		return err
	}
	c.disc.Set(c.list()...)
	for _, b := range c.boxes {
		b.Told()
	}
	return nil
}

// start starts all nodes at once.
func (c *cold) start() error {
	errs := make(chan error, c.Nodes)
	for i := range c.Nodes {
		go func() { errs <- c.node(i) }()
	}
	var first error
	for range c.Nodes {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (c *cold) node(i int) error {
	name := fmt.Sprintf("n%02d", i)
	file := filepath.Join(c.Dir, name+".toml")
	text := fmt.Sprintf(`[node]
name = %q
listen = [%q]
number = %d
nodes = %d
[[service]]
name = "s"
[[service.route]]
pool = "p"
[[pool]]
name = "p"
protocol = "platform"
discovery = %q
zones = ["a", "b", "c"]
zone = %q
cross_cost = 0.12
[pool.cold]
start = %v
multiple = %v
warm = %q
[[pool.class]]
name = "look"
repeat = "safe"
aim = "750ms"
deadline = "2500ms"
`, name, c.addrs[i], i, c.Nodes, c.disc.Addr, string(rune('a'+i%coldZones)), coldFrom, coldMultiple, coldWarm)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("the node's file: %w", err)
	}
	p, err := c.Node(c.Dir, name, file)
	c.procs[i] = p
	return err
}

// parts are what the nodes get of the traffic.
func (c *cold) parts() []float64 {
	parts, sum := make([]float64, c.Nodes), 0.0
	for i := range parts {
		parts[i] = 1
		if c.Kind != "newcomers" && c.Kind != "anew" {
			parts[i] = math.Exp(0.8 * c.rng.NormFloat64())
		}
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}

// load sends each node its part of a load, which is so much of what all servers can do.
func (c *cold) load(ctx context.Context, parts []float64, of float64, span time.Duration, seed uint64) (all []*emulator.Running) {
	rate := of * float64(c.Servers*coldCores) / coldWork.Seconds()
	for i, part := range parts {
		l := &emulator.Load{
			Addr: c.addrs[i], Rate: rate * part, For: span, Seed: seed<<16 + uint64(i), Retries: 1,
			Kinds: []emulator.Kind{{
				Class: "look", Path: "/look/", Method: "GET", Share: 1, Work: coldWork,
				Aim: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond,
			}},
		}
		all = append(all, l.Start(ctx))
	}
	return all
}

// befall has it happen.
func (c *cold) befall(ctx context.Context) error {
	if c.Kind == "zone" || c.Kind == "silent zone" {
		var zone []*emulator.Box
		for i := 0; i < len(c.boxes); i += coldZones {
			zone = append(zone, c.boxes[i])
			if c.Kind == "zone" {
				_ = c.boxes[i].Close()
			} else {
				c.boxes[i].Turn(emulator.Silent)
			}
		}
		if err := pause(ctx, coldAway); err != nil {
			return err
		}
		for _, b := range zone {
			if err := b.Restart(); err != nil {
				return err
			}
		}
		return c.tell(ctx)
	}
	for range int(coldJoin * float64(c.Servers)) {
		if err := c.box(0); err != nil {
			return err
		}
	}
	if err := c.tell(ctx); err != nil || c.Kind != "anew" {
		return err
	}
	for _, p := range c.procs {
		p.Kill()
	}
	return c.start()
}

// end ends all that runs.
func (c *cold) end() {
	var wait sync.WaitGroup
	for _, p := range c.procs {
		if p != nil {
			wait.Go(p.Kill)
		}
	}
	wait.Wait()
	for _, b := range c.boxes {
		_ = b.Close()
	}
	if c.disc != nil {
		_ = c.disc.Close()
	}
}

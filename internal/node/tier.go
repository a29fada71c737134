package node

import (
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/discovery"
	"jasperpin/internal/mtls"
	"jasperpin/internal/planner"
	"jasperpin/internal/plannerrpc"
)

// clients are the ends at which a forwarder's pools ask planners.
type clients struct {
	opt plannerrpc.ClientOptions // what all have in common
	mu  sync.Mutex
	all map[*plannerrpc.Client]bool
}

// newClients prepares a forwarder's ends.
func newClients(cfg *config.Config, log *slog.Logger) (*clients, error) {
	p := cfg.Planning
	tls, err := mtls.Files{Certificate: p.Certificate, Key: p.Key, Authorities: p.Authorities}.Load(plannerrpc.PlannerName)
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	return &clients{
		opt: plannerrpc.ClientOptions{Name: cfg.Name, Planners: p.Planners, TLS: tls, Seed: cfg.Seed, Log: log},
		all: make(map[*plannerrpc.Client]bool),
	}, nil
}

// guide makes a pool's end.
func (c *clients) guide(p *config.Pool) core.Placer {
	c.mu.Lock()
	defer c.mu.Unlock()
	opt := c.opt
	opt.Pool, opt.Classes = p.Name, p.ClassNames()
	opt.Left = func(left *plannerrpc.Client) {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.all, left)
	}
	client := plannerrpc.NewClient(opt)
	c.all[client] = true
	return client
}

// move has all ends ask other planners.
func (c *clients) move(planners []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(planners, c.opt.Planners) {
		return
	}
	c.opt.Planners = planners
	for client := range c.all {
		client.Move(planners)
	}
}

// counts sums what all ends have counted.
func (c *clients) counts() (sum planner.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client := range c.all {
		n := client.Counts()
		sum.Planned += n.Planned
		sum.Alone += n.Alone
	}
	return sum
}

// placementNode is a node that places other nodes' requests: a desk for each pool.
type placementNode struct {
	start     time.Time // when the desks' clock began
	log       *slog.Logger
	server    *plannerrpc.Server
	listeners []net.Listener

	mu    sync.Mutex
	desks map[string]*desk
}

// desk is a pool's desk with the feed of its servers.
type desk struct {
	*plannerrpc.Desk
	cfg   *config.Pool
	feed  *discovery.Feed
	heard int
}

// newPlanner listens for forwarders and serves them until close; how that ends goes
// to served.
func newPlanner(cfg *config.Config, log *slog.Logger, served chan<- error) (*placementNode, error) {
	p := &placementNode{start: time.Now(), log: log, desks: make(map[string]*desk)}
	c := cfg.Planning
	tls, err := mtls.Files{Certificate: c.Certificate, Key: c.Key, Authorities: c.Authorities}.Load(plannerrpc.PlannerName)
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	p.server = plannerrpc.NewServer(tls, max(1, cfg.Limits.Peers()-plannerrpc.MaxStrangers), log)
	p.apply(cfg)
	for _, addr := range c.Listen {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			p.close()
			return nil, fmt.Errorf("listening for forwarders: %w", err)
		}
		p.listeners = append(p.listeners, ln)
	}
	for _, ln := range p.listeners {
		go func() {
			if err := p.server.Serve(ln); err != nil {
				served <- err
			}
		}()
	}
	return p, nil
}

// apply puts the pools of a configuration in force. A desk whose pool goes on keeps
// what it knows; what others had with their forwarders ends.
func (p *placementNode) apply(cfg *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := make(map[string]bool)
	for i := range cfg.Pools {
		c := &cfg.Pools[i]
		named[c.Name] = true
		was := p.desks[c.Name]
		if was != nil && c.Continues(was.cfg) {
			was.cfg = c
			was.feed.Move(c.Servers, c.Discovery)
			continue
		}
		if was != nil {
			was.feed.Leave(was.heard)
		}
		d := &desk{cfg: c, feed: discovery.NewFeed(c.Feed(p.log.With("pool", c.Name)))}
		d.Desk = plannerrpc.NewDesk(plannerrpc.DeskOptions{
			Pool: c.Name, Start: p.start, Classes: c.ClassNames(), Decide: c.Settings, Seed: cfg.Seed, Zoned: len(c.Zones) > 0,
			Watch: d.feed.Order, Log: p.log,
		})
		d.heard = d.feed.Start(d.Listed)
		p.desks[c.Name] = d
		p.server.Open(d.Desk)
	}
	for name, d := range p.desks {
		if !named[name] {
			d.feed.Leave(d.heard)
			p.server.Shut(name)
			delete(p.desks, name)
		}
	}
}

func (p *placementNode) desk(pool string) *plannerrpc.Desk {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.desks[pool]; d != nil {
		return d.Desk
	}
	return nil
}

// close ends the planner. Forwarders see their connections end and go on without.
func (p *placementNode) close() {
	for _, ln := range p.listeners {
		ln.Close()
	}
	for _, d := range p.desks {
		d.feed.Leave(d.heard)
	}
	p.server.Close()
}

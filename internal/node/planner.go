package node

import (
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"jasperpin/internal/config"
	"jasperpin/internal/discovery"
	"jasperpin/internal/plannerrpc"
)

// planningServer serves forwarders, with a planner for each pool.
type planningServer struct {
	start     time.Time // the zero of the planners' clocks
	log       *slog.Logger
	server    *plannerrpc.Server
	listeners []net.Listener

	mu    sync.Mutex // guards what follows
	pools map[string]*plannedPool
}

// plannedPool is a pool's planner with its feed of endpoints.
type plannedPool struct {
	*plannerrpc.PoolServer
	cfg          *config.Pool
	feed         *discovery.Feed
	subscription int // the planner's to the feed
}

// newPlanningServer listens for forwarders and serves them until close. A listener that fails sends
// its error to serveErrors, which has room for one of each.
func newPlanningServer(cfg *config.Config, log *slog.Logger, serveErrors chan<- error) (*planningServer, error) {
	p := &planningServer{start: time.Now(), log: log, pools: make(map[string]*plannedPool)}
	tls, err := cfg.Planning.Files.Load(plannerrpc.PlannerDNSName)
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	forwarders := max(1, cfg.Limits.PeerConnections()-plannerrpc.MaxPendingHandshakes)
	p.server = plannerrpc.NewServer(tls, forwarders, log)
	p.apply(cfg)
	for _, address := range cfg.Planning.Listen {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			p.close()
			return nil, fmt.Errorf("listening for forwarders: %w", err)
		}
		p.listeners = append(p.listeners, ln)
	}
	for _, ln := range p.listeners {
		go func() { // ends with its listener
			if err := p.server.Serve(ln); err != nil {
				serveErrors <- err
			}
		}()
	}
	return p, nil
}

// apply puts the pools of a configuration in force. The planner of a pool that continues keeps what it
// knows; the connections of forwarders to others end.
func (p *planningServer) apply(cfg *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	configured := make(map[string]bool)
	for i := range cfg.Pools {
		c := &cfg.Pools[i]
		configured[c.Name] = true
		was := p.pools[c.Name]
		if was != nil && c.CanContinue(was.cfg) {
			was.cfg = c
			was.feed.Reconfigure(c.Servers, c.Discovery)
			continue
		}
		if was != nil {
			was.feed.Unsubscribe(was.subscription)
		}
		p.pools[c.Name] = p.openPool(c, cfg.Seed)
	}
	for name, pool := range p.pools {
		if !configured[name] {
			pool.feed.Unsubscribe(pool.subscription)
			p.server.RemovePool(name)
			delete(p.pools, name)
		}
	}
}

// openPool starts a pool's planner and its feed, and serves forwarders by it.
func (p *planningServer) openPool(c *config.Pool, seed uint64) *plannedPool {
	pool := &plannedPool{cfg: c, feed: discovery.NewFeed(c.Feed(p.log.With("pool", c.Name)))}
	pool.PoolServer = plannerrpc.NewPoolServer(plannerrpc.PoolOptions{
		Pool: c.Name, Start: p.start, Classes: c.ClassNames(), Settings: c.Settings, Seed: seed, Zoned: len(c.Zones) > 0,
		Watch: pool.feed.StartWatch, Log: p.log,
	})
	pool.subscription = pool.feed.Start(pool.UpdateEndpoints)
	p.server.SetPool(pool.PoolServer)
	return pool
}

// close ends the planner. Forwarders see their connections end and go on without it.
func (p *planningServer) close() {
	for _, ln := range p.listeners {
		ln.Close()
	}
	for _, pool := range p.pools { // nothing applies a configuration any more
		pool.feed.Unsubscribe(pool.subscription)
	}
	p.server.Close()
}

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

// planningServer serves forwarders. It has a planner for each pool.
type planningServer struct {
	start     time.Time // time zero of the planners' clocks
	log       *slog.Logger
	server    *plannerrpc.Server
	listeners []net.Listener

	mu    sync.Mutex // guards the fields below
	pools map[string]*plannedPool
}

// plannedPool is a pool's planner and the feed of its endpoints.
type plannedPool struct {
	*plannerrpc.PoolServer
	cfg          *config.Pool
	feed         *discovery.Feed
	subscription int // the planner's subscription to feed
}

// newPlanningServer listens for forwarders and serves them until close. A listener that fails sends
// its error to serveErrors, which must have room for one error of each listener.
func newPlanningServer(cfg *config.Config, log *slog.Logger, serveErrors chan<- error) (*planningServer, error) {
	planning := &planningServer{start: time.Now(), log: log, pools: make(map[string]*plannedPool)}
	tls, err := cfg.Planning.Files.Load(plannerrpc.PlannerDNSName)
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	forwarders := max(1, cfg.Limits.PeerConnections()-plannerrpc.MaxPendingHandshakes)
	planning.server = plannerrpc.NewServer(tls, forwarders, log)
	planning.apply(cfg)
	for _, address := range cfg.Planning.Listen {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			planning.close()
			return nil, fmt.Errorf("listening for forwarders: %w", err)
		}
		planning.listeners = append(planning.listeners, ln)
	}
	for _, ln := range planning.listeners {
		go func() { // ends when its listener is closed
			if err := planning.server.Serve(ln); err != nil {
				serveErrors <- err
			}
		}()
	}
	return planning, nil
}

// apply applies the pools of a configuration. A pool that continues keeps its planner and the
// planner's state; forwarders' connections to the planners of other pools are closed.
func (p *planningServer) apply(cfg *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	configured := make(map[string]bool)
	for i := range cfg.Pools {
		poolConfig := &cfg.Pools[i]
		configured[poolConfig.Name] = true
		existing := p.pools[poolConfig.Name]
		if existing != nil && poolConfig.CanContinue(existing.cfg) {
			existing.cfg = poolConfig
			existing.feed.Reconfigure(poolConfig.Servers, poolConfig.Discovery)
			continue
		}
		if existing != nil {
			existing.feed.Unsubscribe(existing.subscription)
		}
		p.pools[poolConfig.Name] = p.openPool(poolConfig, cfg.Seed)
	}
	for name, pool := range p.pools {
		if !configured[name] {
			pool.feed.Unsubscribe(pool.subscription)
			p.server.RemovePool(name)
			delete(p.pools, name)
		}
	}
}

// openPool starts a pool's planner and its feed, and registers the planner with the server.
func (p *planningServer) openPool(poolConfig *config.Pool, seed uint64) *plannedPool {
	pool := &plannedPool{cfg: poolConfig, feed: discovery.NewFeed(poolConfig.Feed(p.log.With("pool", poolConfig.Name)))}
	pool.PoolServer = plannerrpc.NewPoolServer(plannerrpc.PoolOptions{
		Pool: poolConfig.Name, Start: p.start, Classes: poolConfig.ClassNames(), Settings: poolConfig.Settings, Seed: seed, Zoned: len(poolConfig.Zones) > 0,
		Watch: pool.feed.StartWatch, Log: p.log,
	})
	pool.subscription = pool.feed.Start(pool.UpdateEndpoints)
	p.server.SetPool(pool.PoolServer)
	return pool
}

// close stops the planner. Forwarders lose their connections and continue without it.
func (p *planningServer) close() {
	for _, ln := range p.listeners {
		ln.Close()
	}
	for _, pool := range p.pools { // without mu: apply is not called any more
		pool.feed.Unsubscribe(pool.subscription)
	}
	p.server.Close()
}

// Package node puts a load balancer together: fronts before services before pools
// before upstreams. It starts it, drains it and gives it new configurations.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jasperpin/internal/admin"
	"jasperpin/internal/config"
	"jasperpin/internal/consensus"
	"jasperpin/internal/core"
	"jasperpin/internal/hotrestart"
	"jasperpin/internal/httpclient"
	"jasperpin/internal/httpserver"
	"jasperpin/internal/invariant"
	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
	"jasperpin/internal/planner"
	"jasperpin/internal/plannerrpc"
	"jasperpin/internal/platform"
	"jasperpin/internal/route"
	"jasperpin/internal/service"
)

// Times of a drain, from SIGTERM. New connections come for up to 0.4 s more, and
// SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more.
const (
	newcomers = 500 * time.Millisecond
	quiet     = 100 * time.Millisecond // without a newcomer, for the accept queue to be empty
	// Counted from the longest deadline on, of which longestCounted is the most.
	longestCounted = 3 * time.Second
	lastDue        = 400 * time.Millisecond // of a final answer
	lastWhole      = 450 * time.Millisecond // for a request's last byte
	lastExit       = 550 * time.Millisecond
	// yieldMost is how long a new version leaves the clients to one that does not drain.
	yieldMost = time.Second
	// closing is how long before its end a process closes what is still at rest.
	closing = 300 * time.Millisecond
)

// gcPercent trades memory for processor time: what a node holds is small beside
// its limit, and with part of a core each collection shows in the latencies. The
// memory limit takes over where a node comes near it.
const gcPercent = 300

// Source gives a node its configuration, at its start and on reload.
type Source interface {
	// Load reads the configuration.
	Load() (*config.Config, error)
	// Reload reads it anew, and names what has changed that only a restart can put
	// in force.
	Reload(was *config.Config) (next *config.Config, restart []string, err error)
}

// Node is a running load balancer.
type Node struct {
	cfg       *config.Config
	source    Source
	log       *slog.Logger
	set       *service.Set
	front     *httpserver.Front
	room      *httpclient.ConnectionLimiter
	clients   *clients       // of a forwarder
	planner   *placementNode // which has nothing of what serves clients
	listeners []net.Listener
	served    chan error
	process   bool // keep the process within the limits
	door      *admin.Server
	figures   *metrics.Registry
	draining  atomic.Bool
	fleet     *fleetMember         // nil where it meets no others
	group     *consensus.Instance  // nil where the node belongs to none
	remote    *remote              // nil where pools and services are in the file
	line      *hotrestart.Handover // of this node's processes; nil where it has no folder
	shares    chan hotrestart.Processes
	share     hotrestart.Processes
	accepting bool
}

// Start listens and serves until Run ends it.
func Start(source Source, log *slog.Logger) (*Node, error) {
	cfg, err := source.Load()
	if err == nil {
		err = fit(cfg, log)
	}
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, source: source, log: log, figures: metrics.New(), shares: make(chan hotrestart.Processes, 1), share: hotrestart.Processes{Of: 1}}
	n.figures.Broken = invariant.New(log)
	if err := n.start(); err != nil {
		n.unlisten()
		n.remote.close()
		n.fleet.close()
		if n.group != nil {
			n.group.Close()
		}
		return nil, err
	}
	return n, nil
}

// fit fits a configuration's limits to what the system lets the process open, and to the
// connections that are there whatever clients do: a crowd of them must leave room for these.
func fit(cfg *config.Config, log *slog.Logger) error {
	var may syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &may); err != nil {
		return fmt.Errorf("asking how many descriptors there may be: %w", err)
	}
	if most := int(min(may.Cur, math.MaxInt32)); most < cfg.Limits.Descriptors {
		if most < limit.LeastDescriptors {
			return fmt.Errorf("the system lets this process open %d descriptors: want %d at the least (ulimit -n)", most, limit.LeastDescriptors)
		}
		log.Warn("the system lets this process open fewer descriptors than its limits say", "limits", cfg.Limits.Descriptors, "system", most)
		cfg.Limits.Descriptors = most
	}
	watched := 0
	for i := range cfg.Pools {
		if cfg.Pools[i].Discovery != "" {
			watched++
		}
	}
	return links(cfg, len(cfg.Pools), watched)
}

// links has the limits leave room for the connections that so many pools keep, some of which watch
// a discovery.
func links(cfg *config.Config, pools, watched int) error {
	n := pools*len(cfg.Planning.Planners) + watched
	if cfg.Remote.On() {
		n++
	}
	if err := cfg.Limits.Links(n); err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	return nil
}

func (n *Node) start() (err error) {
	cfg, log := n.cfg, n.log
	if c := cfg.Cluster; c.On() {
		n.group, err = consensus.Open(consensus.InstanceOptions{
			Name: cfg.Name, Voters: c.Voters, Listen: c.Listen, Folder: c.Folder, Files: c.Files, Lease: c.Lease, Log: log,
		})
		if err != nil {
			return fmt.Errorf("the group: %w", err)
		}
	}
	var guide service.NewPlacer
	switch cfg.Role {
	case config.Planner:
		n.served = make(chan error, len(cfg.Planning.Listen))
		if n.planner, err = newPlanner(cfg, log, n.served); err != nil {
			return err
		}
		log.Info("planning", "name", cfg.Name, "listen", n.Addrs())
		return n.openDoor()
	case config.Forwarder:
		if n.clients, err = newClients(cfg, log); err != nil {
			return err
		}
		guide = n.clients.guide
	}
	known := n.meet()
	if err := n.listen(known.Listeners); err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	// Apply configures the room; until then there is none.
	if n.room, err = httpclient.NewConnectionLimiter(0, nil); err == nil {
		n.set, err = service.New(cfg, n.room, n.upstream, guide, known.Pools, n.figures, log)
	}
	if err != nil {
		return err
	}
	if err := n.join(); err != nil {
		return fmt.Errorf("the members: %w", err)
	}
	n.front = httpserver.New(n.set, n.machine(), log)
	n.front.Spare(n.room.Spare)
	n.served = make(chan error, len(n.listeners))
	if err := n.follow(); err != nil {
		return err
	}
	n.part(n.share)
	if err := n.line.Listen(n.kin()); err != nil {
		// A path too long, say: it serves, and a new version will know nothing of it.
		log.Warn("a new version will not find this process", "err", err)
	}
	log.Info("serving", "name", cfg.Name, "listen", n.Addrs())
	return n.openDoor()
}

// listen opens the addresses for clients, but for those that the process before hands
// over, and the first where a descriptor that listens there is inherited.
func (n *Node) listen(handed map[string]net.Listener) error {
	defer func() {
		for _, ln := range handed { // an address that is not wanted any more
			ln.Close()
		}
	}()
	for i, addr := range n.cfg.Listen {
		var ln net.Listener
		var err error
		switch {
		case i == 0 && n.cfg.Inherited > 0:
			ln, err = inherit(n.cfg.Inherited)
		case handed[addr] != nil:
			ln = handed[addr]
			delete(handed, addr)
		default:
			ln, err = net.Listen("tcp", addr)
		}
		if err != nil {
			return err
		}
		n.listeners = append(n.listeners, ln)
	}
	return nil
}

// inherit takes a descriptor that listens already.
func inherit(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	}
	defer f.Close() // the listener has a copy of its own
	return net.FileListener(f)
}

func (n *Node) unlisten() {
	for _, ln := range n.listeners {
		ln.Close()
	}
}

// Addrs are the addresses that the node listens at, in the order of its
// configuration: for clients, or a planner's for forwarders.
func (n *Node) Addrs() []string {
	var addrs []string
	listeners := n.listeners
	if n.planner != nil {
		listeners = n.planner.listeners
	}
	for _, ln := range listeners {
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs
}

// Room tells of the connections to servers.
func (n *Node) Room() *httpclient.ConnectionLimiter { return n.room }

// Planned counts a forwarder's requests, by who chose the server of their first
// attempt.
func (n *Node) Planned() planner.Counts { return n.clients.counts() }

// Desk is a planner's desk of a pool, or nil.
func (n *Node) Desk(pool string) *plannerrpc.Desk { return n.planner.desk(pool) }

// upstream makes a pool's upstream.
func (n *Node) upstream(p *config.Pool) core.Upstream {
	return httpclient.New(httpclient.Options{Name: p.Name, DialTimeout: p.DialTimeout, KeepAlive: p.Settings.IdleTimeout, Plain: p.Plain, MaxBody: p.Body}, n.room)
}

// Run serves until ctx ends, then drains, and returns nil once all that was taken
// is answered. What comes on reload has the configuration read anew; one that
// cannot be read or put in force leaves the old one as it is.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal) error {
	defer n.close()
	patience := time.After(yieldMost)
	for {
		select {
		case err := <-n.served:
			return fmt.Errorf("serving clients: %w", err)
		case <-reload:
			n.reload()
		case s := <-n.shares:
			n.part(s)
		case <-patience:
			n.accept()
		case p := <-n.remote.news():
			p.done <- p.put()
		case <-ctx.Done():
			if n.planner != nil {
				return nil // it holds no request: forwarders go on without it
			}
			return n.drain()
		}
	}
}

func (n *Node) close() {
	if n.door != nil {
		n.door.Close()
	}
	n.remote.close()
	n.fleet.close() // before the lease that it goes by
	if n.group != nil {
		n.group.Close()
	}
	n.line.Close()
	if n.planner != nil {
		n.planner.close()
		return
	}
	n.set.Close()
}

// apply puts a configuration in force.
func (n *Node) apply(cfg *config.Config) error {
	if n.planner != nil {
		n.planner.apply(cfg)
		return nil
	}
	put := n.set.Apply
	if n.remote != nil {
		put = n.set.Reterm
	}
	if err := put(cfg); err != nil {
		return err
	}
	if n.clients != nil {
		n.clients.move(cfg.Planning.Planners)
	}
	return nil
}

func (n *Node) reload() {
	next, restart, err := n.source.Reload(n.cfg)
	if err == nil {
		err = fit(next, n.log)
	}
	if err == nil && n.remote != nil {
		err = links(next, n.remote.pools, n.remote.watched)
	}
	if err == nil {
		err = n.apply(next)
	}
	if err != nil {
		n.figures.Invalid.Add(1)
		n.log.Error("reload failed, the old configuration stays", "err", err)
		return
	}
	was := n.cfg.Limits
	if n.cfg = next; next.Limits != was || n.share.Of > 1 {
		n.part(n.share)
	}
	n.remote.again()
	n.figures.Accepted.Add(1)
	n.log.Info("reloaded", "services", len(next.Services), "pools", len(next.Pools))
	if len(restart) > 0 {
		n.log.Warn("changes that wait for a restart", "fields", restart)
	}
}

// Limit keeps the process within the node's limits of cores and memory, and those
// of later configurations. It is for a process that the node has to itself.
func (n *Node) Limit() {
	n.process = true
	keep(n.machine())
}

func keep(m limit.Machine) {
	runtime.GOMAXPROCS(int(math.Ceil(m.Cores)))
	debug.SetMemoryLimit(m.Heap())
	debug.SetGCPercent(gcPercent)
}

// longest is the longest time that a request may still take, as the platform counts it
// before it kills a process that was told to end.
func (n *Node) longest() time.Duration {
	longest := n.set.Longest()
	if longest == 0 {
		return longestCounted
	}
	return min(longest, longestCounted)
}

// drain answers what has been taken and takes what still comes: newcomers may
// hold whole requests before the node has accepted them.
func (n *Node) drain() error {
	began := time.Now()
	heir := n.line.HasSuccessor()
	n.log.Info("draining", "successor", heir)
	n.draining.Store(true)
	n.remote.end()
	n.front.Drain()
	var left sync.WaitGroup
	left.Go(n.fleet.leave) // what is out is ended without a part: it begins nothing more at cold servers
	n.set.DrainBy(began.Add(n.longest() + lastDue))
	last := began.Add(n.longest() + lastExit)
	if heir {
		n.handOver(last.Add(-closing))
	} else {
		time.Sleep(newcomers)
		most := min(2*newcomers, n.longest()+lastWhole) // with short deadlines the end comes sooner
		for seen := int64(-1); seen != n.front.Accepted() && time.Since(began)+quiet < most; time.Sleep(quiet) {
			seen = n.front.Accepted()
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), last)
	defer cancel()
	err := n.front.Shutdown(ctx, began.Add(n.longest()+lastWhole))
	left.Wait()
	n.log.Info("drained", "after", time.Since(began).Round(time.Millisecond).String())
	if err != nil {
		return fmt.Errorf("closing clients' connections: %w", err)
	}
	return nil
}

// File is a Source: the file that the operator owns.
type File struct {
	Path string
	// Control goes before the file's, where set: a new version beside the running one
	// needs a door of its own.
	Control string
}

// Load reads the file.
func (f File) Load() (*config.Config, error) {
	cfg, err := config.Load(f.Path)
	if err == nil && f.Control != "" {
		cfg.Control = f.Control
	}
	return cfg, err
}

// Reload reads the file anew. Listeners are laid out once.
func (f File) Reload(was *config.Config) (*config.Config, []string, error) {
	next, err := f.Load()
	if err != nil {
		return nil, nil, err
	}
	if was.Role != next.Role {
		return nil, nil, fmt.Errorf("node.role is %s and was %s: a node changes its role by a restart", next.Role, was.Role)
	}
	var restart []string
	keep := func(key string, was, is *[]string) {
		if !slices.Equal(*was, *is) {
			*is = *was
			restart = append(restart, key)
		}
	}
	keep("node.listen", &was.Listen, &next.Listen)
	if was.Control != next.Control || was.Private != next.Private {
		next.Control, next.Private = was.Control, was.Private
		restart = append(restart, "node.control and private")
	}
	if !reflect.DeepEqual(was.Cluster, next.Cluster) {
		next.Cluster = was.Cluster
		restart = append(restart, "cluster")
	}
	if !reflect.DeepEqual(was.Members, next.Members) {
		next.Members = was.Members
		restart = append(restart, "members")
	}
	if !reflect.DeepEqual(was.Remote, next.Remote) {
		if was.Remote.On() != next.Remote.On() {
			return nil, nil, errors.New("[config] comes or goes: a node learns where its pools and services are by a restart")
		}
		next.Remote = was.Remote
		restart = append(restart, "config")
	}
	if was.Remote.On() && (was.Number != next.Number || was.Nodes != next.Nodes) { // which each pool was told
		next.Number, next.Nodes = was.Number, was.Nodes
		restart = append(restart, "node.number and nodes")
	}
	if was.Keys.Durable != next.Keys.Durable {
		next.Keys.Durable = was.Keys.Durable
		restart = append(restart, "keys.durable")
	}
	keep("planning.listen", &was.Planning.Listen, &next.Planning.Listen)
	w, is := was.Planning, &next.Planning
	if w.Certificate != is.Certificate || w.Key != is.Key || w.Authorities != is.Authorities {
		is.Certificate, is.Key, is.Authorities = w.Certificate, w.Key, w.Authorities
		restart = append(restart, "planning.certificate, key and authorities")
	}
	return next, restart, nil
}

// Platform is a Source: what the platform tells in its environment.
type Platform struct {
	Getenv func(string) string
	told   *platform.Config
}

// Load reads the platform's file: one service with one pool, which has all limits
// to itself.
func (p *Platform) Load() (*config.Config, error) {
	told, err := platform.Load(p.Getenv)
	if err != nil {
		return nil, err
	}
	p.told = told
	return single(told), nil
}

// Reload reads the file anew. Discovery and settings take effect, and all else waits.
func (p *Platform) Reload(*config.Config) (*config.Config, []string, error) {
	next, err := p.told.Reload(p.Getenv)
	if err != nil {
		return nil, nil, err
	}
	restart := p.told.RestartOnly(next)
	next.Name, next.Listen, next.Inherited, next.Control, next.Private = p.told.Name, p.told.Listen, p.told.Inherited, p.told.Control, p.told.Private
	next.Seed, next.Limits, next.Known = p.told.Seed, p.told.Limits, p.told.Known
	p.told = next
	return single(next), restart, nil
}

func single(c *platform.Config) *config.Config {
	return &config.Config{
		Name: c.Name, Listen: []string{c.Listen}, Inherited: c.Inherited, Control: c.Control, Private: c.Private, Seed: c.Seed, Limits: c.Limits,
		Services: []config.Service{{Routes: []route.Rule{{Targets: []route.Target{{Weight: 1}}, Origin: "the platform"}}}},
		Pools: []config.Pool{{
			Share: 1, Discovery: c.Discovery, Known: c.Known, Zones: c.Zones, Classes: c.Classes,
			Settings: c.Settings, DialTimeout: c.DialTimeout, Body: core.MaxBody,
		}},
	}
}

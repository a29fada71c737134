// Package node assembles a load balancer from its parts: an HTTP server that accepts clients'
// requests, services that admit them, and pools that send them to upstream servers. It starts a
// node, applies new configurations to it and drains it.
//
// A node has one of three roles. A plain node and a forwarder serve clients; a forwarder's pools ask
// planners where to place requests. A planner serves only forwarders.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"jasperpin/internal/admin"
	"jasperpin/internal/config"
	"jasperpin/internal/consensus"
	"jasperpin/internal/core"
	"jasperpin/internal/descriptors"
	"jasperpin/internal/hotrestart"
	"jasperpin/internal/httpclient"
	"jasperpin/internal/httpserver"
	"jasperpin/internal/invariant"
	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
	"jasperpin/internal/service"
)

// Node is a running load balancer.
//
// Start initializes its fields. After that, only the goroutine of Run may use the fields that change.
// Other goroutines, such as those of the admin server and of the handover, use the fields that do not
// change, and send updates to Run.
type Node struct {
	log     *slog.Logger
	source  Source
	metrics *metrics.Registry

	cfg       *config.Config // the current configuration
	processes hotrestart.Processes
	accepting bool // whether the node accepts clients' connections
	// limitProcess is true if the process is restricted to the node's limits of cores and memory: see
	// LimitProcess.
	limitProcess bool

	// The parts that serve clients; nil at a planner.
	services    *service.Set
	server      *httpserver.Server
	connections *httpclient.ConnectionLimiter // limiter of connections to upstream servers
	reserve     *descriptors.Reserve          // of descriptors, for connections if no others are free
	listeners   []net.Listener                // client listeners, in the order of the configuration's addresses
	handover    *hotrestart.Handover          // nil without a private directory
	fleet       *fleetMember                  // nil without [members]
	remote      *remoteConfig                 // nil if the file defines pools and services

	plannerClients *plannerClients           // nil except at a forwarder
	planner        *planningServer           // nil except at a planner
	cluster        *consensus.Instance       // nil without [cluster]
	admin          *admin.Server             // nil if no admin address is configured
	draining       atomic.Bool               // set by Run, read by the admin server
	serveErrors    chan error                // results of the goroutines that accept connections
	processUpdates chan hotrestart.Processes // the newest value, for Run; capacity 1
}

// Start loads the configuration from source, listens and begins to serve. The node serves until Run
// returns. An error names the part that failed to start; nothing is left running then.
func Start(source Source, log *slog.Logger) (*Node, error) {
	cfg, err := source.Load()
	if err != nil {
		return nil, err
	}
	if err := fitLimits(cfg, log); err != nil {
		return nil, err
	}
	n := &Node{
		log: log, source: source, metrics: metrics.New(), cfg: cfg,
		processes:      hotrestart.Processes{Count: 1},
		processUpdates: make(chan hotrestart.Processes, 1),
	}
	n.metrics.Violations = invariant.New(log)
	if err := n.start(); err != nil {
		n.closeListeners()
		n.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) start() error {
	if err := n.openCluster(); err != nil {
		return err
	}
	if n.cfg.Role == config.Planner {
		return n.startPlanning()
	}
	return n.startServing()
}

// openCluster opens the node's instance of its consensus group, if the node belongs to one.
func (n *Node) openCluster() error {
	c := n.cfg.Cluster
	if !c.Enabled() {
		return nil
	}
	instance, err := consensus.OpenInstance(consensus.InstanceOptions{
		Name: n.cfg.Name, Voters: c.Voters, Listen: c.Listen, Dir: c.Directory, Files: c.Files, LeaseTTL: c.Lease, Log: n.log,
	})
	if err != nil {
		return fmt.Errorf("joining the consensus group: %w", err)
	}
	n.cluster = instance
	return nil
}

// startPlanning starts a planner.
func (n *Node) startPlanning() error {
	n.serveErrors = make(chan error, len(n.cfg.Planning.Listen))
	var err error
	if n.planner, err = newPlanningServer(n.cfg, n.log, n.serveErrors); err != nil {
		return err
	}
	n.log.Info("planning", "node", n.cfg.Name, "listen", n.Addrs())
	return n.openAdmin()
}

// startServing starts a plain node or a forwarder. It accepts clients last, and only once no
// predecessor accepts clients.
func (n *Node) startServing() error {
	if n.cfg.Role == config.Forwarder {
		var err error
		if n.plannerClients, err = newPlannerClients(n.cfg, n.log); err != nil {
			return err
		}
	}
	inherited := n.connectPredecessor()
	if err := n.listen(inherited.Listeners); err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	if err := n.startServices(inherited.Pools); err != nil {
		return err
	}
	if err := n.joinFleet(); err != nil {
		return fmt.Errorf("joining the fleet: %w", err)
	}
	n.server = httpserver.New(n.services, n.machineLimits(), n.log)
	n.server.SetDescriptorReleaser(n.connections.CloseOneIdle)
	n.server.SetDescriptorReserve(n.useReserve)
	n.serveErrors = make(chan error, len(n.listeners))
	if err := n.followRemoteConfig(); err != nil {
		return err
	}
	n.setProcesses(n.processes)
	if err := n.handover.Listen(n.newHandoverNode()); err != nil {
		// The path may be too long, for example. This process serves, and a new version starts without
		// its state.
		n.log.Warn("hot restart: listening for a successor failed", "err", err)
	}
	n.log.Info("serving", "node", n.cfg.Name, "listen", n.Addrs())
	return n.openAdmin()
}

// startServices starts the services and pools, with the pools' state that a predecessor handed over.
func (n *Node) startServices(snapshots map[string]core.Snapshot) error {
	var err error
	// No connection is allowed until the services' configuration sets the limit.
	if n.connections, err = httpclient.NewConnectionLimiter(0, nil); err != nil {
		return err
	}
	n.reserve = descriptors.NewReserve(limit.ReserveDescriptors)
	n.connections.ReserveDescriptor = n.useReserve
	var newPlacer service.NewPlacer
	if n.plannerClients != nil {
		newPlacer = n.plannerClients.newPlacer
	}
	n.services, err = service.New(n.cfg, n.connections, n.newUpstream, newPlacer, snapshots, n.metrics, n.log)
	return err
}

// useReserve closes a descriptor in reserve for a connection, and reports whether there was one.
func (n *Node) useReserve() bool {
	if !n.reserve.Release() {
		return false
	}
	n.metrics.Admission.ReserveUsed.Add(1)
	return true
}

// newUpstream returns the client that sends a pool's requests to its servers.
func (n *Node) newUpstream(p *config.Pool) core.Upstream {
	return httpclient.New(httpclient.Options{
		Name: p.Name, DialTimeout: p.DialTimeout, KeepAlive: p.Settings.IdleTimeout, Plain: p.PlainHTTP, MaxBody: p.MaxBodyBytes,
	}, n.connections)
}

// Run serves until ctx is done, then drains, and returns nil once all accepted requests are answered.
// For each value received from reload it loads and applies the configuration again; if the new one is
// invalid or cannot be applied, the current one stays. Run returns an error if a listener fails or if
// clients' connections cannot all be closed in time.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal) error {
	defer n.close()
	takeover := time.After(takeoverTimeout)
	for {
		select {
		case err := <-n.serveErrors:
			return fmt.Errorf("serving clients: %w", err)
		case <-reload:
			n.reload()
		case p := <-n.processUpdates:
			n.setProcesses(p)
		case <-takeover:
			n.acceptClients()
		case u := <-n.remote.pendingUpdates():
			u.done <- u.apply()
		case <-ctx.Done():
			if n.planner != nil {
				return nil // it has no open requests: forwarders continue without it
			}
			return n.drain()
		}
	}
}

// close closes the parts of the node that have been started, except the client listeners.
func (n *Node) close() {
	if n.admin != nil {
		n.admin.Close()
	}
	n.remote.close()
	n.fleet.close() // before the cluster, whose lease it depends on
	if n.cluster != nil {
		n.cluster.Close()
	}
	n.handover.Close()
	if n.planner != nil {
		n.planner.close()
	}
	if n.services != nil {
		n.services.Close()
	}
	if n.reserve != nil {
		n.reserve.Close()
	}
}

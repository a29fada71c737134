// Package node assembles a load balancer from its parts: servers of client requests before services,
// services before pools, pools before upstream servers. It starts a node, gives it new
// configurations and drains it.
//
// A node has one of three roles. A plain node and a forwarder serve clients; a forwarder's pools ask
// planners where to place requests. A planner serves forwarders alone.
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
	"jasperpin/internal/hotrestart"
	"jasperpin/internal/httpclient"
	"jasperpin/internal/httpserver"
	"jasperpin/internal/invariant"
	"jasperpin/internal/metrics"
	"jasperpin/internal/service"
)

// Node is a running load balancer.
//
// Start sets its fields up; from then on the goroutine of Run owns those that change. Other
// goroutines, as those of the admin server and of the handover, use the fields that do not change
// and send what is to be changed to Run.
type Node struct {
	log     *slog.Logger
	source  Source
	metrics *metrics.Registry

	cfg       *config.Config // in force
	processes hotrestart.Processes
	accepting bool // clients' connections
	// limitProcess says that the process is kept within the node's limits of cores and memory: see
	// LimitProcess.
	limitProcess bool

	// What serves clients; nil at a planner.
	services    *service.Set
	server      *httpserver.Server
	connections *httpclient.ConnectionLimiter // to upstream servers
	listeners   []net.Listener                // in the order of the configuration's addresses
	handover    *hotrestart.Handover          // nil without a private directory
	fleet       *fleetMember                  // nil without [members]
	remote      *remoteConfig                 // nil where the file has pools and services

	plannerClients *plannerClients           // of a forwarder, or nil
	planner        *planningServer           // of a planner, or nil
	cluster        *consensus.Instance       // nil without [cluster]
	admin          *admin.Server             // nil without an address for it
	draining       atomic.Bool               // set by Run, read by the admin server
	serveErrors    chan error                // of the goroutines that accept connections
	processUpdates chan hotrestart.Processes // the newest, for Run
}

// Start reads a source's configuration, listens, and serves until Run returns. Its errors say which
// part could not be started; nothing runs then.
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
		n.remote.close()
		n.fleet.close()
		if n.cluster != nil {
			n.cluster.Close()
		}
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

// openCluster makes the node an instance of its consensus group, where it belongs to one.
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

// startServing starts a plain node or a forwarder. Clients are accepted last, and only once no
// predecessor accepts them.
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
	n.serveErrors = make(chan error, len(n.listeners))
	if err := n.followRemoteConfig(); err != nil {
		return err
	}
	n.setProcesses(n.processes)
	if err := n.handover.Listen(n.newHandoverNode()); err != nil {
		// A path that is too long, say. This process serves, and a new version starts from nothing.
		n.log.Warn("hot restart: no successor will find this process", "err", err)
	}
	n.log.Info("serving", "node", n.cfg.Name, "listen", n.Addrs())
	return n.openAdmin()
}

// startServices starts the services and pools with what a predecessor learned of the pools.
func (n *Node) startServices(known map[string]core.Snapshot) error {
	var err error
	// No connection is allowed until the services' configuration sets the limit.
	if n.connections, err = httpclient.NewConnectionLimiter(0, nil); err != nil {
		return err
	}
	var newPlacer service.NewPlacer
	if n.plannerClients != nil {
		newPlacer = n.plannerClients.newPlacer
	}
	n.services, err = service.New(n.cfg, n.connections, n.newUpstream, newPlacer, known, n.metrics, n.log)
	return err
}

// newUpstream makes a pool's connections to its servers.
func (n *Node) newUpstream(p *config.Pool) core.Upstream {
	return httpclient.New(httpclient.Options{
		Name: p.Name, DialTimeout: p.DialTimeout, KeepAlive: p.Settings.IdleTimeout, Plain: p.PlainHTTP, MaxBody: p.MaxBodyBytes,
	}, n.connections)
}

// Run serves until ctx ends, drains, and returns nil once all accepted requests are answered. Each
// value on reload has the configuration read anew; one that cannot be read or put in force leaves
// the old one as it is. It returns an error where a listener fails, or where clients' connections
// could not all be closed in time.
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
				return nil // it holds no request: forwarders go on without it
			}
			return n.drain()
		}
	}
}

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
		return
	}
	n.services.Close()
}

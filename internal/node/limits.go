package node

import (
	"fmt"
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"jasperpin/internal/config"
	"jasperpin/internal/hotrestart"
	"jasperpin/internal/limit"
)

// gcPercent trades memory for processor time: the live heap of a node is small compared with its limit,
// and with a fraction of a core each collection shows in the latencies. Near the memory limit,
// that limit determines when collections run. The unit is percent of the live heap, as in
// debug.SetGCPercent.
const gcPercent = 300

// fitLimits lowers a configuration's number of descriptors to the number that the system allows the
// process, and reserves the connections that exist independently of clients.
func fitLimits(cfg *config.Config, log *slog.Logger) error {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err != nil {
		return fmt.Errorf("reading the system's descriptor limit: %w", err)
	}
	if system := int(min(allowed.Cur, math.MaxInt32)); system < cfg.Limits.Descriptors {
		if system < limit.MinNodeDescriptors {
			return fmt.Errorf("the system allows this process %d descriptors: want at least %d (ulimit -n)", system, limit.MinNodeDescriptors)
		}
		log.Warn("the system allows fewer descriptors than limits.descriptors", "configured", cfg.Limits.Descriptors, "descriptors", system)
		cfg.Limits.Descriptors = system
	}
	watched := 0
	for i := range cfg.Pools {
		if cfg.Pools[i].Discovery != "" {
			watched++
		}
	}
	return reserveConnections(cfg, len(cfg.Pools), watched)
}

// reserveConnections reserves descriptors for the permanent connections of a number of pools, some of
// which watch discovery. They must remain available however many clients connect.
func reserveConnections(cfg *config.Config, pools, watched int) error {
	connections := pools*len(cfg.Planning.Planners) + watched
	if cfg.Remote.Enabled() {
		connections++ // the connection to a relay
	}
	if err := cfg.Limits.ReserveConnections(connections); err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	return nil
}

// LimitProcess applies the node's limits of cores and memory, and those of later configurations, to
// the whole process. Call it before Run, and only in a process that runs nothing besides the node.
func (n *Node) LimitProcess() {
	n.limitProcess = true
	limitRuntime(n.machineLimits())
}

func limitRuntime(m limit.Machine) {
	runtime.GOMAXPROCS(int(math.Ceil(m.Cores)))
	debug.SetMemoryLimit(m.HeapLimit())
	debug.SetGCPercent(gcPercent)
}

// machineLimits returns this process's part of the node's limits. While the only other process drains,
// this part is all that the other process does not use. Clients whose connections the other process closes
// reconnect to this process, which must have room for each client: otherwise it would close connections of
// other clients, which would reconnect at once.
func (n *Node) machineLimits() limit.Machine {
	if n.processes.PredecessorDraining {
		return n.cfg.Limits.WhileDraining(n.processes.PredecessorHeld)
	}
	return n.cfg.Limits.Split(n.processes.Count)
}

// setProcesses applies the number and state of the processes that share the machine: it sets this
// process's part of the limits, and accepts clients unless a predecessor still does.
func (n *Node) setProcesses(p hotrestart.Processes) {
	n.processes = p
	m := n.machineLimits()
	if n.server != nil {
		n.server.SetMachine(m)
	}
	if n.services != nil {
		if err := n.services.Resize(m); err != nil {
			n.log.Error("hot restart: applying this process's part of the limits failed", "processes", p.Count, "err", err)
		}
	}
	if n.limitProcess {
		limitRuntime(m)
	}
	if !p.AwaitDrain {
		n.acceptClients()
	}
}

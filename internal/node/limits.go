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

// gcPercent trades memory for processor time: what a node holds is small beside its limit, and with
// part of a core each collection shows in the latencies. The memory limit takes over where the node
// comes near it. The unit is percent of the live heap, as of debug.SetGCPercent.
const gcPercent = 300

// fitLimits lowers a configuration's descriptors to what the system allows the process, and
// reserves the connections that are there whatever clients do.
func fitLimits(cfg *config.Config, log *slog.Logger) error {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err != nil {
		return fmt.Errorf("reading the system's limit of descriptors: %w", err)
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

// reserveConnections keeps descriptors for the connections that a number of pools, some of which
// watch a discovery, have at all times: however many clients connect, these must remain available.
func reserveConnections(cfg *config.Config, pools, watched int) error {
	connections := pools*len(cfg.Planning.Planners) + watched
	if cfg.Remote.Enabled() {
		connections++ // to a relay
	}
	if err := cfg.Limits.ReserveConnections(connections); err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	return nil
}

// LimitProcess keeps the process within the node's limits of cores and memory, and those of later
// configurations. It is for a process that the node has to itself, and is called before Run.
func (n *Node) LimitProcess() {
	n.limitProcess = true
	limitRuntime(n.machineLimits())
}

func limitRuntime(m limit.Machine) {
	runtime.GOMAXPROCS(int(math.Ceil(m.Cores)))
	debug.SetMemoryLimit(m.HeapLimit())
	debug.SetGCPercent(gcPercent)
}

// machineLimits is this process's part of the node's limits. Where the only other process drains it
// is all that the other does not hold. Clients that the other closes on come to this process, which
// must have a place for each: it would close on others otherwise, and they would come again at once.
func (n *Node) machineLimits() limit.Machine {
	if n.processes.PredecessorDraining {
		return n.cfg.Limits.WhileDraining(n.processes.PredecessorHeld)
	}
	return n.cfg.Limits.Split(n.processes.Count)
}

// setProcesses applies which processes share the machine: this process's part of the limits, and
// whether it accepts clients.
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

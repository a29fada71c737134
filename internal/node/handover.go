package node

import (
	"net"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/hotrestart"
	"jasperpin/internal/requestid"
)

// takeoverTimeout is how long a new process leaves new clients to a predecessor that does not drain.
// After that it accepts clients too, so that they do not wait for a predecessor that hangs.
const takeoverTimeout = time.Second

// connectPredecessor connects to the node's running process, if any, and returns the state that it
// hands over.
func (n *Node) connectPredecessor() hotrestart.Inherited {
	handover, inherited := hotrestart.Connect(n.cfg.PrivateDirectory, n.log)
	n.handover, n.processes = handover, handover.Processes()
	return inherited
}

// handoverNode implements hotrestart.Node for a node.
type handoverNode struct {
	*Node
	handedOver map[string]net.Listener // listeners handed over to a successor, by configured address
}

// newHandoverNode returns the node for its handover, with the listeners that it opened or received. If
// the first listener was inherited from the parent process, there are none: a successor inherits its
// listener from there too.
func (n *Node) newHandoverNode() handoverNode {
	h := handoverNode{n, make(map[string]net.Listener)}
	if n.cfg.InheritedDescriptor == 0 {
		for i, ln := range n.listeners {
			h.handedOver[n.cfg.Listen[i]] = ln
		}
	}
	return h
}

// Snapshots returns the state of each pool.
func (h handoverNode) Snapshots() map[string]core.Snapshot { return h.services.Snapshot() }

// Listeners returns the listeners that a successor continues to use.
func (h handoverNode) Listeners() map[string]net.Listener { return h.handedOver }

// ApplyMaintenance applies an operator's call that another process received, also for a pool or a server that this
// process does not know yet.
func (h handoverNode) ApplyMaintenance(call hotrestart.MaintenanceCall) {
	apply := h.services.Include
	if call.Out {
		apply = h.services.ExcludeUnlisted
	}
	if err := apply(call.Pool, call.Server); err != nil {
		h.log.Warn("hot restart: another process's maintenance call failed", "pool", call.Pool, "server_id", call.Server, "out", call.Out, "err", err)
		return
	}
	h.log.Info("hot restart: another process's maintenance call applied", "pool", call.Pool, "server_id", call.Server, "out", call.Out)
}

// RequestIDs returns the changes of each pool's request IDs or, if all is set, all that are open.
func (h handoverNode) RequestIDs(to requestid.Neighbor, all bool) map[string]requestid.Update {
	return h.services.RequestIDs(to, all)
}

// ApplyPeerRequestIDs applies another process's changes.
func (h handoverNode) ApplyPeerRequestIDs(from requestid.Neighbor, updates map[string]requestid.Update) {
	for name, update := range updates {
		if err := h.services.ApplyPeerRequestIDs(name, from, update); err != nil {
			h.log.Warn("hot restart: another process's request IDs rejected", "pool", name, "err", err)
		}
	}
}

// ForgetPeerRequestIDs frees the request IDs of a process that has ended, in all pools.
func (h handoverNode) ForgetPeerRequestIDs(side requestid.Neighbor) {
	h.services.ForgetPeerRequestIDs(side)
}

// SetProcesses sends the newest value to the goroutine of Run and drops an older one that is pending.
func (h handoverNode) SetProcesses(p hotrestart.Processes) {
	for {
		select {
		case h.processUpdates <- p:
			return
		default:
		}
		select {
		case <-h.processUpdates: // drop the older value
		default:
		}
	}
}

package hotrestart

import (
	"time"

	"jasperpin/internal/requestid"
)

// sideNames are the log's names of a neighbor.
var sideNames = map[requestid.Neighbor]string{requestid.Predecessor: "predecessor", requestid.Successor: "successor"}

// receive handles another process's messages until its connection ends.
func (h *Handover) receive(peer *peerConn, side requestid.Neighbor) {
	for {
		m, err := peer.read()
		if err != nil {
			break // the process ended, or its messages cannot be read: it counts as ended either way
		}
		h.handle(peer, side, m)
	}
	peer.conn.Close()
	h.removePeer(side)
}

// handle applies one message.
func (h *Handover) handle(from *peerConn, side requestid.Neighbor, m message) {
	neighbors := h.updateChain(side, m)
	if len(m.RequestIDs) > 0 {
		h.node.ApplyPeerRequestIDs(side, m.RequestIDs)
	}
	if m.Call != nil {
		h.node.ApplyMaintenance(*m.Call)
		for _, peer := range neighbors {
			if peer != from {
				peer.write(message{Call: m.Call})
			}
		}
	}
	if m.ProcessCount > 0 || m.Drain != nil {
		h.node.SetProcesses(h.Processes())
	}
}

// updateChain applies what a message says of the node's processes, and returns the neighbors at
// that moment.
func (h *Handover) updateChain(side requestid.Neighbor, m message) []*peerConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.ProcessCount > 0 && side == requestid.Successor {
		h.chain.successors = m.ProcessCount
	}
	if m.ProcessCount > 0 && side == requestid.Predecessor {
		h.chain.predecessors = m.ProcessCount
	}
	if m.Drain != nil && side == requestid.Predecessor {
		h.chain.drain = m.Drain
	}
	return h.neighborsLocked()
}

// removePeer forgets a process whose connection has ended, and says so to the node and to the
// other neighbor. It does nothing once the Handover is closed.
func (h *Handover) removePeer(side requestid.Neighbor) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.node.ForgetPeerRequestIDs(side)
	var bindErr error
	if side == requestid.Predecessor {
		h.predecessor, h.chain.predecessors, h.chain.drain = nil, 0, nil
	} else {
		h.successor, h.chain.successors = nil, 0
		bindErr = h.bind() // it failed, or ended early: the next new version is to find this process
	}
	predecessor, successor, chain := h.predecessor, h.successor, h.chain
	h.mu.Unlock()
	if bindErr != nil {
		h.log.Warn("hot restart: no successor will find this process", "err", bindErr)
	}
	h.log.Info("hot restart: process has ended", "peer", sideNames[side], "processes", chain.processes().Count)
	h.node.SetProcesses(chain.processes())
	if side == requestid.Successor && predecessor != nil {
		predecessor.write(message{ProcessCount: 1 + chain.successors})
	}
	if side == requestid.Predecessor && successor != nil {
		successor.write(message{ProcessCount: 1 + chain.predecessors})
	}
}

// startSendingRequestIDs begins to send the others the request IDs opened and closed here, for as
// long as there are others. The caller holds mu.
func (h *Handover) startSendingRequestIDs() {
	if h.sendingRequestIDs {
		return
	}
	h.sendingRequestIDs = true
	h.running.Go(h.sendRequestIDs)
}

// sendRequestIDs sends changes until there is no other process, or the Handover is closed.
func (h *Handover) sendRequestIDs() {
	ticker := time.NewTicker(requestIDInterval)
	defer ticker.Stop()
	for range ticker.C {
		neighbors := h.requestIDReceivers()
		if len(neighbors) == 0 {
			return
		}
		updates := h.node.RequestIDs(false)
		if len(updates) == 0 {
			continue
		}
		for _, peer := range neighbors {
			peer.write(message{RequestIDs: updates})
		}
	}
}

// requestIDReceivers returns the processes to send to. Where there are none it notes, under the
// same lock, that the sender ends: the next process that connects starts it anew.
func (h *Handover) requestIDReceivers() []*peerConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	neighbors := h.neighborsLocked()
	if !h.closed && len(neighbors) > 0 {
		return neighbors
	}
	h.sendingRequestIDs = false
	h.node.StopTrackingRequestIDs()
	return nil
}

package hotrestart

import (
	"time"

	"jasperpin/internal/requestid"
)

// sideNames are the names of the neighbors in log messages.
var sideNames = map[requestid.Neighbor]string{requestid.Predecessor: "predecessor", requestid.Successor: "successor"}

// receive handles the messages of another process until its connection ends.
func (h *Handover) receive(peer *peerConn, side requestid.Neighbor) {
	for {
		m, err := peer.read()
		if err != nil {
			break // the process exited or sent an invalid message; in both cases it is considered to have exited
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

// updateChain updates the chain with the process count and the drain of a message, and returns the
// neighbors at that time.
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
		h.chain.lastDrain = m.Drain
	}
	return h.neighborsLocked()
}

// removePeer removes a process whose connection has ended, and notifies the node and the other
// neighbor. It does nothing once the Handover is closed.
func (h *Handover) removePeer(side requestid.Neighbor) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.node.ForgetPeerRequestIDs(side)
	done, bindErr := true, error(nil)
	if side == requestid.Predecessor {
		h.predecessor, h.chain.predecessors, h.chain.lastDrain = nil, 0, nil
		close(h.predecessorEnded)
	} else {
		h.successor, h.chain.successors = nil, 0
		done, bindErr = h.rebind() // the successor failed or exited early: the next one must be able to connect to this process
	}
	predecessor, successor, chain := h.predecessor, h.successor, h.chain
	h.mu.Unlock()
	h.logBindError(bindErr)
	if !done {
		h.goroutines.Go(h.awaitFreeSocket)
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

// startSendingRequestIDs starts to send the request IDs opened and closed in this process to its
// neighbors, as long as there are any. The caller holds mu.
func (h *Handover) startSendingRequestIDs() {
	if h.sendingRequestIDs {
		return
	}
	h.sendingRequestIDs = true
	h.goroutines.Go(h.sendRequestIDs)
}

// sendRequestIDs sends changes until there is no other process or the Handover is closed.
func (h *Handover) sendRequestIDs() {
	ticker := time.NewTicker(requestIDInterval)
	defer ticker.Stop()
	for range ticker.C {
		neighbors := h.requestIDReceivers()
		if len(neighbors) == 0 {
			return
		}
		for _, peer := range neighbors {
			peer.writeNext(func() (message, bool) {
				updates := h.requestIDs(peer)
				return message{RequestIDs: updates}, len(updates) > 0
			})
		}
	}
}

// requestIDs returns the changes for a neighbor; none if that process has ended, as another one may have
// taken its place and must receive them.
func (h *Handover) requestIDs(peer *peerConn) map[string]requestid.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch peer {
	case h.predecessor:
		return h.node.RequestIDs(requestid.Predecessor, false)
	case h.successor:
		return h.node.RequestIDs(requestid.Successor, false)
	}
	return nil
}

// requestIDReceivers returns the neighbors to send request IDs to. If there are none, it records
// under the same lock that the sender stops: the next process that connects starts it again.
func (h *Handover) requestIDReceivers() []*peerConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	neighbors := h.neighborsLocked()
	if !h.closed && len(neighbors) > 0 {
		return neighbors
	}
	h.sendingRequestIDs = false
	return nil
}

package hotrestart

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"jasperpin/internal/acceptor"
	"jasperpin/internal/core"
	"jasperpin/internal/requestid"
)

const (
	// SocketName is the name of the socket in the node's private directory.
	SocketName = "jasperpin.sock"
	// socketMode keeps other users out: whoever connects gets the node's listening sockets.
	socketMode = 0o600
	// snapshotTimeout bounds how long a new process waits for its predecessor's snapshot, since it
	// can serve without one.
	snapshotTimeout = 1500 * time.Millisecond
	// requestIDInterval is the time between two messages about request IDs, and so the longest for
	// which an ID that is open in one process may be opened in another as well.
	requestIDInterval = 20 * time.Millisecond
)

// Node is the part of a node that a Handover reports to and asks. Its methods are called from the
// Handover's goroutines, from the call of Listen on.
type Node interface {
	// Snapshots returns the state of each pool, for a successor.
	Snapshots() map[string]core.Snapshot
	// Listeners returns those that a successor goes on with, by their configured addresses.
	Listeners() map[string]net.Listener
	// ApplyMaintenance carries out a call that another process received.
	ApplyMaintenance(MaintenanceCall)
	// SetProcesses says which processes share the machine from now on.
	SetProcesses(Processes)
	// RequestIDs returns the request IDs opened and closed here since the last call, by pool, or
	// with all set every ID that is open. It begins to track changes.
	RequestIDs(all bool) map[string]requestid.Update
	// StopTrackingRequestIDs says that no other process is there to learn of changes.
	StopTrackingRequestIDs()
	// ApplyPeerRequestIDs applies what another process sent of its request IDs.
	ApplyPeerRequestIDs(from requestid.Neighbor, updates map[string]requestid.Update)
	// ForgetPeerRequestIDs frees the request IDs of a process that has ended.
	ForgetPeerRequestIDs(requestid.Neighbor)
}

// Inherited is what a process receives from its predecessor; empty without one.
type Inherited struct {
	Pools     map[string]core.Snapshot
	Listeners map[string]net.Listener // by their configured addresses; the caller closes them
}

// Handover is this process's place in the chain of its node's processes. A nil Handover is that of
// a process without a private directory, which has no others. Methods may be called from any
// goroutine.
//
// Its goroutines, one for each connection, one for each socket it listened at and one that sends
// request IDs, end with their connection or socket; Close ends all and waits for them.
type Handover struct {
	socketPath string
	log        *slog.Logger
	node       Node // set by Listen, before the first goroutine
	running    sync.WaitGroup

	mu                sync.Mutex // guards what follows
	chain             processChain
	predecessor       *peerConn // nil if there is none
	successor         *peerConn // nil if there is none
	listener          *net.UnixListener
	closed            bool
	sendingRequestIDs bool
	// inheritedRequestIDs are those open in the predecessor, kept from Connect to Listen.
	inheritedRequestIDs map[string]requestid.Update
}

// Connect looks in a directory for the node's running process, makes it the predecessor of this
// one and returns its state. Where there is none, where it does not answer in time, or where its
// snapshot cannot be read, the process begins without a predecessor: never an error. Without a
// directory the Handover is nil.
func Connect(directory string, log *slog.Logger) (*Handover, Inherited) {
	if directory == "" {
		return nil, Inherited{}
	}
	h := &Handover{socketPath: filepath.Join(directory, SocketName), log: log}
	conn, err := net.DialTimeout("unix", h.socketPath, snapshotTimeout)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			log.Info("hot restart: predecessor does not answer", "err", err)
		}
		return h, Inherited{}
	}
	predecessor, snapshot, listeners, err := requestSnapshot(conn.(*net.UnixConn), log)
	if err != nil {
		log.Warn("hot restart: no usable snapshot from the predecessor", "err", err)
		conn.Close()
		return h, Inherited{}
	}
	h.predecessor, h.inheritedRequestIDs = predecessor, snapshot.RequestIDs
	h.chain.predecessors = max(1, snapshot.ProcessCount)
	log.Info("taking over", "processes", h.chain.processes().Count, "listeners", len(listeners))
	return h, Inherited{snapshot.Snapshots, listeners}
}

// requestSnapshot sends a hello and reads the answer. Listening sockets come along with the
// answer's first bytes.
func requestSnapshot(conn *net.UnixConn, log *slog.Logger) (*peerConn, message, map[string]net.Listener, error) {
	_ = conn.SetReadDeadline(time.Now().Add(snapshotTimeout)) // fails only on a closed connection, as the read then does
	newPeerConn(conn, nil).write(message{Hello: true})
	first, files, err := receiveDescriptors(conn)
	if err != nil {
		return nil, message{}, nil, err
	}
	predecessor := newPeerConn(conn, first)
	snapshot, err := predecessor.read()
	// Also after an error, so that received files are closed.
	listeners := openListeners(snapshot.ListenAddresses, files, log)
	if err != nil {
		return nil, message{}, nil, err
	}
	_ = conn.SetReadDeadline(time.Time{}) // as above
	return predecessor, snapshot, listeners, nil
}

// Listen waits for successors and begins to receive from the predecessor. An error says that no
// successor will find this process.
func (h *Handover) Listen(node Node) error {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node = node
	if h.predecessor != nil {
		node.ApplyPeerRequestIDs(requestid.Predecessor, h.inheritedRequestIDs)
		h.inheritedRequestIDs = nil
		predecessor := h.predecessor
		h.running.Go(func() { h.receive(predecessor, requestid.Predecessor) })
		h.startSendingRequestIDs()
	}
	return h.bind()
}

// bind puts this process's socket in place of whatever is at the path: the predecessor's at the start,
// since a third process is to find the newest, and that of a successor that was lost. The caller
// holds mu: two binds must not mix, and all that is done is local and short.
func (h *Handover) bind() error {
	if err := os.Remove(h.socketPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("removing the previous socket: %w", err)
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: h.socketPath, Net: "unix"})
	if err != nil {
		return fmt.Errorf("listening for a successor: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by then the path may be a successor's
	if err := os.Chmod(h.socketPath, socketMode); err != nil {
		ln.Close()
		return fmt.Errorf("restricting the socket to its owner: %w", err)
	}
	if h.listener != nil {
		h.listener.Close()
	}
	h.listener = ln
	h.running.Go(func() { h.accept(ln) })
	return nil
}

// accept accepts successors until the listener is closed.
func (h *Handover) accept(ln net.Listener) {
	ln = acceptor.New(ln, "hot restart", h.log)
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // the listener is closed: acceptor retries all else
		}
		successor := newPeerConn(conn, nil)
		if !readHello(successor) || !h.adopt(successor) {
			conn.Close()
		}
	}
}

// readHello reports whether a connection begins as that of a new process.
func readHello(p *peerConn) bool {
	_ = p.conn.SetReadDeadline(time.Now().Add(peerWriteTimeout)) // fails only on a closed connection, as the read then does
	m, err := p.read()
	_ = p.conn.SetReadDeadline(time.Time{}) // as above
	return err == nil && m.Hello
}

// adopt makes a new process the successor and sends it the snapshot. It reports false where there
// is a successor already or the Handover is closed: the new process then starts without a predecessor.
func (h *Handover) adopt(successor *peerConn) bool {
	h.mu.Lock()
	if h.closed || h.successor != nil {
		h.mu.Unlock()
		h.log.Warn("hot restart: second successor rejected")
		return false
	}
	// Held until the snapshot is written, so that changes from now on are sent after it.
	successor.writeMu.Lock()
	h.successor, h.chain.successors = successor, 1
	count, predecessor := h.chain.processes().Count, h.predecessor
	h.startSendingRequestIDs()
	h.mu.Unlock()

	h.sendSnapshot(successor, count-1)
	successor.writeMu.Unlock()

	h.log.Info("hot restart: successor connected", "processes", count)
	h.node.SetProcesses(h.Processes())
	if predecessor != nil {
		predecessor.write(message{ProcessCount: 2}) // this process and its successor
	}
	h.running.Go(func() { h.receive(successor, requestid.Successor) })
	return true
}

// sendSnapshot sends a successor the state of this process. The caller holds the successor's
// writeMu.
func (h *Handover) sendSnapshot(successor *peerConn, processes int) {
	addresses, descriptors := duplicateListeners(h.node.Listeners(), h.log)
	defer closeDescriptors(descriptors)
	successor.writeLocked(message{
		ProcessCount:    processes,
		Snapshots:       h.node.Snapshots(),
		RequestIDs:      h.node.RequestIDs(true),
		ListenAddresses: addresses,
	}, descriptors)
}

// neighbors returns the other processes with a connection to this one.
func (h *Handover) neighbors() []*peerConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.neighborsLocked()
}

// neighborsLocked is neighbors for callers that hold mu.
func (h *Handover) neighborsLocked() []*peerConn {
	var peers []*peerConn
	for _, peer := range []*peerConn{h.predecessor, h.successor} {
		if peer != nil {
			peers = append(peers, peer)
		}
	}
	return peers
}

// Processes returns the processes that share the machine.
func (h *Handover) Processes() Processes {
	if h == nil {
		return Processes{Count: 1}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.chain.processes()
}

// HasSuccessor reports whether a successor is connected, to which a draining process can leave new
// clients.
func (h *Handover) HasSuccessor() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor != nil
}

// AnnounceDrain notifies the successor that this process accepts no more clients, and which
// connections it still holds. It does nothing without a successor.
func (h *Handover) AnnounceDrain(d Drain) {
	h.mu.Lock()
	successor := h.successor
	h.mu.Unlock()
	if successor != nil {
		successor.write(message{Drain: &d})
	}
}

// Broadcast sends an operator's call to all other processes.
func (h *Handover) Broadcast(call MaintenanceCall) {
	if h == nil {
		return
	}
	for _, peer := range h.neighbors() {
		peer.write(message{Call: &call})
	}
}

// Close closes the connections to the other processes and waits for the Handover's goroutines. The
// socket's path stays, as it may be a successor's by now.
func (h *Handover) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.closed = true
	for _, peer := range h.neighborsLocked() {
		peer.conn.Close()
	}
	if h.listener != nil {
		h.listener.Close()
	}
	h.mu.Unlock()
	h.running.Wait()
}

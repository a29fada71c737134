package hotrestart

import (
	"context"
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
	// socketMode denies access to other users: a process that connects receives the node's
	// listening sockets.
	socketMode = 0o600
	// snapshotTimeout is the maximum time that a new process waits for its predecessor's snapshot,
	// since it can serve without one.
	snapshotTimeout = 1500 * time.Millisecond
	// requestIDInterval is the time between two messages about request IDs, and therefore the
	// maximum time during which an ID that is open in one process can also be opened in another.
	requestIDInterval = 20 * time.Millisecond
	// rebindInterval is the time between two looks at the socket of another process, after the successor has
	// exited: either a newer process listens there, or the successor's socket is about to be closed.
	rebindInterval = 50 * time.Millisecond
)

// Node is the part of a node that a Handover depends on. Its methods are called from the Handover's
// goroutines, from the call of Listen on.
type Node interface {
	// Snapshots returns the state of each pool, for a successor.
	Snapshots() map[string]core.Snapshot
	// Listeners returns the listeners to pass to a successor, by their configured addresses.
	Listeners() map[string]net.Listener
	// ApplyMaintenance applies a call that another process received.
	ApplyMaintenance(MaintenanceCall)
	// SetProcesses sets the processes that share the machine.
	SetProcesses(Processes)
	// RequestIDs returns the request IDs opened and closed since the last call, by pool, or every
	// open ID if all is set, for another process: those of this process and of the processes beyond
	// it. It starts the tracking of changes.
	RequestIDs(to requestid.Neighbor, all bool) map[string]requestid.Update
	// ApplyPeerRequestIDs applies the request IDs that another process sent.
	ApplyPeerRequestIDs(from requestid.Neighbor, updates map[string]requestid.Update)
	// ForgetPeerRequestIDs releases the request IDs of a process that has exited, and stops the
	// tracking of changes for it.
	ForgetPeerRequestIDs(requestid.Neighbor)
}

// Inherited is the state that a process receives from its predecessor; empty if it has none.
type Inherited struct {
	Pools     map[string]core.Snapshot
	Listeners map[string]net.Listener // by their configured addresses; the caller closes them
}

// Handover connects this process to its neighbors in the chain of the node's processes. A nil
// Handover belongs to a process without a private directory, which has no neighbors. Methods may be
// called from any goroutine.
//
// It has one goroutine for each connection, one for each socket that it has listened on, and one
// that sends request IDs. Each ends with its connection or socket; Close stops all of them and
// waits for them.
type Handover struct {
	socketPath string
	log        *slog.Logger
	node       Node // set by Listen, before the first goroutine
	goroutines sync.WaitGroup

	mu                sync.Mutex // guards the fields below
	chain             processChain
	predecessor       *peerConn     // nil if there is none
	predecessorEnded  chan struct{} // closed once the predecessor has exited; nil if there was none
	successor         *peerConn     // nil if there is none
	listener          *net.UnixListener
	socket            os.FileInfo // the socket of listener; nil before the first bind
	closed            bool
	sendingRequestIDs bool
	// inheritedRequestIDs are the open request IDs of the predecessor, stored from Connect until
	// Listen.
	inheritedRequestIDs map[string]requestid.Update
}

// Connect searches a directory for the socket of the node's running process, makes that process the
// predecessor of this one and returns its state. If there is no such process, it does not answer in
// time, or its snapshot cannot be read, this process starts without a predecessor; that is not an
// error. Without a directory the Handover is nil.
func Connect(directory string, log *slog.Logger) (*Handover, Inherited) {
	if directory == "" {
		return nil, Inherited{}
	}
	handover := &Handover{socketPath: filepath.Join(directory, SocketName), log: log}
	conn, err := net.DialTimeout("unix", handover.socketPath, snapshotTimeout)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			log.Info("hot restart: predecessor does not answer", "err", err)
		}
		return handover, Inherited{}
	}
	predecessor, snapshot, listeners, err := requestSnapshot(conn.(*net.UnixConn), log)
	if err != nil {
		log.Warn("hot restart: no usable snapshot from the predecessor", "err", err)
		conn.Close()
		return handover, Inherited{}
	}
	handover.predecessor, handover.inheritedRequestIDs = predecessor, snapshot.RequestIDs
	handover.predecessorEnded = make(chan struct{})
	handover.chain.predecessors = max(1, snapshot.ProcessCount)
	log.Info("taking over", "processes", handover.chain.processes().Count, "listeners", len(listeners))
	return handover, Inherited{snapshot.Snapshots, listeners}
}

// requestSnapshot sends a hello and reads the answer. The first bytes of the answer carry the
// descriptors of listening sockets.
func requestSnapshot(conn *net.UnixConn, log *slog.Logger) (*peerConn, message, map[string]net.Listener, error) {
	_ = conn.SetReadDeadline(time.Now().Add(snapshotTimeout)) // fails only on a closed connection, and then the read fails too
	newPeerConn(conn, nil).write(message{Hello: true})
	first, files, err := receiveDescriptors(conn)
	if err != nil {
		return nil, message{}, nil, err
	}
	predecessor := newPeerConn(conn, first)
	snapshot, err := predecessor.read()
	// The listeners are opened even after an error, so that the received files are closed.
	listeners := openListeners(snapshot.ListenAddresses, files, log)
	if err != nil {
		return nil, message{}, nil, err
	}
	_ = conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, as the first call does
	return predecessor, snapshot, listeners, nil
}

// Listen starts to accept successors and to receive from the predecessor. After an error no
// successor can connect to this process.
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
		h.goroutines.Go(func() { h.receive(predecessor, requestid.Predecessor) })
		h.startSendingRequestIDs()
	}
	return h.bind()
}

// bind listens on the socket path, in place of the socket that exists there. At the start of this
// process that is the socket of the predecessor: a third process must connect to the newest. Later
// it is the socket of a lost successor. The caller holds mu: two binds must not interleave, and
// every step is local and short.
func (h *Handover) bind() error {
	if err := os.Remove(h.socketPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("removing the previous hot restart socket: %w", err)
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: h.socketPath, Net: "unix"})
	if err != nil {
		return fmt.Errorf("listening for a successor: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by the time ln is closed, a successor may listen on the path
	if err := os.Chmod(h.socketPath, socketMode); err != nil {
		ln.Close()
		return fmt.Errorf("restricting the socket to its owner: %w", err)
	}
	socket, err := os.Stat(h.socketPath)
	if err != nil {
		ln.Close()
		return fmt.Errorf("reading the identity of the socket: %w", err)
	}
	if h.listener != nil {
		h.listener.Close()
	}
	h.listener, h.socket = ln, socket
	h.goroutines.Go(func() { h.accept(ln) })
	return nil
}

// rebind listens on the socket path again after the successor has exited. It returns false if another process
// listens there: a successor of that successor is newer than this process. The caller holds mu.
func (h *Handover) rebind() (done bool, err error) {
	info, err := os.Stat(h.socketPath)
	if err == nil && os.SameFile(info, h.socket) {
		return true, nil // the successor failed before it listened
	}
	conn, err := net.DialTimeout("unix", h.socketPath, peerWriteTimeout)
	if err == nil {
		conn.Close()
		return false, nil
	}
	return true, h.bind()
}

// awaitFreeSocket looks at the socket path until no other process listens there, and then listens. It ends early
// if a new process connects or the Handover is closed.
func (h *Handover) awaitFreeSocket() {
	ticker := time.NewTicker(rebindInterval)
	defer ticker.Stop()
	for range ticker.C {
		h.mu.Lock()
		done, err := h.closed || h.successor != nil, error(nil)
		if !done {
			done, err = h.rebind()
		}
		h.mu.Unlock()
		h.logBindError(err)
		if done {
			return
		}
	}
}

// logBindError logs an error of rebind; nil is not logged.
func (h *Handover) logBindError(err error) {
	if err != nil {
		h.log.Warn("hot restart: no successor can connect to this process", "err", err)
	}
}

// accept accepts successors until the listener is closed.
func (h *Handover) accept(ln net.Listener) {
	ln = acceptor.New(ln, "hot restart", h.log)
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // the listener is closed; acceptor retries after all other errors
		}
		successor := newPeerConn(conn, nil)
		if !readHello(successor) || !h.addSuccessor(successor) {
			conn.Close()
		}
	}
}

// readHello reports whether the first message of a connection is the hello of a new process.
func readHello(p *peerConn) bool {
	_ = p.conn.SetReadDeadline(time.Now().Add(peerWriteTimeout)) // fails only on a closed connection, and then the read fails too
	m, err := p.read()
	_ = p.conn.SetReadDeadline(time.Time{}) // as above
	return err == nil && m.Hello
}

// addSuccessor makes a new process the successor and sends it the snapshot. It returns false if there is a
// successor already or the Handover is closed: the new process then starts without a predecessor.
func (h *Handover) addSuccessor(successor *peerConn) bool {
	h.mu.Lock()
	if h.closed || h.successor != nil {
		h.mu.Unlock()
		h.log.Warn("hot restart: second successor rejected")
		return false
	}
	// Hold writeMu until the snapshot is written, so that later changes are sent after it.
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
	h.goroutines.Go(func() { h.receive(successor, requestid.Successor) })
	return true
}

// sendSnapshot sends the state of this process to a successor. The caller holds the successor's
// writeMu.
func (h *Handover) sendSnapshot(successor *peerConn, processes int) {
	addresses, descriptors := duplicateListeners(h.node.Listeners(), h.log)
	defer closeDescriptors(descriptors)
	successor.writeLocked(message{
		ProcessCount:    processes,
		Snapshots:       h.node.Snapshots(),
		RequestIDs:      h.node.RequestIDs(requestid.Successor, true),
		ListenAddresses: addresses,
	}, descriptors)
}

// neighbors returns the connections to the predecessor and the successor, if any.
func (h *Handover) neighbors() []*peerConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.neighborsLocked()
}

// neighborsLocked is like neighbors. The caller holds mu.
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

// HasSuccessor reports whether a successor is connected, so that a draining process can leave new
// clients to it.
func (h *Handover) HasSuccessor() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor != nil
}

// AwaitPredecessor waits until the predecessor has exited or ctx is done. A process with neighbors on both sides
// must not exit before its predecessor: these two have no connection to each other, so that calls of operators and
// request IDs would no longer reach them.
func (h *Handover) AwaitPredecessor(ctx context.Context) {
	if h == nil || h.predecessorEnded == nil {
		return
	}
	select {
	case <-h.predecessorEnded:
	case <-ctx.Done():
	}
}

// AnnounceDrain notifies the successor that this process accepts no more clients, and how many connections it
// still has open. It does nothing without a successor.
func (h *Handover) AnnounceDrain(d Drain) {
	h.mu.Lock()
	successor := h.successor
	h.mu.Unlock()
	if successor != nil {
		successor.write(message{Drain: &d})
	}
}

// Broadcast sends a maintenance call of an operator to all other processes.
func (h *Handover) Broadcast(call MaintenanceCall) {
	if h == nil {
		return
	}
	for _, peer := range h.neighbors() {
		peer.write(message{Call: &call})
	}
}

// Close closes the connections to the other processes and waits for the Handover's goroutines. It
// does not remove the socket's path, which may belong to a successor.
func (h *Handover) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.closed = true
	if h.listener != nil {
		h.listener.Close() // first, so that a neighbor that finds its connection closed finds no listener
	}
	for _, peer := range h.neighborsLocked() {
		peer.conn.Close()
	}
	h.mu.Unlock()
	h.goroutines.Wait()
}

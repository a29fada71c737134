package soak

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
)

// errDraining is returned by connect if a node accepts no new connections because it is shutting down.
var errDraining = errors.New("node is draining")

// endpoint is a node from the view of its clients: the process that serves at its address, and their connections to
// it.
type endpoint struct {
	node int
	addr string

	mu          sync.Mutex
	incarnation int  // number of the process that serves at addr
	open        bool // clients open connections to it
	draining    bool // clients use existing connections and open none; never set together with open
	idle        []*clientConn
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader      *bufio.Reader
	incarnation int // number of the process to which the connection was opened
}

// setOpen sets which process serves at the address, and whether clients connect to it. A call for an earlier
// process than the current one has no effect.
func (e *endpoint) setOpen(incarnation int, open bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation >= e.incarnation {
		e.incarnation, e.open, e.draining = incarnation, open, false
	}
}

// drain stops clients from connecting to a process that is shutting down. They use existing connections until the
// process closes them or ends.
func (e *endpoint) drain(incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation == e.incarnation && e.open {
		e.open, e.draining = false, true
	}
}

// usable reports whether a request can be sent to the node.
func (e *endpoint) usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open || e.draining && len(e.idle) > 0
}

// connect returns an idle connection, or a new one if there is none or forceNew is set.
func (e *endpoint) connect(forceNew bool) (conn *clientConn, reused bool, err error) {
	conn, incarnation, draining := e.takeIdle(forceNew)
	if conn != nil {
		return conn, true, nil
	}
	if draining {
		return nil, false, errDraining
	}
	tcpConn, err := net.DialTimeout("tcp", e.addr, dialTimeout)
	if err != nil {
		return nil, false, fmt.Errorf("connecting to a node: %w", err)
	}
	return &clientConn{Conn: tcpConn, reader: bufio.NewReader(tcpConn), incarnation: incarnation}, false, nil
}

// takeIdle removes and returns an idle connection to the current process, and closes those to earlier processes.
// conn is nil if there is none or forceNew is set; the other results are the state of the endpoint in any case.
func (e *endpoint) takeIdle(forceNew bool) (conn *clientConn, incarnation int, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := len(e.idle); n > 0 && conn == nil && !forceNew; n = len(e.idle) {
		conn, e.idle = e.idle[n-1], e.idle[:n-1]
		if conn.incarnation != e.incarnation {
			conn.Close()
			conn = nil
		}
	}
	return conn, e.incarnation, e.draining
}

// release adds a connection to the idle ones.
func (e *endpoint) release(conn *clientConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = append(e.idle, conn)
}

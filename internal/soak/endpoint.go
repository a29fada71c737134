package soak

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
)

// errDraining says that a node takes no new connection while it shuts down.
var errDraining = errors.New("node is draining")

// endpoint is a node as its clients see it: which process serves there, and their connections to it.
type endpoint struct {
	node int
	addr string

	mu          sync.Mutex
	incarnation int  // of the process that serves there
	open        bool // clients connect to it
	draining    bool // clients use connections that exist and open none; never set while open is
	idle        []*conn
}

// conn is a client's connection.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	incarnation int // of the process that it was opened to
}

// setOpen says which process serves at the address, and whether clients connect to it. A call for an
// earlier process than the present one changes nothing.
func (e *endpoint) setOpen(incarnation int, open bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation >= e.incarnation {
		e.incarnation, e.open, e.draining = incarnation, open, false
	}
}

// drain keeps clients from connecting to a process that is shutting down. They use the connections that
// exist until the process closes them or ends.
func (e *endpoint) drain(incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation == e.incarnation && e.open {
		e.open, e.draining = false, true
	}
}

// usable reports whether a request can be sent there.
func (e *endpoint) usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open || e.draining && len(e.idle) > 0
}

// connect returns an idle connection, or a new one if there is none or a new one is asked for.
func (e *endpoint) connect(forceNew bool) (nc *conn, reused bool, err error) {
	nc, incarnation, draining := e.takeIdle(forceNew)
	if nc != nil {
		return nc, true, nil
	}
	if draining {
		return nil, false, errDraining
	}
	c, err := net.DialTimeout("tcp", e.addr, dialTimeout)
	if err != nil {
		return nil, false, fmt.Errorf("connecting to a node: %w", err)
	}
	return &conn{Conn: c, reader: bufio.NewReader(c), incarnation: incarnation}, false, nil
}

// takeIdle takes an idle connection to the present process, and closes those to earlier ones. It returns
// nil if there is none or forceNew is set, and in any case the state it has seen.
func (e *endpoint) takeIdle(forceNew bool) (nc *conn, incarnation int, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := len(e.idle); n > 0 && nc == nil && !forceNew; n = len(e.idle) {
		nc, e.idle = e.idle[n-1], e.idle[:n-1]
		if nc.incarnation != e.incarnation {
			nc.Close()
			nc = nil
		}
	}
	return nc, e.incarnation, e.draining
}

// release makes a connection idle.
func (e *endpoint) release(nc *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = append(e.idle, nc)
}

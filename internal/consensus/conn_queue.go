package consensus

import (
	"net"
	"sync"
)

// maxConns bounds the open connections of one application protocol, and so the descriptors that they use.
const maxConns = 512

// connQueue is a net.Listener for connections that a listener has already accepted and authenticated.
type connQueue struct {
	addr   net.Addr
	conns  chan net.Conn
	open   chan struct{} // semaphore: one element for each open connection
	once   sync.Once
	closed chan struct{}
}

func newConnQueue(addr net.Addr) *connQueue {
	return &connQueue{
		addr:   addr,
		conns:  make(chan net.Conn),
		open:   make(chan struct{}, maxConns),
		closed: make(chan struct{}),
	}
}

// put passes a connection to Accept and blocks until Accept returns it. It closes the connection if maxConns
// connections are already open or the queue is closed.
func (q *connQueue) put(conn net.Conn) {
	select {
	case q.open <- struct{}{}:
	default:
		conn.Close()
		return
	}
	conn = &countedConn{Conn: conn, open: q.open}
	select {
	case q.conns <- conn:
	case <-q.closed:
		conn.Close()
	}
}

// Accept returns the next connection, or net.ErrClosed after the queue is closed.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return. Connections that Accept has returned stay open. Close may be called more than once.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr returns the voter's address.
func (q *connQueue) Addr() net.Addr { return q.addr }

// countedConn is a connection that counts toward maxConns until it is closed.
type countedConn struct {
	net.Conn
	open chan struct{}
	once sync.Once
}

// Close closes the connection and removes it from the count of open connections.
func (c *countedConn) Close() error {
	c.once.Do(func() { <-c.open })
	return c.Conn.Close()
}

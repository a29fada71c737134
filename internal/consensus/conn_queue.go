package consensus

import (
	"net"
	"sync"
)

// maxConns bounds the open connections of one protocol, and so the descriptors that they use.
const maxConns = 512

// connQueue is a net.Listener whose connections have been accepted and authenticated elsewhere.
type connQueue struct {
	addr   net.Addr
	conns  chan net.Conn
	open   chan struct{} // one element for each open connection
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

// put passes a connection to Accept and waits until that takes it. It closes the connection where
// maxConns are open already, or the queue is closed.
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

// Accept returns the next connection, or net.ErrClosed once the queue is closed.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. Connections that it has returned stay open. Close may be called more than once.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr is the voter's address.
func (q *connQueue) Addr() net.Addr { return q.addr }

// countedConn is counted as open until it is closed.
type countedConn struct {
	net.Conn
	open chan struct{}
	once sync.Once
}

// Close closes the connection and counts it no more.
func (c *countedConn) Close() error {
	c.once.Do(func() { <-c.open })
	return c.Conn.Close()
}

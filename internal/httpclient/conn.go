package httpclient

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// readBufferBytes is the read buffer of a connection to a server: it holds the head of an answer and most
// short bodies.
const readBufferBytes = 4 << 10

// serverConn is a connection to a server. It belongs to one attempt at a time, or is idle. net.Conn is
// embedded and not *net.TCPConn, or bufio would find a WriteTo that bypasses Read and its limit.
type serverConn struct {
	net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	allowance int64 // bytes that the answer may still take
	server    *server
	epoch     int // of the server, when the connection was made

	// Guarded by Upstream.mu.
	idleSince time.Time
	element   *list.Element // in Upstream.idle, while idle
}

// dial makes a connection, once the limiter has capacity for it. Its error wraps errNoCapacity or
// errLocalShortage where no server is to blame, errDialTimeout, the cause of ctx, or that of the network.
func (u *Upstream) dial(ctx context.Context, s *server, addr string, epoch int) (*serverConn, error) {
	if err := u.limiter.acquire(ctx, u); err != nil {
		return nil, err
	}
	nc, err := u.connect(ctx, addr)
	if err != nil {
		u.limiter.release(u)
		return nil, err
	}
	raw, err := nc.SyscallConn()
	if err != nil {
		_ = nc.Close() // the error found matters more than one of closing
		u.limiter.release(u)
		return nil, fmt.Errorf("connecting to %s: %w", addr, err)
	}
	c := &serverConn{Conn: nc, raw: raw, server: s, epoch: epoch}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// isQuiet reports whether an idle connection is still open and nothing has arrived on it. It guards
// against a duplicate answer or noise behind an answer, and against a server that has closed, where the
// request would end as a reset. What arrives after this look is not seen: nothing in the protocol tells an
// answer that arrives before its request from the true one.
func (c *serverConn) isQuiet() bool {
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true // never waits
	})
	return err == nil && quiet
}

// Read reads for the connection's bufio.Reader. It bounds the bytes of one answer, so that an endless head
// or body costs a bounded number of bytes. Its error is errAnswerTooLong then.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.allowance <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := c.Conn.Read(p)
	c.allowance -= int64(n)
	return n, err
}

// interrupt ends a read or write in progress.
func (c *serverConn) interrupt() {
	_ = c.SetDeadline(time.Unix(1, 0)) // fails on a closed connection, where nothing is in progress
}

// clearDeadline lifts the deadline.
func (c *serverConn) clearDeadline() {
	_ = c.SetDeadline(time.Time{}) // fails on a closed connection, which its next use notices
}

// discard closes the connection, whatever its state: nothing can be done about an error of closing.
func (c *serverConn) discard() { _ = c.Close() }

// Close closes the connection and gives its slot back. The owner of the connection calls it or discard, once.
func (c *serverConn) Close() error {
	err := c.Conn.Close()
	c.server.limiter.release(c.server.Upstream)
	return err
}

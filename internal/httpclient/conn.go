package httpclient

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// readBufferBytes is the size of the read buffer of a connection to a server: large enough for the head of an
// answer and most short bodies.
const readBufferBytes = 4 << 10

// serverConn is a connection to a server. It belongs to one attempt at a time, or is idle. It embeds net.Conn
// and not *net.TCPConn, so that bufio does not find a WriteTo that bypasses Read and its limit.
type serverConn struct {
	net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	readLimit atomic.Int64 // number of bytes of the answer that may still be read
	head      headLines
	server    *server
	epoch     int // the server's epoch when the connection was made

	// The following fields are guarded by Upstream.mu.
	idleSince time.Time
	element   *list.Element // in Upstream.idle; nil unless idle
}

// dial returns a new connection, after the limiter has granted a slot for it, or one that has become idle meanwhile. Its
// error wraps errNoCapacity or errLocalShortage, which count against no server, errDialTimeout, the cause of ctx, or the
// error of the network.
func (u *Upstream) dial(ctx context.Context, target *server, addr string, epoch int) (*serverConn, error) {
	for {
		idle, err := u.limiter.acquire(ctx, target)
		if err != nil {
			return nil, err
		}
		if idle == nil {
			break
		}
		if idle.isUsable() {
			return idle, nil
		}
		idle.discard()
	}
	nc, err := u.connect(ctx, addr)
	if err != nil {
		u.limiter.release(u)
		return nil, err
	}
	raw, err := nc.SyscallConn()
	if err != nil {
		_ = nc.Close() // the first error is returned
		u.limiter.release(u)
		return nil, fmt.Errorf("connecting to %s: %w", addr, err)
	}
	c := &serverConn{Conn: nc, raw: raw, server: target, epoch: epoch}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// isUsable reports whether an idle connection is still open and has no unread bytes. It protects against
// surplus bytes after an answer, such as a duplicate of it, and against a connection that the server has
// closed, on which the request would end with a reset. It cannot detect bytes that arrive later: the protocol
// does not distinguish an answer that arrives before its request from the true answer.
func (c *serverConn) isUsable() bool {
	usable := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true // never waits
	})
	return err == nil && usable
}

// Read implements net.Conn for the connection's bufio.Reader. It limits the bytes of one answer, so that an
// endless head or body costs a limited number of bytes; at the limit it returns errAnswerTooLong.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.readLimit.Load() <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := c.Conn.Read(p)
	if c.head.counting && !c.head.add(p[:n]) {
		return 0, errHeadTooLong
	}
	c.readLimit.Add(-int64(n))
	return n, err
}

// interrupt ends a read or write in progress.
func (c *serverConn) interrupt() {
	_ = c.SetDeadline(time.Unix(1, 0)) // fails on a closed connection, where nothing is in progress
}

// clearDeadline clears the deadline.
func (c *serverConn) clearDeadline() {
	_ = c.SetDeadline(time.Time{}) // fails on a closed connection, whose next use returns the error
}

// discard closes the connection and ignores the error: there is nothing that the caller could do.
func (c *serverConn) discard() { _ = c.Close() }

// Close closes the connection and releases its slot. The owner of the connection must call either Close or
// discard, exactly once.
func (c *serverConn) Close() error {
	err := c.Conn.Close()
	c.server.limiter.release(c.server.Upstream)
	return err
}

package node

import (
	"bufio"
	"cmp"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// restMost is the part of the settings' idle time after which the node closes
	// a resting connection itself: servers close them at that time, and one that
	// crosses a request ends it as a reset.
	restMost = 0.8
	// restUntold is how long connections rest where the settings tell no time.
	restUntold = 4 * time.Second
	// readAhead is the buffer of a connection to a server.
	readAhead = 4 << 10
)

var errNoSocket = errors.New("no socket left")

// pool owns the connections to servers: how many there are, and those at rest.
type pool struct {
	room   chan struct{} // one for each connection open
	dialer net.Dialer
	rest   time.Duration

	mu     sync.Mutex
	idle   list.List   // of *upConn, the longest at rest first
	expiry *time.Timer // set while any is at rest
}

// upConn is a connection to a server.
type upConn struct {
	net.Conn
	br      *bufio.Reader
	allowed int // bytes that the answer may still take
	srv     *server
	epoch   int
	since   time.Time     // at rest
	place   *list.Element // in the pool's list, while at rest
	pool    *pool
}

func newPool(cfg *Config) *pool {
	return &pool{
		room:   make(chan struct{}, cfg.Conns()),
		dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1},
		rest:   cmp.Or(time.Duration(restMost*float64(cfg.Settings.KeepAlive)), restUntold),
	}
}

// get gives a connection to a server: the one that rested last, if it is still
// open and silent, else a new one.
func (p *pool) get(ctx context.Context, s *server, addr string) (*upConn, error) {
	for {
		c, epoch := p.resting(s)
		if c == nil {
			return p.dial(ctx, s, addr, epoch)
		}
		if c.silent() {
			return c, nil
		}
		c.Close()
	}
}

// resting takes out the connection to a server that has rested least.
func (p *pool) resting(s *server) (c *upConn, epoch int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(s.idle); n > 0 {
		c = s.idle[n-1]
		p.remove(c)
	}
	return c, s.epoch
}

// remove takes a connection from those at rest.
func (p *pool) remove(c *upConn) {
	p.idle.Remove(c.place)
	c.place = nil
	for i, x := range c.srv.idle {
		if x == c {
			c.srv.idle = append(c.srv.idle[:i], c.srv.idle[i+1:]...)
			return
		}
	}
}

func (p *pool) dial(ctx context.Context, s *server, addr string, epoch int) (*upConn, error) {
	if err := p.reserve(ctx); err != nil {
		return nil, err
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		<-p.room
		return nil, fmt.Errorf("connecting to a server: %w", err)
	}
	c := &upConn{Conn: nc, srv: s, epoch: epoch, pool: p}
	c.br = bufio.NewReaderSize(c, readAhead)
	return c, nil
}

// reserve takes room for one more connection. Where there is none the one that
// has rested longest goes, to whichever server, and no other: closing more would
// cost handshakes all over the fleet.
func (p *pool) reserve(ctx context.Context) error {
	select {
	case p.room <- struct{}{}:
		return nil
	default:
	}
	p.mu.Lock()
	var oldest *upConn
	if e := p.idle.Front(); e != nil {
		oldest = e.Value.(*upConn)
		p.remove(oldest)
	}
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	t := time.NewTimer(p.dialer.Timeout)
	defer t.Stop()
	select {
	case p.room <- struct{}{}:
		return nil
	case <-t.C:
		return errNoSocket
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// put lays a connection to rest after a whole answer, unless more has come on it
// than belongs to that answer, or its server is another by now.
func (p *pool) put(c *upConn) {
	p.mu.Lock()
	fit := c.br.Buffered() == 0 && c.epoch == c.srv.epoch
	if fit {
		c.since = time.Now()
		c.place = p.idle.PushBack(c)
		c.srv.idle = append(c.srv.idle, c)
		if p.expiry == nil {
			p.expiry = time.AfterFunc(p.rest, p.expire)
		}
	}
	p.mu.Unlock()
	if !fit {
		c.Close()
	}
}

// expire closes what has rested too long and waits for the next.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		c := e.Value.(*upConn)
		if left := p.rest - time.Since(c.since); left > 0 {
			p.expiry.Reset(left)
			return
		}
		p.remove(c)
		c.Close()
	}
	p.expiry = nil
}

// close closes all that is at rest.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		c := e.Value.(*upConn)
		p.remove(c)
		c.Close()
	}
}

// leave closes the connections at rest to a server whose process ends or has
// been replaced; those in use are closed after their answer.
func (p *pool) leave(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.epoch++
	for len(s.idle) > 0 {
		c := s.idle[0]
		p.remove(c)
		c.Close()
	}
}

// silent says whether a connection at rest is still open and nothing has come on
// it. It guards against a second copy or noise behind an answer, and against a
// server that has closed, whose request would end as a reset. What comes after
// this look is not seen: an answer that arrives before its request could be told
// from the true one by nothing in the protocol.
func (c *upConn) silent() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true // never waits
	})
	return err == nil && quiet
}

// Close closes the connection and gives its room back. Whoever holds the
// connection closes it, once.
func (c *upConn) Close() error {
	err := c.Conn.Close()
	<-c.pool.room
	return err
}

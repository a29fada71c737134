package httpclient

import (
	"bufio"
	"cmp"
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"jasperpin/internal/core"
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

// Why there is no connection, of which no server is the cause.
var (
	errNoSocket = errors.New("no socket left")
	errScarce   = errors.New("this machine is short of something")
)

// Options are what a pool's connections go by.
type Options struct {
	Name        string        // under which Room counts the pool's connections
	DialTimeout time.Duration // also how long an attempt waits for room
	KeepAlive   time.Duration // after which servers close what is idle; 0 for untold
	// Plain takes every whole answer under 500 for served, as HTTP at large means
	// them. Otherwise 200 alone is, as the platform's protocol has it.
	Plain bool
	// MaxBody is the longest answer, in bytes.
	MaxBody int64
}

// Upstream is a pool's connections to its servers, those at rest among them.
type Upstream struct {
	Options
	room   *ConnectionLimiter
	dialer net.Dialer
	rest   time.Duration

	mu     sync.Mutex
	idle   list.List   // of *upConn, the longest at rest first
	expiry *time.Timer // set while any is at rest
	closed bool
}

// server is a core.Server: the connections to one process.
type server struct {
	*Upstream
	idle  []*upConn // guarded by the Upstream's lock, newest last
	epoch int       // likewise: of the process behind the address
}

// upConn is a connection to a server.
type upConn struct {
	net.Conn
	br      *bufio.Reader
	allowed int64 // bytes that the answer may still take
	srv     *server
	epoch   int
	since   time.Time     // at rest
	place   *list.Element // in the pool's list, while at rest
}

// New makes a pool's upstream. Its name must be one that the room knows.
func New(o Options, room *ConnectionLimiter) *Upstream {
	u := &Upstream{
		Options: o, room: room,
		dialer: net.Dialer{KeepAlive: -1},
		rest:   cmp.Or(time.Duration(restMost*float64(o.KeepAlive)), restUntold),
	}
	room.join(u)
	return u
}

// AddServer begins to know a server.
func (p *Upstream) AddServer() core.Server { return &server{Upstream: p} }

// get gives a connection to a server: the one that rested last, if it is still
// open and silent, else a new one.
func (p *Upstream) get(ctx context.Context, s *server, addr string) (*upConn, error) {
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
func (p *Upstream) resting(s *server) (c *upConn, epoch int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(s.idle); n > 0 {
		c = s.idle[n-1]
		p.remove(c)
	}
	return c, s.epoch
}

// remove takes a connection from those at rest.
func (p *Upstream) remove(c *upConn) {
	p.idle.Remove(c.place)
	c.place = nil
	for i, x := range c.srv.idle {
		if x == c {
			c.srv.idle = append(c.srv.idle[:i], c.srv.idle[i+1:]...)
			return
		}
	}
}

func (p *Upstream) dial(ctx context.Context, s *server, addr string, epoch int) (*upConn, error) {
	if err := p.room.take(ctx, p); err != nil {
		return nil, err
	}
	nc, err := p.connect(ctx, addr)
	if err != nil {
		p.room.give(p)
		return nil, err
	}
	c := &upConn{Conn: nc, srv: s, epoch: epoch}
	c.br = bufio.NewReaderSize(c, readAhead)
	return c, nil
}

// yield closes the connection that has rested longest, to whichever server, and
// no other: closing more would cost handshakes all over the fleet.
func (p *Upstream) yield() bool {
	p.mu.Lock()
	var oldest *upConn
	if e := p.idle.Front(); e != nil {
		oldest = e.Value.(*upConn)
		p.remove(oldest)
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.Close()
	return true
}

// put lays a connection to rest after a whole answer, unless more has come on it
// than belongs to that answer, or its server is another by now.
func (p *Upstream) put(c *upConn) {
	p.mu.Lock()
	fit := c.br.Buffered() == 0 && c.epoch == c.srv.epoch && !p.closed
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
func (p *Upstream) expire() {
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

// Close closes all that is at rest. What is in use is closed after its answer.
func (p *Upstream) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for p.yield() {
	}
	p.room.leave(p)
}

// Invalidate closes the connections at rest to a server whose process ends or has
// been replaced; those in use are closed after their answer.
func (s *server) Invalidate() {
	p := s.Upstream
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
	c.srv.room.give(c.srv.Upstream)
	return err
}

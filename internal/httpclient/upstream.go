package httpclient

import (
	"cmp"
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"jasperpin/internal/core"
)

const (
	// idleFraction is the fraction of the servers' keep-alive time after which an idle connection is closed
	// here. Servers close at that time, and a request that is sent while the server closes the connection ends
	// with a reset.
	idleFraction = 0.8
	// defaultIdleTimeout is how long connections stay idle if the keep-alive time is not known: shorter than
	// the keep-alive time of common servers.
	defaultIdleTimeout = 4 * time.Second
)

// Options are the settings of a pool's connections.
type Options struct {
	// Name is the name of the pool, under which the ConnectionLimiter counts its connections.
	Name string
	// DialTimeout limits the time for connecting, and separately the wait for a slot before it.
	DialTimeout time.Duration
	// KeepAlive is the time after which servers close an idle connection; 0 if not known.
	KeepAlive time.Duration
	// Plain makes every complete answer below 500 count as served, as in plain HTTP. Otherwise only 200 does,
	// as in the platform's protocol.
	Plain bool
	// MaxBody is the maximum length of an answer's body, in bytes.
	MaxBody int64
}

// Upstream manages a pool's connections to its servers. It implements core.Upstream. Its methods may be called
// from any goroutine.
type Upstream struct {
	Options
	limiter     *ConnectionLimiter
	dialer      net.Dialer
	idleTimeout time.Duration

	mu     sync.Mutex
	idle   list.List   // each element a *serverConn, the one idle for the longest time first
	expiry *time.Timer // closes expired connections; not nil while any connection is idle
	closed bool
}

// server manages the connections to one server. It implements core.Server.
type server struct {
	*Upstream

	// The following fields are guarded by Upstream.mu.
	idle  []*serverConn // the one idle for the longest time first
	epoch int           // incremented by Invalidate; connections of an earlier epoch are not reused
}

// New returns a pool's upstream. Its name must be one that the limiter was configured with. The caller must
// call Close.
func New(o Options, limiter *ConnectionLimiter) *Upstream {
	u := &Upstream{
		Options: o, limiter: limiter,
		// Attempts have deadlines, so TCP keep-alive probes are not needed.
		dialer:      net.Dialer{KeepAlive: -1, Control: limitSendBuffer},
		idleTimeout: cmp.Or(time.Duration(idleFraction*float64(o.KeepAlive)), defaultIdleTimeout),
	}
	limiter.register(u)
	return u
}

// AddServer returns a new server of the pool, without connections. Its Invalidate closes the connections that
// it has by then.
func (u *Upstream) AddServer() core.Server { return &server{Upstream: u} }

// Close closes the idle connections. Connections in use are closed after their answer.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	for u.closeOldestIdle() {
	}
	u.limiter.unregister(u)
}

// Invalidate closes the idle connections to a server whose process is ending or has been replaced. Connections
// in use are closed after their answer.
func (s *server) Invalidate() {
	for _, c := range s.takeAllIdle() {
		c.discard()
	}
}

// takeAllIdle begins a new epoch and removes the server's idle connections.
func (s *server) takeAllIdle() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	conns := s.idle
	for _, c := range conns {
		s.Upstream.idle.Remove(c.element)
		c.element = nil
	}
	s.idle = nil
	return conns
}

// get returns a connection to a server: the one that became idle last, if it is still usable, otherwise a new
// one. Its error is that of dial.
func (u *Upstream) get(ctx context.Context, s *server, addr string) (*serverConn, error) {
	for {
		c, epoch := u.takeIdle(s)
		if c == nil {
			return u.dial(ctx, s, addr, epoch)
		}
		if c.isUsable() {
			return c, nil
		}
		c.discard()
	}
}

// takeIdle removes and returns the connection to a server that became idle last, or nil if none is idle.
func (u *Upstream) takeIdle(s *server) (c *serverConn, epoch int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(s.idle); n > 0 {
		c = s.idle[n-1]
		u.removeIdle(c)
	}
	return c, s.epoch
}

// removeIdle removes an idle connection from both lists. The caller holds mu.
func (u *Upstream) removeIdle(c *serverConn) {
	u.idle.Remove(c.element)
	c.element = nil
	for i, other := range c.server.idle {
		if other == c {
			c.server.idle = append(c.server.idle[:i], c.server.idle[i+1:]...)
			return
		}
	}
}

// putIdle makes a connection idle after a complete answer, for the next attempt. It closes the connection if
// more bytes have arrived than that answer, or if its server has been replaced.
func (u *Upstream) putIdle(c *serverConn) {
	if !u.addIdle(c) {
		c.discard()
		return
	}
	u.limiter.offerIdle(c.server)
}

// addIdle adds a connection to both lists. It returns false if the connection cannot be used again.
func (u *Upstream) addIdle(c *serverConn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.reader.Buffered() > 0 || c.epoch != c.server.epoch || u.closed {
		return false
	}
	c.idleSince = time.Now()
	c.element = u.idle.PushBack(c)
	c.server.idle = append(c.server.idle, c)
	if u.expiry == nil {
		u.expiry = time.AfterFunc(u.idleTimeout, u.closeExpired)
	}
	return true
}

// closeExpired closes the connections that have been idle for too long. The expiry timer calls it.
func (u *Upstream) closeExpired() {
	for _, c := range u.takeExpired() {
		c.discard()
	}
}

// takeExpired removes and returns the connections that have been idle for too long, and sets the timer for the
// next one.
func (u *Upstream) takeExpired() (expired []*serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for e := u.idle.Front(); e != nil; e = u.idle.Front() {
		c := e.Value.(*serverConn)
		if left := u.idleTimeout - time.Since(c.idleSince); left > 0 {
			u.expiry.Reset(left)
			return expired
		}
		u.removeIdle(c)
		expired = append(expired, c)
	}
	u.expiry = nil
	return expired
}

// closeOldestIdle closes the connection of any server that has been idle for the longest time, and reports
// whether there was one. It closes only one: closing more would cost handshakes on the whole fleet.
func (u *Upstream) closeOldestIdle() bool {
	oldest := u.takeOldestIdle()
	if oldest == nil {
		return false
	}
	oldest.discard()
	return true
}

func (u *Upstream) takeOldestIdle() *serverConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.idle.Front()
	if e == nil {
		return nil
	}
	oldest := e.Value.(*serverConn)
	u.removeIdle(oldest)
	return oldest
}

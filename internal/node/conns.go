package node

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clientStall is how long a client may take none of what is written to it.
	clientStall = 20 * time.Second
	// writePiece is the most that one deadline for writing is set for.
	writePiece = 32 << 10
	// waited tells a read that found its bytes there from one that they woke.
	waited = time.Millisecond
)

// conns keeps clients' connections within a cap. At the cap a newcomer takes the
// place of the one that has gone longest without holding a whole request.
type conns struct {
	net.Listener
	most int

	mu       sync.Mutex
	freed    *sync.Cond
	all      int
	spare    *list.List // of *clientConn: those without a whole request, oldest first
	accepted atomic.Int64
	closed   bool
}

func newConns(ln net.Listener, most int) *conns {
	c := &conns{Listener: ln, most: most, spare: list.New()}
	c.freed = sync.NewCond(&c.mu)
	return c
}

// clientConn is a client's connection. What it notes of its reads tells when a
// request's last byte came.
type clientConn struct {
	net.Conn
	owner *conns
	place *list.Element // in owner.spare, nil while a request is held or after eviction
	gone  bool
	fresh bool // no byte since the last request

	mu      sync.Mutex
	arrived time.Time // not after the moment at which the last bytes read came
	floor   time.Time // what was not read until then came later
	reads   int
	pending bool // bytes of a further request came while one was held
	taken   time.Time
	seen    int
}

// Accept admits a connection and closes another for it where the cap is
// reached. Where every one holds a whole request it waits for the first to end.
func (c *conns) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.accepted.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.all >= c.most {
		if e := c.spare.Front(); e != nil {
			old := e.Value.(*clientConn)
			c.remove(old)
			go old.Conn.Close() // its reader notices and closes it once more
			continue
		}
		if c.closed {
			break
		}
		c.freed.Wait()
	}
	c.all++
	now := time.Now()
	cc := &clientConn{Conn: nc, owner: c, fresh: true, arrived: now, floor: now}
	cc.place = c.spare.PushBack(cc)
	return cc, nil
}

func (c *conns) remove(cc *clientConn) {
	if cc.gone {
		return
	}
	cc.gone = true
	c.all--
	if cc.place != nil {
		c.spare.Remove(cc.place)
		cc.place = nil
	}
	c.freed.Signal()
}

func (c *conns) Close() error {
	c.mu.Lock()
	c.closed = true
	c.freed.Broadcast()
	c.mu.Unlock()
	return c.Listener.Close()
}

// take marks a connection as holding a whole request. It says false where the
// connection has been given away meanwhile: the request was not taken then.
func (cc *clientConn) take() bool {
	c := cc.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc.gone {
		return false
	}
	if cc.place != nil {
		c.spare.Remove(cc.place)
		cc.place = nil
	}
	return true
}

// free marks the end of the request held.
func (cc *clientConn) free() {
	c := cc.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cc.gone && cc.place == nil {
		cc.place = c.spare.PushBack(cc)
		c.freed.Signal()
	}
	cc.fresh = true
}

func (cc *clientConn) Close() error {
	cc.owner.mu.Lock()
	cc.owner.remove(cc)
	cc.owner.mu.Unlock()
	return cc.Conn.Close()
}

func (cc *clientConn) Read(p []byte) (int, error) {
	t := time.Now()
	n, err := cc.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	cc.mu.Lock()
	// Bytes that a read found waiting came at some time since the read before.
	// The earliest is taken: a deadline too early is kept, one too late is not.
	if now.Sub(t) > waited {
		cc.arrived = now
	} else {
		cc.arrived = cc.floor
	}
	cc.floor = now
	cc.reads++
	cc.mu.Unlock()

	c := cc.owner
	c.mu.Lock()
	if cc.fresh && cc.place != nil {
		c.spare.MoveToBack(cc.place)
	}
	cc.fresh = false
	c.mu.Unlock()
	return n, err
}

// came tells when the request just read was there to its last byte. It must be
// paired with served, at the end of that request.
func (cc *clientConn) came() time.Time {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.reads > cc.seen {
		cc.taken = cc.arrived
	} // else it came together with the request before, in the same read
	cc.seen = cc.reads
	return cc.taken
}

// served notes that a request has been answered. Whatever of the next has not
// been read by now comes later.
func (cc *clientConn) served() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.reads == cc.seen {
		cc.floor = time.Now()
	} else {
		cc.floor = cc.arrived // pipelined: its first byte was read meanwhile
		cc.seen = cc.reads
	}
}

// Write bounds how long a client may take nothing, never how long it takes all.
func (cc *clientConn) Write(p []byte) (int, error) {
	done := 0
	for {
		_ = cc.Conn.SetWriteDeadline(time.Now().Add(clientStall))
		n, err := cc.Conn.Write(p[done:min(len(p), done+writePiece)])
		done += n
		if err != nil || done == len(p) {
			return done, err
		}
	}
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *clientConn {
	cc, _ := ctx.Value(connKey{}).(*clientConn)
	return cc
}

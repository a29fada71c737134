package httpserver

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jasperpin/internal/core"
	"jasperpin/internal/httpframing"
	"jasperpin/internal/limit"
)

const (
	// clientStall is how long a client may take none of what is written to it.
	clientStall = 20 * time.Second
	// writePiece is the most that one deadline for writing is set for.
	writePiece = 32 << 10
	// farewell is how long a client that was cut short has to read why.
	farewell = 500 * time.Millisecond
	// evictLook is how many connections are looked at for one to close at the cap.
	evictLook = 16
	// clearEvery is how often the accept queue is looked at by who closes it.
	clearEvery = time.Millisecond
	// mostBehind is how many bytes may wait behind a request that is held, whole, for its client to be
	// seen: well below what a socket takes.
	mostBehind = 48 << 10
	// mostQueued bounds what is believed of a connection's wait to be accepted.
	mostQueued = 10 * time.Second
	// lateRead is how long one that waited for longer than its head may take has to be read.
	lateRead = 100 * time.Millisecond
	// waited tells a read that found its bytes there from one that they woke.
	waited = time.Millisecond
)

// longAgo, as a deadline, ends reads at once. It is net/http's as well.
var longAgo = time.Unix(1, 0)

// cutAnswer refuses a request that did not come whole before the node's end.
const cutAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// conns keeps clients' connections within a cap. At the cap a newcomer takes the
// place of one without a whole request; limit.Evict says whose.
type conns struct {
	most int

	mu       sync.Mutex
	freed    *sync.Cond
	all      int
	silent   list.List // of *clientConn that never sent a byte, the longest quiet first
	half     list.List // likewise: with the first piece of their first request
	writing  list.List // likewise: with more of it
	resting  list.List // likewise: between requests
	accepted atomic.Int64
	wanted   bool // a newcomer waits for a place
	closed   bool
	ending   bool
}

func newConns(most int) *conns {
	c := &conns{most: most}
	c.freed = sync.NewCond(&c.mu)
	return c
}

// limit changes the cap. What is open stays open until its place is wanted.
func (c *conns) limit(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
	c.freed.Signal()
}

// listener is one of the listeners under the cap.
type listener struct {
	net.Listener
	*conns
}

// clientConn is a client's connection. What it notes of its reads tells when a
// request's last byte came.
type clientConn struct {
	net.Conn
	raw   syscall.RawConn // nil where it has none: its end is then heard of by reading alone
	owner *conns
	place *list.Element // in list, nil while a request is held or after eviction
	list  *list.List    // one of the owner's
	gone  bool
	heard time.Time   // when its last byte came, or it did
	cut   atomic.Bool // nothing more is read of a request that is not whole

	mu      sync.Mutex
	heads   httpframing.Scanner
	arrived time.Time // not after the moment at which the last bytes read came
	floor   time.Time // what was not read until then came later
	begun   time.Time // not after the first byte of the request that comes, or the connection
	reads   int
	taken   time.Time
	seen    int
	over    int           // requests whose handler has returned
	readBy  time.Time     // the deadline for reads, as asked for
	queued  time.Duration // for how long it had been there when it was accepted
}

// Accept admits a connection and closes another for it where the cap is
// reached. Where every one holds a whole request it waits for the first to end.
func (l *listener) Accept() (net.Conn, error) {
	c := l.conns
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.accepted.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.all >= c.most {
		if old := c.victim(); old != nil {
			// Closed here and not beside: a burst of newcomers would outrun the
			// closes, and each connection holds its descriptor until it is closed.
			c.evict(old)
			continue
		}
		if c.closed {
			break
		}
		c.wanted = true
		c.freed.Wait()
	}
	c.wanted = false
	c.all++
	now := time.Now()
	cc := &clientConn{Conn: nc, owner: c}
	if sc, ok := nc.(syscall.Conn); ok {
		if cc.raw, err = sc.SyscallConn(); err != nil {
			cc.raw = nil
		}
	}
	// It may have waited in the kernel's queue, with a whole request.
	cc.queued = min(cc.quiet(), mostQueued)
	came := now.Add(-cc.queued)
	cc.heard, cc.begun, cc.arrived, cc.floor = came, came, came, came
	cc.enlist(&c.silent)
	return cc, nil
}

// victim chooses the connection that makes room, or nil where all hold requests, or may.
func (c *conns) victim() *clientConn {
	now := time.Now()
	group := func(l *list.List) limit.Group {
		g := limit.Group{Count: l.Len()}
		if g.Count > 0 {
			g.Quiet = now.Sub(l.Front().Value.(*clientConn).heard)
		}
		return g
	}
	kind := limit.Evict(c.most, group(&c.silent), group(&c.half), group(&c.writing), group(&c.resting))
	l := [...]*list.List{limit.Nobody: nil, limit.Silent: &c.silent, limit.Half: &c.half, limit.Writing: &c.writing, limit.Resting: &c.resting}[kind]
	if l == nil {
		return nil
	}
	// Not one whose request may have come by now: it is read in a moment, and that tells.
	for e, n := l.Front(), 0; e != nil && n < evictLook; e, n = e.Next(), n+1 {
		if cc := e.Value.(*clientConn); !cc.brings() {
			return cc
		}
	}
	return nil
}

// makeRoom closes the connection that would make room at the cap, and says whether there is one. One that
// has just come is spared: its request is on its way, and the newcomer can wait.
func (c *conns) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.victim()
	if old == nil || old.list != &c.resting && time.Since(old.heard) < limit.SilentFor {
		return false
	}
	c.evict(old)
	return true
}

// cutOff reads no more of requests that are not whole, on connections that have been quiet
// for so long that nothing is waited for, or on all: what has begun is refused, and where
// nothing has the connection closes.
func (c *conns) cutOff(all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, l := range []*list.List{&c.silent, &c.half, &c.writing, &c.resting} {
		for e := l.Front(); e != nil; e = e.Next() {
			cc := e.Value.(*clientConn)
			if !all && (l == &c.resting || !limit.Mute(now.Sub(cc.heard))) {
				break // those behind it have been heard of later
			}
			cc.cutOff()
		}
	}
}

// closeIdle closes the connections between requests on which nothing comes. One that holds
// part of a request, read or not, is answered, and closes then.
func (c *conns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*clientConn, 0, c.resting.Len())
	for e := c.resting.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*clientConn))
	}
	for _, cc := range all { // each evict gives the lock up
		if cc.place != nil && cc.list == &c.resting && cc.idle() {
			c.evict(cc)
		}
	}
}

// end has connections close without waiting for what their clients still send.
func (c *conns) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
}

// evict closes a connection and frees its place once the descriptor is closed,
// not sooner. Called and left under the lock, which it gives up meanwhile; its
// reader notices and closes it once more, to no effect.
func (c *conns) evict(cc *clientConn) {
	cc.gone = true
	cc.unlist()
	c.mu.Unlock()
	_ = cc.Conn.Close() // returns when nobody reads or writes it any more
	c.mu.Lock()
	c.all--
	c.freed.Signal()
}

// Close closes the listener and lets none wait for a place any more.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.freed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// clear waits until the accept queue is empty, no longer than until: those in it may have
// written whole requests, and closing the listener would reset them.
func (l *listener) clear(until time.Time) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	for queued := true; queued && time.Now().Before(until); {
		if err := raw.Control(func(fd uintptr) { queued = ready(fd, unix.POLLIN) != 0 }); err != nil {
			return // closed already
		}
		if queued {
			time.Sleep(clearEvery)
		}
	}
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
	cc.unlist()
	return true
}

// enlist puts a connection behind those of a list that may make room.
func (cc *clientConn) enlist(l *list.List) {
	cc.unlist()
	cc.list = l
	cc.place = l.PushBack(cc)
}

// unlist takes a connection out of those that may make room.
func (cc *clientConn) unlist() {
	if cc.place != nil {
		cc.list.Remove(cc.place)
		cc.place = nil
	}
}

// rests frees a connection whose answer has been written, as net/http's hook. When a handler
// returns, its answer may still be in a buffer, and who makes room would take that along.
func rests(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*clientConn); ok && state == http.StateIdle {
		cc.free()
	}
}

// free marks the end of the request held.
func (cc *clientConn) free() {
	c := cc.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cc.gone && cc.place == nil {
		cc.heard = time.Now()
		cc.enlist(&c.resting)
		c.freed.Signal()
	}
}

// Close closes the connection. Where its client has sent more than was read, it is let read
// what it was told first: the reset that a close would send takes that back.
func (cc *clientConn) Close() error {
	c := cc.owner
	c.mu.Lock()
	linger := !cc.gone && !c.ending
	c.mu.Unlock()
	if linger && cc.unread() {
		cc.leave()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cc.gone {
		c.evict(cc)
	}
	return nil
}

// SetReadDeadline sets how long a read may wait. One that is cut off may not, unless its
// request is whole: then nothing more is read of it.
func (cc *clientConn) SetReadDeadline(t time.Time) error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.reads == 0 && cc.queued > 0 && t.After(time.Now()) { // its time began when it came
		if t = t.Add(-cc.queued); t.Before(time.Now().Add(lateRead)) {
			t = time.Now().Add(lateRead)
		}
	}
	cc.readBy = t
	if cc.cut.Load() && !cc.owed() {
		t = longAgo
	}
	return cc.Conn.SetReadDeadline(t)
}

// cutOff has nothing more read of a request that is not whole.
func (cc *clientConn) cutOff() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.cut.CompareAndSwap(false, true) && !cc.owed() {
		_ = cc.Conn.SetReadDeadline(longAgo)
	}
}

// owed says whether a whole request has come that is not over. Called under mu.
func (cc *clientConn) owed() bool { return cc.heads.Whole() > cc.over }

// watch waits until the client of a whole request has gone, and reads nothing: what it sends
// beyond that request stays where it is, and cannot hide its end. Only net/http reads then,
// to hear of just that, and gives up by a deadline long ago.
func (cc *clientConn) watch() error {
	for {
		gone := false
		err := cc.raw.Read(func(fd uintptr) bool {
			gone = hungUp(fd)
			return gone
		})
		switch {
		case gone:
			return io.EOF
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		}
		cc.mu.Lock()
		enough := !cc.readBy.IsZero() && !cc.readBy.After(longAgo) || !cc.owed()
		if !enough { // it was for the request's last byte, which has come
			cc.readBy = time.Time{}
			_ = cc.Conn.SetReadDeadline(time.Time{})
		}
		cc.mu.Unlock()
		if enough {
			return err
		}
	}
}

// here says whether the client still waits: it has neither ended its sending nor gone. Its end comes
// behind what it has sent, and stays with its machine while the socket takes no more.
func (cc *clientConn) here() core.ClientPresence {
	client := core.ClientWaiting
	if cc.raw == nil {
		return client
	}
	_ = cc.raw.Control(func(fd uintptr) {
		is := ready(fd, unix.POLLIN|unix.POLLRDHUP)
		switch {
		case is&parted != 0:
			client = core.ClientGone
		case is&unix.POLLIN != 0 && waiting(fd) > mostBehind:
			client = core.ClientUnknown
		}
	})
	return client
}

// hereOfStream is here of a request whose body still comes.
func (cc *clientConn) hereOfStream() core.ClientPresence {
	if client := cc.here(); client == core.ClientGone {
		return client
	}
	return core.ClientWaiting
}

// waiting is how many bytes are to be read from a socket.
func waiting(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// unread says whether its client, which is still there, has sent bytes that nobody has read.
func (cc *clientConn) unread() bool {
	var is int16
	if cc.raw != nil {
		_ = cc.raw.Control(func(fd uintptr) { is = ready(fd, unix.POLLIN|unix.POLLRDHUP) })
	}
	return is&unix.POLLIN != 0 && is&parted == 0
}

// brings says whether a whole request has been read that is not over, or bytes have come that
// may make one whole.
func (cc *clientConn) brings() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.owed() || cc.unread()
}

// idle says whether a connection is between requests and nothing comes on it.
func (cc *clientConn) idle() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.heads.Between() && !cc.owed() && !cc.unread()
}

// quiet is for how long nothing has come on the connection, as the kernel tells, or 0 where it does not:
// since the last bytes, read or not, or since the connection was made.
func (cc *clientConn) quiet() (quiet time.Duration) {
	if cc.raw == nil {
		return 0
	}
	_ = cc.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			quiet = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return quiet
}

// parted are the signs that the far side has ended its sending, or the connection is broken.
const parted = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// hungUp says whether one of them is there, whatever is still to be read ahead of it.
func hungUp(fd uintptr) bool { return ready(fd, unix.POLLRDHUP)&parted != 0 }

// ready asks the kernel what a descriptor is ready for, and waits for nothing.
func ready(fd uintptr, events int16) int16 {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if n, err := unix.Poll(p, 0); err != nil || n == 0 {
		return 0
	}
	return p[0].Revents
}

// ended takes note that the handler of a request has returned.
func (cc *clientConn) ended() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.over++
}

// cutShort refuses a request whose head has begun.
func (cc *clientConn) cutShort() {
	cc.mu.Lock()
	begun := cc.heads.Begun()
	cc.mu.Unlock()
	if !begun {
		return
	}
	_ = cc.Conn.SetDeadline(time.Now().Add(farewell))
	if _, err := io.WriteString(cc.Conn, cutAnswer); err == nil {
		cc.leave()
	}
}

// leave ends the writing, and gives the client the time to read what it was told: a close
// with bytes of its request unread would take that back.
func (cc *clientConn) leave() {
	_ = cc.Conn.SetDeadline(time.Now().Add(farewell))
	if half, ok := cc.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, cc.Conn, maxHead+limit.ShortBody)
}

func (cc *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && cc.raw != nil { // as net/http asks beside a handler
		cc.mu.Lock()
		owed := cc.owed()
		cc.mu.Unlock()
		if owed {
			return 0, cc.watch()
		}
	}
	n, err := cc.receive(p)
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && cc.cut.Load() {
			cc.cutShort()
		}
		return n, err
	}
	c := cc.owner
	c.mu.Lock()
	cc.heard = time.Now()
	switch {
	case cc.place == nil:
	case cc.list == &c.silent:
		cc.enlist(&c.half)
	case cc.list == &c.half:
		cc.enlist(&c.writing)
	default:
		cc.list.MoveToBack(cc.place)
	}
	if c.wanted {
		c.freed.Signal() // this one may make room now, or has a request
	}
	c.mu.Unlock()
	return n, err
}

// receive reads what there is, or waits for it. What it takes off the socket it notes under
// the same lock: nobody finds a request neither there nor here.
func (cc *clientConn) receive(p []byte) (n int, err error) {
	t := time.Now()
	if cc.raw == nil {
		if n, err = cc.Conn.Read(p); n > 0 {
			cc.mu.Lock()
			defer cc.mu.Unlock()
			cc.note(p[:n], t)
		}
		return n, err
	}
	var failed error
	err = cc.raw.Read(func(fd uintptr) bool {
		cc.mu.Lock()
		defer cc.mu.Unlock()
		for {
			n, failed = syscall.Read(int(fd), p)
			if failed != syscall.EINTR {
				break
			}
		}
		if n > 0 {
			cc.note(p[:n], t)
		}
		return failed != syscall.EAGAIN
	})
	switch {
	case err != nil: // its deadline has passed, or it is closed
		return 0, err
	case failed != nil:
		return 0, &net.OpError{Op: "read", Net: cc.RemoteAddr().Network(), Source: cc.LocalAddr(), Addr: cc.RemoteAddr(), Err: os.NewSyscallError("read", failed)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// note takes bytes that a read begun at t has brought. Called under mu.
func (cc *clientConn) note(p []byte, t time.Time) {
	now := time.Now()
	cc.heads.Feed(p)
	// Bytes that a read found waiting came at some time since the read before.
	// The earliest is taken: a deadline too early is kept, one too late is not.
	if now.Sub(t) > waited {
		cc.arrived = now
	} else {
		cc.arrived = cc.floor
	}
	// A process that was stopped meanwhile finds old bytes, though its read seems to have waited.
	if came := now.Add(-cc.quiet()); came.Before(cc.arrived) {
		cc.arrived = came
		if came.Before(cc.floor) {
			cc.arrived = cc.floor
		}
	}
	if cc.reads == cc.seen && cc.reads > 0 {
		cc.begun = cc.arrived
	}
	cc.floor = now
	cc.reads++
}

// head is the verdict on the framing of the request that is being handled. It must be
// asked for once a request.
func (cc *clientConn) head() (h httpframing.Head, ok bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.heads.Next()
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

// writing is for how long the request that comes has been on its way.
func (cc *clientConn) writing() time.Duration {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return time.Since(cc.begun)
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

package httpserver

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/limit"
)

// maxEvictionCandidates bounds how many connections are examined for one to close: each costs a system
// call under the lock that every read takes.
const maxEvictionCandidates = 16

// connTracker keeps clients' connections within a limit. At the limit a new connection takes the slot
// of one that holds no complete request; limit.KindToEvict decides of which kind.
type connTracker struct {
	accepted atomic.Int64 // connections, since the start

	mu       sync.Mutex
	slotFree *sync.Cond // signalled when a slot may have become free
	limit    int        // most connections open
	open     int
	// Connections that hold no complete request, by what they have sent. In each list the one that has
	// been quiet the longest is first.
	silent     list.List // of *clientConn: no byte yet
	partial    list.List // of *clientConn: one read of their first request
	sending    list.List // of *clientConn: several reads of their first request
	idle       list.List // of *clientConn: between requests, or with part of a later one
	slotWanted bool      // a new connection waits for a slot
	closed     bool      // a listener is closed: no connection waits for a slot
	noLinger   bool      // connections close without waiting for their clients to read
}

func newConnTracker(limit int) *connTracker {
	t := &connTracker{limit: limit}
	t.slotFree = sync.NewCond(&t.mu)
	return t
}

// setLimit changes the limit. Open connections stay open until their slot is wanted.
func (t *connTracker) setLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
	t.slotFree.Signal()
}

// count returns how many connections are open.
func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// admit counts a connection in, as soon as there is a slot for it, or evicts another one.
func (t *connTracker) admit(cc *clientConn) {
	t.accepted.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.open >= t.limit {
		if old := t.victim(); old != nil {
			// Closed here and not in a goroutine: a burst of new connections would outrun the closes,
			// and each connection holds its descriptor until it is closed.
			t.evict(old)
			continue
		}
		if t.closed {
			break
		}
		t.slotWanted = true
		t.slotFree.Wait()
	}
	t.slotWanted = false
	t.open++
	cc.lastActivity = cc.startClock(time.Now())
	cc.enlist(&t.silent)
}

// victim chooses the connection to close for a new one; nil where each of them holds a request, or may.
// The caller holds mu.
func (t *connTracker) victim() *clientConn {
	conns := t.listToEvict()
	if conns == nil {
		return nil
	}
	// Not one whose request may have arrived by now: it is read in a moment, and that will tell.
	for e, n := conns.Front(), 0; e != nil && n < maxEvictionCandidates; e, n = e.Next(), n+1 {
		if cc := e.Value.(*clientConn); !cc.mayHoldRequest() {
			return cc
		}
	}
	return nil
}

// listToEvict returns the list from which a connection is to be closed, or nil. The caller holds mu.
func (t *connTracker) listToEvict() *list.List {
	now := time.Now()
	group := func(conns *list.List) limit.ConnectionGroup {
		if conns.Len() == 0 {
			return limit.ConnectionGroup{}
		}
		quiet := now.Sub(conns.Front().Value.(*clientConn).lastActivity)
		return limit.ConnectionGroup{Count: conns.Len(), LongestQuiet: quiet}
	}
	kind := limit.KindToEvict(t.limit, group(&t.silent), group(&t.partial), group(&t.sending), group(&t.idle))
	switch kind {
	case limit.SilentConnection:
		return &t.silent
	case limit.PartialConnection:
		return &t.partial
	case limit.SendingConnection:
		return &t.sending
	case limit.IdleConnection:
		return &t.idle
	default:
		return nil
	}
}

// evictForDescriptor closes the connection that would be evicted at the limit, and reports whether there
// was one. A connection that has just been accepted is spared: its request is on its way, and the new
// connection can wait in the accept queue.
func (t *connTracker) evictForDescriptor() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.victim()
	if old == nil || old.list != &t.idle && time.Since(old.lastActivity) < limit.SilentGrace {
		return false
	}
	t.evict(old)
	return true
}

// evict closes a connection and frees its slot once the descriptor is closed, not sooner. The caller
// holds mu, which is released during the close. The connection's reader notices and closes it once more,
// to no effect.
func (t *connTracker) evict(cc *clientConn) {
	cc.evicted = true
	cc.unlist()
	t.mu.Unlock()
	// Returns when nobody reads or writes it any more; the descriptor is gone even where it fails.
	_ = cc.Conn.Close()
	t.mu.Lock()
	t.open--
	t.slotFree.Signal()
}

// stopReadingStalled reads no further from connections whose request has not moved for so long that it
// is not waited for. Idle connections are left to closeIdle.
func (t *connTracker) stopReadingStalled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, conns := range []*list.List{&t.silent, &t.partial, &t.sending} {
		for e := conns.Front(); e != nil; e = e.Next() {
			cc := e.Value.(*clientConn)
			if !limit.IsStalled(now.Sub(cc.lastActivity)) {
				break // the others in the list have been active more recently
			}
			cc.stopReading()
		}
	}
}

// stopReadingAll reads no further from any connection without a complete request: a request that has
// begun gets 503, and a connection without one closes.
func (t *connTracker) stopReadingAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conns := range []*list.List{&t.silent, &t.partial, &t.sending, &t.idle} {
		for e := conns.Front(); e != nil; e = e.Next() {
			e.Value.(*clientConn).stopReading()
		}
	}
}

// closeIdle closes the connections between requests on which nothing is arriving. One that has part of a
// request, read or not, is answered first.
func (t *connTracker) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := make([]*clientConn, 0, t.idle.Len())
	for e := t.idle.Front(); e != nil; e = e.Next() {
		candidates = append(candidates, e.Value.(*clientConn))
	}
	for _, cc := range candidates {
		// evict releases the lock, so each candidate's list may have changed since it was collected.
		if cc.element != nil && cc.list == &t.idle && cc.isIdle() {
			t.evict(cc)
		}
	}
}

// disableLinger has connections close without waiting for what their clients still send.
func (t *connTracker) disableLinger() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noLinger = true
}

// stopWaiting lets no new connection wait for a slot any more.
func (t *connTracker) stopWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.slotFree.Broadcast()
}

// noteActivity notes that bytes of a request have been read from a connection.
func (t *connTracker) noteActivity(cc *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cc.lastActivity = time.Now()
	switch {
	case cc.element == nil: // it holds a request, or was evicted
	case cc.list == &t.silent:
		cc.enlist(&t.partial)
	case cc.list == &t.partial:
		cc.enlist(&t.sending)
	default:
		cc.list.MoveToBack(cc.element)
	}
	if t.slotWanted {
		t.slotFree.Signal() // this connection may be evicted now, or its request has been read
	}
}

// markHoldingRequest marks a connection as holding a complete request, which protects it from eviction. It returns
// false where the connection was evicted before: its request must not run.
func (t *connTracker) markHoldingRequest(cc *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cc.evicted {
		return false
	}
	cc.unlist()
	return true
}

// markIdle marks a connection as idle: its request has been answered.
func (t *connTracker) markIdle(cc *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cc.evicted || cc.element != nil {
		return
	}
	cc.lastActivity = time.Now()
	cc.enlist(&t.idle)
	t.slotFree.Signal()
}

// lingers reports whether a connection's close is to wait for its client to read.
func (t *connTracker) lingers(cc *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !cc.evicted && !t.noLinger
}

// close closes a connection, unless it was evicted.
func (t *connTracker) close(cc *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !cc.evicted {
		t.evict(cc)
	}
}

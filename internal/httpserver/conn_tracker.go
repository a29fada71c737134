package httpserver

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/limit"
)

// maxEvictionCandidates limits the number of connections that one search for a victim examines: each costs a
// system call under the lock that every read acquires.
const maxEvictionCandidates = 16

// connTracker limits the number of clients' connections. At the limit a new connection gets the slot of one
// without a complete request; limit.KindToEvict selects the kind of connection to evict.
type connTracker struct {
	accepted atomic.Int64 // connections accepted since the start

	mu       sync.Mutex
	slotFree *sync.Cond // signalled when a slot may have become free
	limit    int        // maximum number of open connections
	open     int        // number of open connections
	// Connections without a complete request, by what they have sent. Each list is ordered by the last
	// activity, oldest first.
	silent     list.List // each element a *clientConn that has received no byte
	partial    list.List // each element a *clientConn with one read of its first request
	sending    list.List // each element a *clientConn with several reads of its first request
	idle       list.List // each element a *clientConn between requests, or with part of a later request
	slotWanted bool      // a new connection waits for a slot
	closed     bool      // a listener is closed: connections do not wait for slots
	noLinger   bool      // connections are closed without waiting until their clients have read
}

func newConnTracker(limit int) *connTracker {
	t := &connTracker{limit: limit}
	t.slotFree = sync.NewCond(&t.mu)
	return t
}

// setLimit changes the limit. Open connections stay open until their slot is needed.
func (t *connTracker) setLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
	t.slotFree.Signal()
}

// count returns the number of open connections.
func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// admit waits until there is a slot for the connection, evicting another connection if necessary, and occupies
// the slot.
func (t *connTracker) admit(newConn *clientConn) {
	t.accepted.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.open >= t.limit {
		if old := t.victim(); old != nil {
			// Closed here and not in a goroutine: in a burst, connections would be accepted faster than closed,
			// and each connection uses its descriptor until it is closed.
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
	newConn.lastActivity = newConn.startArrivalTimes(time.Now())
	newConn.addToList(&t.silent)
}

// victim returns the connection to close for a new one, or nil if each connection has a request or may have a
// request. The caller holds mu.
func (t *connTracker) victim() *clientConn {
	conns := t.listToEvict()
	if conns == nil {
		return nil
	}
	// Skip connections whose request may have arrived by now: they are about to be read, and then reclassified.
	for e, n := conns.Front(), 0; e != nil && n < maxEvictionCandidates; e, n = e.Next(), n+1 {
		if cc := e.Value.(*clientConn); !cc.mayHaveRequest() {
			return cc
		}
	}
	return nil
}

// listToEvict returns the list from which a connection is to be evicted, or nil. The caller holds mu.
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

// evictForDescriptor closes the connection that would be evicted at the limit, and reports whether there was
// one. It does not close a connection that has just been accepted: its request is about to arrive, and the new
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

// evict closes a connection, and frees its slot only when the descriptor is closed. The caller holds mu, which
// is released during the close. The goroutine that reads the connection gets an error and closes it again,
// which has no effect.
func (t *connTracker) evict(cc *clientConn) {
	cc.evicted = true
	cc.removeFromList()
	t.mu.Unlock()
	// Close returns when no goroutine reads or writes the connection any more. The descriptor is released even
	// if Close fails.
	_ = cc.Conn.Close()
	t.mu.Lock()
	t.open--
	t.slotFree.Signal()
}

// stopReadingStalled stops the reading of connections whose incomplete request has made no progress for too
// long (limit.IsStalled). Idle connections are closed by closeIdle.
func (t *connTracker) stopReadingStalled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, conns := range []*list.List{&t.silent, &t.partial, &t.sending} {
		for e := conns.Front(); e != nil; e = e.Next() {
			cc := e.Value.(*clientConn)
			if !limit.IsStalled(now.Sub(cc.lastActivity)) {
				break // the rest of the list has been active more recently
			}
			cc.stopReading()
		}
	}
}

// stopReadingAll stops the reading of all connections without a complete request. A request that has begun is
// answered 503; a connection without one is closed.
func (t *connTracker) stopReadingAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conns := range []*list.List{&t.silent, &t.partial, &t.sending, &t.idle} {
		for e := conns.Front(); e != nil; e = e.Next() {
			e.Value.(*clientConn).stopReading()
		}
	}
}

// closeIdle closes the connections between requests on which no bytes are arriving. A connection that has
// received part of a request, read or not, is not closed before it is answered.
func (t *connTracker) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := make([]*clientConn, 0, t.idle.Len())
	for e := t.idle.Front(); e != nil; e = e.Next() {
		candidates = append(candidates, e.Value.(*clientConn))
	}
	for _, cc := range candidates {
		// evict releases the lock, so the connection may have been moved to another list since it was
		// collected.
		if cc.element != nil && cc.list == &t.idle && cc.isIdle() {
			t.evict(cc)
		}
	}
}

// disableLinger makes clientConn.Close return without waiting until the client has read its answer.
func (t *connTracker) disableLinger() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noLinger = true
}

// stopWaiting ends the waits of new connections for a slot, and prevents further ones.
func (t *connTracker) stopWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.slotFree.Broadcast()
}

// recordActivity records that bytes of a request have been read from a connection.
func (t *connTracker) recordActivity(cc *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cc.lastActivity = time.Now()
	switch {
	case cc.element == nil: // the connection has a request, or was evicted
	case cc.list == &t.silent:
		cc.addToList(&t.partial)
	case cc.list == &t.partial:
		cc.addToList(&t.sending)
	default:
		cc.list.MoveToBack(cc.element)
	}
	if t.slotWanted {
		t.slotFree.Signal() // this connection can be evicted now, or its request has been read
	}
}

// markActive marks a connection as having a complete request, which protects it from eviction. It returns false
// if the connection has already been evicted: the request must not run.
func (t *connTracker) markActive(cc *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cc.evicted {
		return false
	}
	cc.removeFromList()
	return true
}

// markIdle marks a connection as idle after its request has been answered.
func (t *connTracker) markIdle(cc *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cc.evicted || cc.element != nil {
		return
	}
	cc.lastActivity = time.Now()
	cc.addToList(&t.idle)
	t.slotFree.Signal()
}

// shouldLinger reports whether closing a connection waits until its client has read its answer.
func (t *connTracker) shouldLinger(cc *clientConn) bool {
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

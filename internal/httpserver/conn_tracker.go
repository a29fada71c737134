package httpserver

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
)

// maxEvictionCandidates limits the number of connections that a search for a victim examines while it holds the lock
// that every read acquires: each costs a system call.
const maxEvictionCandidates = 16

// connTracker limits the number of clients' connections. At the limit a new connection gets the slot of one on which
// no answer is owed; limit.KindToEvict selects the kind of connection to evict. What is owed is known to each
// connection's connState; the tracker's lists only order the connections.
type connTracker struct {
	accepted  atomic.Int64   // connections accepted since the start
	memory    *requestMemory // admits long heads; nil admits all
	admission *metrics.Admission

	mu       sync.Mutex
	slotFree *sync.Cond // signalled when a slot may have become free
	limit    int        // maximum number of open connections
	open     int        // number of connections that occupy a slot
	closing  int        // number of them that are closed and whose goroutine has not ended
	// byPhase are the connections on which no answer is owed, by their phase. Each list is ordered by the last
	// activity, oldest first. Each element is a *clientConn.
	byPhase [phaseActive]list.List
	// unread are connections that a search for a victim has met with bytes to read. Their next read lists them by
	// their phase again, so that no search meets them twice without a read between.
	unread   list.List
	waiting  int  // number of new connections that wait for a slot
	closed   bool // a listener is closed: connections do not wait for slots
	noLinger bool // connections are closed without waiting until their clients have read
}

func newConnTracker(limit int) *connTracker {
	t := &connTracker{limit: limit, admission: &metrics.Admission{}}
	t.slotFree = sync.NewCond(&t.mu)
	return t
}

// setLimit changes the limit. Open connections stay open until their slot is needed.
func (t *connTracker) setLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
	t.slotFree.Broadcast()
}

// isFull reports whether there is no free slot.
func (t *connTracker) isFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open >= t.limit
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
		if t.closing > 0 { // a slot becomes free
			t.wait()
			continue
		}
		old, more := t.closeVictim(0)
		switch {
		case old != nil:
			// Closed here and not in a goroutine: in a burst, connections would be accepted faster than closed,
			// and each connection uses its descriptor until it is closed.
			t.closeDescriptor(old)
		case more: // others may have the lock first
			t.mu.Unlock()
			t.mu.Lock()
		case t.closed:
			t.occupySlot(newConn)
			return
		default:
			t.wait()
		}
	}
	t.occupySlot(newConn)
}

// wait waits until a slot may have become free. The caller holds mu.
func (t *connTracker) wait() {
	t.waiting++
	t.slotFree.Wait()
	t.waiting--
}

// occupySlot adds a new connection. The caller holds mu.
func (t *connTracker) occupySlot(newConn *clientConn) {
	t.open++
	newConn.hasSlot = true
	newConn.lastActivity = newConn.startArrivalTimes(time.Now())
	newConn.addToList(&t.byPhase[phaseSilent])
}

// closeVictim closes a connection for reading to make room for a new one, and returns it: its descriptor has to be
// closed. It returns nil if each connection owes an answer or may have a request to read, or if the next one to close
// is not idle and has been active within minQuiet. If it returns nil and more is set, there are further candidates. The
// caller holds mu.
func (t *connTracker) closeVictim(minQuiet time.Duration) (victim *clientConn, more bool) {
	for range maxEvictionCandidates {
		conns := t.listToEvict()
		if conns == nil {
			return nil, false
		}
		cc := conns.Front().Value.(*clientConn)
		if conns != &t.byPhase[phaseIdle] && time.Since(cc.lastActivity) < minQuiet {
			return nil, false
		}
		if cc.closeIfNothingOwed() {
			t.admission.ConnsEvicted.Add(1)
			return cc, false
		}
		cc.addToList(&t.unread)
	}
	return nil, true
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
	kind := limit.KindToEvict(t.limit,
		group(&t.byPhase[phaseSilent]), group(&t.byPhase[phasePartial]), group(&t.byPhase[phaseSending]), group(&t.byPhase[phaseIdle]))
	switch kind {
	case limit.SilentConnection:
		return &t.byPhase[phaseSilent]
	case limit.PartialConnection:
		return &t.byPhase[phasePartial]
	case limit.SendingConnection:
		return &t.byPhase[phaseSending]
	case limit.IdleConnection:
		return &t.byPhase[phaseIdle]
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
	old, more := t.closeVictim(limit.SilentGrace)
	for ; more; old, more = t.closeVictim(limit.SilentGrace) {
		t.mu.Unlock() // others may have the lock first
		t.mu.Lock()
	}
	if old == nil {
		return false
	}
	t.closeDescriptor(old)
	return true
}

// closeDescriptor closes the descriptor of a connection that the caller has closed for reading. Its slot is freed only
// then, and not before the goroutine that serves it has ended: clients that connect again at once would otherwise be
// accepted faster than the memory of their last connections is freed. The caller holds mu, which is released during the
// close. The goroutine that reads the connection gets an error and closes it again, which has no effect.
func (t *connTracker) closeDescriptor(conn *clientConn) {
	if conn.element != nil && conn.list == &t.byPhase[phaseIdle] {
		conn.resetAfterClose()
	}
	conn.removeFromList()
	t.mu.Unlock()
	close(conn.ended)
	// Close returns when no goroutine reads or writes the connection any more. The descriptor is released even
	// if Close fails.
	_ = conn.Conn.Close()
	t.mu.Lock()
	if conn.served {
		t.closing++
		return
	}
	conn.releaseHead()
	t.freeSlot(conn)
}

// freeSlot frees the slot of a closed connection, once. The caller holds mu.
func (t *connTracker) freeSlot(cc *clientConn) {
	if !cc.hasSlot {
		return
	}
	cc.hasSlot = false
	t.open--
	t.slotFree.Signal()
}

// beginServing records that a goroutine serves the connection. It must be followed by endServing.
func (t *connTracker) beginServing(cc *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cc.served = cc.hasSlot
}

// endServing records that the goroutine that served the connection has closed it and ends.
func (t *connTracker) endServing(cc *clientConn) {
	cc.releaseHead()
	t.mu.Lock()
	defer t.mu.Unlock()
	if cc.served {
		t.closing--
		t.freeSlot(cc)
	}
}

// stopReadingStalled stops the reading of connections whose incomplete request has made no progress for too
// long (limit.IsStalled). Idle connections are closed by closeIdle.
func (t *connTracker) stopReadingStalled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, phase := range []connPhase{phaseSilent, phasePartial, phaseSending} {
		conns := &t.byPhase[phase]
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
	for phase := range t.byPhase {
		stopReading(&t.byPhase[phase])
	}
	stopReading(&t.unread)
}

func stopReading(conns *list.List) {
	for e := conns.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).stopReading()
	}
}

// closeIdle closes the connections between requests on which no bytes are arriving. A connection that has
// received part of a request, read or not, is not closed before it is answered.
func (t *connTracker) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := &t.byPhase[phaseIdle]
	candidates := make([]*clientConn, 0, idle.Len())
	for e := idle.Front(); e != nil; e = e.Next() {
		candidates = append(candidates, e.Value.(*clientConn))
	}
	for _, cc := range candidates {
		if cc.closeIfIdle() {
			t.closeDescriptor(cc)
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

// update lists a connection by its phase, as the most recently active one. It is called after each read and answer
// that may have changed the phase.
func (t *connTracker) update(cc *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cc.lastActivity = time.Now()
	phase := cc.phase()
	if phase >= phaseActive {
		cc.removeFromList()
	} else {
		cc.addToList(&t.byPhase[phase])
	}
	if t.waiting > 0 {
		t.slotFree.Signal() // this connection can be evicted now, or its request has been read
	}
}

// lingers reports whether closing a connection waits until its client has read its answer.
func (t *connTracker) lingers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.noLinger
}

// close closes a connection, unless it is already closed.
func (t *connTracker) close(cc *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cc.closeReading() {
		t.closeDescriptor(cc)
	}
}

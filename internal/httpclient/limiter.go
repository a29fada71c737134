package httpclient

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/limit"
)

// errNoCapacity reports that no slot for a connection became free in time. It counts against no server.
var errNoCapacity = errors.New("no capacity for another connection")

// ConnectionLimiter limits the connections to servers of all pools together. Each pool has a guaranteed share
// of slots and borrows free slots beyond its share. If no slot is free, an idle connection is closed: first one
// of the pool's own, then one of a pool that uses more than its share, faulty pools before others. A connection that
// becomes idle while dials wait for a slot serves one of them. Its methods may be called from any goroutine.
type ConnectionLimiter struct {
	// ReserveDescriptor closes a descriptor in reserve if the process has none for a connection to a server, and reports
	// whether there was one; nil if there is no reserve. It must be set before the first connection.
	ReserveDescriptor func() bool

	mu      sync.Mutex
	budget  *limit.Budget
	pools   map[string][]*Upstream // upstreams of each pool by its name: the current one, and earlier ones that are draining
	waiters []*waiter              // in order of arrival
	waiting atomic.Int64           // the number of waiters
}

// waiter is a dial that waits for a slot.
type waiter struct {
	server  *server
	granted chan struct{} // closed when the waiter gets its slot, or an idle connection
	idle    *serverConn   // an idle connection to the server in place of a slot; set before granted is closed
}

// NewConnectionLimiter returns a limiter for a total of connections, with the guaranteed share of each pool. It
// returns an error if the sum of the shares exceeds the total.
func NewConnectionLimiter(total int, guarantees map[string]int) (*ConnectionLimiter, error) {
	b, err := limit.NewBudget(total, guarantees)
	return &ConnectionLimiter{budget: b, pools: make(map[string][]*Upstream)}, err
}

// Configure changes the total and the shares. If more connections are open than the new total, idle connections
// are closed, and no slot is granted until enough others are closed. If the sum of the shares exceeds the
// total, it changes nothing and returns an error.
func (l *ConnectionLimiter) Configure(total int, guarantees map[string]int) error {
	l.mu.Lock()
	err := l.budget.Configure(total, guarantees)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	for _, u := range l.upstreams() {
		for l.overLimit() && u.closeOldestIdle() {
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantWaiters()
	return nil
}

// overLimit reports whether more connections are open than the total allows.
func (l *ConnectionLimiter) overLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Free() < 0
}

// upstreams returns all upstreams, in no order.
func (l *ConnectionLimiter) upstreams() []*Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*Upstream
	for _, upstreams := range l.pools {
		all = append(all, upstreams...)
	}
	return all
}

// SetFaulty sets whether a pool is faulty: a faulty pool borrows no further slot. A pool that has recovered gets the slots
// that its dials wait for.
func (l *ConnectionLimiter) SetFaulty(pool string, faulty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetFaulty(pool, faulty)
	l.grantWaiters()
}

// CloseOneIdle closes one idle connection of any pool, and reports whether there was one.
func (l *ConnectionLimiter) CloseOneIdle() bool {
	return slices.ContainsFunc(l.upstreams(), (*Upstream).closeOldestIdle)
}

// PoolConnections returns the number of a pool's open connections.
func (l *ConnectionLimiter) PoolConnections(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.UsedBy(pool)
}

// OpenConnections returns the number of open connections of all pools.
func (l *ConnectionLimiter) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.InUse()
}

// useReserve closes a descriptor in reserve, and reports whether there was one.
func (l *ConnectionLimiter) useReserve() bool {
	return l.ReserveDescriptor != nil && l.ReserveDescriptor()
}

func (l *ConnectionLimiter) register(u *Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pools[u.Name] = append(l.pools[u.Name], u)
}

func (l *ConnectionLimiter) unregister(u *Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pools[u.Name] = slices.DeleteFunc(l.pools[u.Name], func(x *Upstream) bool { return x == u })
	if len(l.pools[u.Name]) == 0 {
		delete(l.pools, u.Name)
	}
}

// acquire acquires a slot for one connection to a server, or returns an idle connection, whose slot the caller then has.
// It waits for at most DialTimeout, and closes an idle connection if no slot is free. Its error wraps errNoCapacity or
// the cause of ctx.
func (l *ConnectionLimiter) acquire(ctx context.Context, target *server) (idle *serverConn, err error) {
	w, candidates := l.enqueue(target)
	for _, y := range candidates {
		if w.hasSlot() || y.closeOldestIdle() {
			break
		}
	}
	t := time.NewTimer(target.DialTimeout)
	defer t.Stop()
	select {
	case <-w.granted:
		return w.idle, nil
	case <-t.C:
		err = errNoCapacity
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if l.cancelWait(w) {
		return nil, fmt.Errorf("waiting for a connection slot of pool %q: %w", target.Name, err)
	}
	return w.idle, nil // the slot was granted at the last moment
}

// enqueue adds a waiter for a server, and grants it a slot if one is free that no earlier waiter can use.
// Otherwise it also returns the upstreams that may close an idle connection for it, in order of preference.
func (l *ConnectionLimiter) enqueue(target *server) (w *waiter, candidates []*Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w = &waiter{server: target, granted: make(chan struct{})}
	l.setWaiters(append(l.waiters, w))
	l.grantWaiters()
	if w.hasSlot() {
		return w, nil
	}
	candidates = slices.Clone(l.pools[target.Name])
	for _, name := range l.budget.Borrowers() {
		if name != target.Name {
			candidates = append(candidates, l.pools[name]...)
		}
	}
	return w, candidates
}

// setWaiters replaces the list of waiters. The caller holds mu.
func (l *ConnectionLimiter) setWaiters(waiters []*waiter) {
	l.waiters = waiters
	l.waiting.Store(int64(len(waiters)))
}

// cancelWait removes a waiter. It returns false if the waiter already has its slot.
func (l *ConnectionLimiter) cancelWait(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.hasSlot() {
		return false
	}
	l.setWaiters(slices.DeleteFunc(l.waiters, func(x *waiter) bool { return x == w }))
	return true
}

// offerIdle offers an idle connection to a server to the waiters: to the first one for this server, or its slot to the
// first one that may have it, for which the connection is closed. It must be called after each connection that becomes
// idle.
func (l *ConnectionLimiter) offerIdle(target *server) {
	if l.waiting.Load() == 0 {
		return
	}
	if unwanted := l.assignIdle(target); unwanted != nil {
		unwanted.discard()
	}
}

// assignIdle gives an idle connection to a server to the first waiter for this server. If there is none, and another waiter
// may have the connection's slot, it returns the connection, which is to be closed.
func (l *ConnectionLimiter) assignIdle(target *server) (unwanted *serverConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := slices.IndexFunc(l.waiters, func(w *waiter) bool { return w.server == target })
	wantsSlot := func(w *waiter) bool { return l.budget.MayMove(target.Name, w.server.Name) }
	if first < 0 && !slices.ContainsFunc(l.waiters, wantsSlot) {
		return nil
	}
	conn, _ := target.takeIdle(target)
	if conn == nil || first < 0 {
		return conn
	}
	w := l.waiters[first]
	l.setWaiters(slices.Delete(l.waiters, first, first+1))
	w.idle = conn
	close(w.granted)
	return nil
}

func (w *waiter) hasSlot() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// release releases the slot of a closed connection.
func (l *ConnectionLimiter) release(u *Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Release(u.Name, 1)
	l.grantWaiters()
}

// grantWaiters grants free slots to waiters in order. A waiter whose pool may not get a slot does not block
// later ones. The caller holds mu.
func (l *ConnectionLimiter) grantWaiters() {
	l.setWaiters(slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		if !l.budget.Take(w.server.Name, 1) {
			return false
		}
		close(w.granted)
		return true
	}))
}

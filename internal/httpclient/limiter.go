package httpclient

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/limit"
)

// errNoCapacity says that no slot for a connection became free in time. No server is to blame.
var errNoCapacity = errors.New("no capacity for another connection")

// ConnectionLimiter bounds the connections to servers over all pools. Each pool has a guaranteed share and
// borrows what is free beyond that. Where no slot is free an idle connection is closed for it: one of the
// pool's own first, then of pools that hold more than their share, faulty pools before others. Its methods
// may be called from any goroutine.
type ConnectionLimiter struct {
	mu      sync.Mutex
	budget  *limit.Budget
	pools   map[string][]*Upstream // by name: the one in use, and older ones that are draining
	waiters []*waiter              // in the order in which they came
}

// waiter is a dial that waits for a slot.
type waiter struct {
	pool    string
	granted chan struct{} // closed once the slot is the waiter's
}

// NewConnectionLimiter makes a limiter for a total of connections, with each pool's guaranteed share. It
// fails where the shares exceed the total.
func NewConnectionLimiter(total int, guarantees map[string]int) (*ConnectionLimiter, error) {
	b, err := limit.NewBudget(total, guarantees)
	return &ConnectionLimiter{budget: b, pools: make(map[string][]*Upstream)}, err
}

// Configure changes the total and the shares. Where the new total is less than what is open, idle
// connections are closed, and nobody gets a slot before enough others are. It fails, and changes nothing,
// where the shares exceed the total.
func (l *ConnectionLimiter) Configure(total int, guarantees map[string]int) error {
	l.mu.Lock()
	err := l.budget.Configure(total, guarantees)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	for _, u := range l.upstreams() {
		for l.exceeded() && u.closeOldestIdle() {
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantWaiters()
	return nil
}

// exceeded reports whether more connections are open than the total allows.
func (l *ConnectionLimiter) exceeded() bool {
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

// SetFaulty marks a pool as faulty or not: a faulty one borrows no further slot.
func (l *ConnectionLimiter) SetFaulty(pool string, faulty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetFaulty(pool, faulty)
}

// CloseOneIdle closes one idle connection, of whichever pool, and reports whether there was one.
func (l *ConnectionLimiter) CloseOneIdle() bool {
	return slices.ContainsFunc(l.upstreams(), (*Upstream).closeOldestIdle)
}

// PoolConnections is how many connections a pool has open.
func (l *ConnectionLimiter) PoolConnections(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.UsedBy(pool)
}

// OpenConnections is how many connections are open.
func (l *ConnectionLimiter) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.InUse()
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

// acquire takes a slot for one connection. It waits for one for DialTimeout at most, and closes an idle
// connection for it. Its error wraps errNoCapacity or the cause of ctx.
func (l *ConnectionLimiter) acquire(ctx context.Context, u *Upstream) error {
	w, yielding := l.enqueue(u.Name)
	for _, y := range yielding {
		if w.hasSlot() || y.closeOldestIdle() {
			break
		}
	}
	t := time.NewTimer(u.DialTimeout)
	defer t.Stop()
	var err error
	select {
	case <-w.granted:
		return nil
	case <-t.C:
		err = errNoCapacity
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if l.giveUp(w) {
		return fmt.Errorf("waiting for the slot of a connection of pool %q: %w", u.Name, err)
	}
	return nil // the slot came at the last moment
}

// enqueue adds a waiter for a pool, which has its slot at once where one is free and nobody is ahead.
// Otherwise it returns the upstreams that are to close an idle connection for it, in this order.
func (l *ConnectionLimiter) enqueue(pool string) (w *waiter, yielding []*Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w = &waiter{pool: pool, granted: make(chan struct{})}
	l.waiters = append(l.waiters, w)
	l.grantWaiters()
	if w.hasSlot() {
		return w, nil
	}
	yielding = slices.Clone(l.pools[pool])
	for _, name := range l.budget.Borrowers() {
		if name != pool {
			yielding = append(yielding, l.pools[name]...)
		}
	}
	return w, yielding
}

// giveUp removes a waiter. It returns false where the waiter has its slot already.
func (l *ConnectionLimiter) giveUp(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.hasSlot() {
		return false
	}
	l.waiters = slices.DeleteFunc(l.waiters, func(x *waiter) bool { return x == w })
	return true
}

func (w *waiter) hasSlot() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// release gives the slot of a closed connection back.
func (l *ConnectionLimiter) release(u *Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Release(u.Name, 1)
	l.grantWaiters()
}

// grantWaiters gives slots to those that wait, as far as there are any. A pool that may have none does not
// block the others. The caller holds mu.
func (l *ConnectionLimiter) grantWaiters() {
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		if !l.budget.Take(w.pool, 1) {
			return false
		}
		close(w.granted)
		return true
	})
}

package httpclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/limit"
)

// ConnectionLimiter bounds the connections to servers over all pools. Each pool has a part of
// its own and borrows what is free of the rest. Where there is none, connections
// at rest make room: the pool's own first, then those of pools that hold more
// than their part, pools in trouble before others.
type ConnectionLimiter struct {
	mu      sync.Mutex
	budget  *limit.Budget
	pools   map[string][]*Upstream // of one name, one is in use and others drain
	waiters []*waiter              // first come, first served
}

type waiter struct {
	name string
	got  chan struct{} // closed once the place is the waiter's
}

// NewConnectionLimiter makes room for so many connections, with each pool's guaranteed part.
func NewConnectionLimiter(total int, guarantees map[string]int) (*ConnectionLimiter, error) {
	b, err := limit.NewBudget(total, guarantees)
	return &ConnectionLimiter{budget: b, pools: make(map[string][]*Upstream)}, err
}

// Configure changes the total and the parts. Where less is left than is open,
// connections at rest close: what is beyond the total lets nobody in until then.
func (r *ConnectionLimiter) Configure(total int, guarantees map[string]int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.budget.Configure(total, guarantees); err != nil {
		return err
	}
	var all []*Upstream
	for _, us := range r.pools {
		all = append(all, us...)
	}
	for _, u := range all {
		for r.budget.Free() < 0 {
			r.mu.Unlock()
			closed := u.yield() // which gives its place back, under the lock
			r.mu.Lock()
			if !closed {
				break
			}
		}
	}
	r.serve()
	return nil
}

// Trouble marks a pool as in trouble: it borrows nothing more.
func (r *ConnectionLimiter) Trouble(name string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Trouble(name, on)
}

// Spare closes a connection at rest, whichever pool's, and says whether there was one.
func (r *ConnectionLimiter) Spare() bool {
	r.mu.Lock()
	var all []*Upstream
	for _, us := range r.pools {
		all = append(all, us...)
	}
	r.mu.Unlock()
	return slices.ContainsFunc(all, func(u *Upstream) bool { return u.yield() })
}

// Used is how many connections a pool has open.
func (r *ConnectionLimiter) Used(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Used(name)
}

// All is how many connections there are.
func (r *ConnectionLimiter) All() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Held()
}

func (r *ConnectionLimiter) join(u *Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools[u.Name] = append(r.pools[u.Name], u)
}

func (r *ConnectionLimiter) leave(u *Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools[u.Name] = slices.DeleteFunc(r.pools[u.Name], func(x *Upstream) bool { return x == u })
	if len(r.pools[u.Name]) == 0 {
		delete(r.pools, u.Name)
	}
}

// take takes a place for one connection, and waits for one at most as long as for
// the connection itself.
func (r *ConnectionLimiter) take(ctx context.Context, u *Upstream) error {
	r.mu.Lock()
	if len(r.waiters) == 0 && r.budget.Take(u.Name, 1) {
		r.mu.Unlock()
		return nil
	}
	w := &waiter{name: u.Name, got: make(chan struct{})}
	r.waiters = append(r.waiters, w)
	r.serve()
	yielders := slices.Clone(r.pools[u.Name])
	for _, name := range r.budget.Debtors() {
		if name != u.Name {
			yielders = append(yielders, r.pools[name]...)
		}
	}
	r.mu.Unlock()
	for _, y := range yielders {
		if w.has() || y.yield() {
			break
		}
	}
	t := time.NewTimer(u.DialTimeout)
	defer t.Stop()
	var err error
	select {
	case <-w.got:
		return nil
	case <-t.C:
		err = errNoSocket
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.has() {
		return nil // it came at the last moment
	}
	r.waiters = slices.DeleteFunc(r.waiters, func(x *waiter) bool { return x == w })
	return err
}

func (w *waiter) has() bool {
	select {
	case <-w.got:
		return true
	default:
		return false
	}
}

// give gives a place back.
func (r *ConnectionLimiter) give(u *Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Give(u.Name, 1)
	r.serve()
}

// serve lets in those that wait, as far as there is room for them. One whose pool
// may have none does not stand in the way of the others.
func (r *ConnectionLimiter) serve() {
	r.waiters = slices.DeleteFunc(r.waiters, func(w *waiter) bool {
		if !r.budget.Take(w.name, 1) {
			return false
		}
		close(w.got)
		return true
	})
}

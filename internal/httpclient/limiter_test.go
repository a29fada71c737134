package httpclient

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// newTwoPools makes the upstreams of two pools, a and b, under one limiter.
func newTwoPools(t *testing.T, total int, guarantees map[string]int) (limiter *ConnectionLimiter, a, b *Upstream) {
	t.Helper()
	limiter, err := NewConnectionLimiter(total, guarantees)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{DialTimeout: 250 * time.Millisecond, KeepAlive: time.Hour}
	o.Name = "a"
	a = New(o, limiter)
	o.Name = "b"
	b = New(o, limiter)
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return limiter, a, b
}

// fill opens n connections of a pool.
func fill(t *testing.T, u *Upstream, addr string, n int) []*serverConn {
	t.Helper()
	var conns []*serverConn
	for range n {
		c, err := u.dial(t.Context(), u.newServer(), addr, 0)
		if err != nil {
			t.Fatalf("connection %d of %d: %v", len(conns)+1, n, err)
		}
		conns = append(conns, c)
	}
	return conns
}

// TestLimiterLendsAndReclaimsIdleConnections: pool a has borrowed slots beyond its share for connections
// that are idle. As pool b opens connections they are closed, one for one; a slot that is guaranteed to b
// is never lent.
func TestLimiterLendsAndReclaimsIdleConnections(t *testing.T) {
	backend := check.ScriptedServer(t, emulator.Echo)
	limiter, a, b := newTwoPools(t, 10, map[string]int{"a": 2, "b": 4})
	for _, c := range fill(t, a, backend.Addr, 6) { // the other 4 are guaranteed to b
		a.putIdle(c)
	}
	if _, err := a.dial(cancelled(t), a.newServer(), backend.Addr, 0); err == nil {
		t.Fatal("a pool took a slot that is guaranteed to another")
	}
	var busy []*serverConn
	for want := 5; want >= 2; want-- { // b borrows, and idle connections of a are closed for it
		if len(busy) == 0 {
			busy = fill(t, b, backend.Addr, 4)
		}
		busy = append(busy, fill(t, b, backend.Addr, 1)...)
		if got := limiter.PoolConnections("a"); got > want {
			t.Errorf("a has %d connections, want at most %d", got, want)
		}
	}
	for _, c := range busy {
		c.Close()
	}
	a.Close()
	if got := limiter.PoolConnections("a") + limiter.PoolConnections("b"); got != 0 {
		t.Errorf("%d slots are held without a connection", got)
	}
}

func cancelled(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// TestFaultyPoolBorrowsNothing: a faulty pool gets its guaranteed share of connections and nothing beyond.
func TestFaultyPoolBorrowsNothing(t *testing.T) {
	backend := check.ScriptedServer(t, emulator.Echo)
	limiter, a, b := newTwoPools(t, 10, map[string]int{"a": 3, "b": 3})
	limiter.SetFaulty("a", true)
	held := fill(t, a, backend.Addr, 3)
	if _, err := a.dial(cancelled(t), a.newServer(), backend.Addr, 0); err == nil {
		t.Error("a faulty pool borrowed a slot")
	}
	held = append(held, fill(t, b, backend.Addr, 7)...)
	limiter.SetFaulty("a", false)
	if _, err := a.dial(t.Context(), a.newServer(), backend.Addr, 0); !errors.Is(err, errNoCapacity) {
		t.Errorf("a connection over the total: %v, want %v", err, errNoCapacity)
	}
	for _, c := range held {
		c.Close()
	}
}

// TestLimiterServesWaitersInOrder: two dials wait for a slot, that of pool a first. A slot of b's share
// goes to b at once, since a may not have it; a gets the next of its own.
func TestLimiterServesWaitersInOrder(t *testing.T) {
	backend := check.ScriptedServer(t, emulator.Echo)
	limiter, a, b := newTwoPools(t, 4, map[string]int{"a": 1, "b": 3})
	a.DialTimeout, b.DialTimeout = check.Soon, check.Soon
	heldA, heldB := fill(t, a, backend.Addr, 1), fill(t, b, backend.Addr, 3)
	var wg sync.WaitGroup
	got := make(chan string, 2)
	wait := func(u *Upstream) {
		wg.Go(func() {
			c, err := u.dial(t.Context(), u.newServer(), backend.Addr, 0)
			if err != nil {
				t.Error(err)
				return
			}
			got <- u.Name
			c.Close()
		})
		check.Eventually(t, "the dial waits", func() bool {
			limiter.mu.Lock()
			defer limiter.mu.Unlock()
			for _, w := range limiter.waiters {
				if w.pool == u.Name {
					return true
				}
			}
			return false
		})
	}
	wait(a)
	wait(b)
	heldB[0].Close()
	if name := <-got; name != "b" {
		t.Errorf("%s got the slot of b's share", name)
	}
	heldA[0].Close()
	if name := <-got; name != "a" {
		t.Errorf("%s got the slot of a's share", name)
	}
	wg.Wait()
	if err := limiter.Configure(4, map[string]int{"a": 4}); err != nil {
		t.Error(err)
	}
	for _, c := range heldB[1:] { // a pool that is no longer configured still gives its slots back
		c.Close()
	}
	if n := limiter.PoolConnections("b"); n != 0 {
		t.Errorf("b still has %d connections", n)
	}
}

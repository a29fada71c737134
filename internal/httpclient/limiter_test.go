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

// newTwoPools returns the upstreams of two pools, a and b, with one limiter.
func newTwoPools(t *testing.T, total int, guarantees map[string]int) (limiter *ConnectionLimiter, poolA, poolB *Upstream) {
	t.Helper()
	limiter, err := NewConnectionLimiter(total, guarantees)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{DialTimeout: 250 * time.Millisecond, KeepAlive: time.Hour}
	o.Name = "a"
	poolA = New(o, limiter)
	o.Name = "b"
	poolB = New(o, limiter)
	t.Cleanup(poolA.Close)
	t.Cleanup(poolB.Close)
	return limiter, poolA, poolB
}

// fill opens n connections of a pool.
func fill(t *testing.T, u *Upstream, addr string, n int) []*serverConn {
	t.Helper()
	var conns []*serverConn
	for range n {
		c, err := u.dial(t.Context(), u.newServer(), addr, 0)
		if err != nil {
			t.Fatalf("opening connection %d of %d failed: %v, want a connection", len(conns)+1, n, err)
		}
		conns = append(conns, c)
	}
	return conns
}

// TestLimiterLendsAndReclaimsIdleConnections: pool a has borrowed slots beyond its share, and its connections
// are idle. For each connection that pool b opens, one idle connection of a is closed; a slot that is guaranteed
// to b is never lent.
func TestLimiterLendsAndReclaimsIdleConnections(t *testing.T) {
	scripted := check.ScriptedServer(t, emulator.Echo)
	limiter, poolA, poolB := newTwoPools(t, 10, map[string]int{"a": 2, "b": 4})
	for _, c := range fill(t, poolA, scripted.Addr, 6) { // the other 4 are guaranteed to b
		poolA.putIdle(c)
	}
	if _, err := poolA.dial(cancelled(t), poolA.newServer(), scripted.Addr, 0); err == nil {
		t.Fatal("a pool acquired a slot that is guaranteed to another pool")
	}
	var busy []*serverConn
	for want := 5; want >= 2; want-- { // b borrows, and one idle connection of a is closed for each
		if len(busy) == 0 {
			busy = fill(t, poolB, scripted.Addr, 4)
		}
		busy = append(busy, fill(t, poolB, scripted.Addr, 1)...)
		if got := limiter.PoolConnections("a"); got > want {
			t.Errorf("pool a has %d connections, want at most %d", got, want)
		}
	}
	for _, c := range busy {
		c.Close()
	}
	poolA.Close()
	if got := limiter.PoolConnections("a") + limiter.PoolConnections("b"); got != 0 {
		t.Errorf("%d slots are in use without a connection, want none", got)
	}
}

func cancelled(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// TestFaultyPoolBorrowsNothing: a faulty pool gets its guaranteed share of connections and no more.
func TestFaultyPoolBorrowsNothing(t *testing.T) {
	scripted := check.ScriptedServer(t, emulator.Echo)
	limiter, poolA, poolB := newTwoPools(t, 10, map[string]int{"a": 3, "b": 3})
	limiter.SetFaulty("a", true)
	held := fill(t, poolA, scripted.Addr, 3)
	if _, err := poolA.dial(cancelled(t), poolA.newServer(), scripted.Addr, 0); err == nil {
		t.Error("a faulty pool borrowed a slot")
	}
	held = append(held, fill(t, poolB, scripted.Addr, 7)...)
	limiter.SetFaulty("a", false)
	if _, err := poolA.dial(t.Context(), poolA.newServer(), scripted.Addr, 0); !errors.Is(err, errNoCapacity) {
		t.Errorf("dialling beyond the total failed with %v, want %v", err, errNoCapacity)
	}
	for _, c := range held {
		c.Close()
	}
}

// TestLimiterServesWaitersInOrder: two dials wait for a slot, first one of pool a, then one of pool b. A slot
// of b's share is granted to b, since a may not use it; a gets the next slot of its own share.
func TestLimiterServesWaitersInOrder(t *testing.T) {
	scripted := check.ScriptedServer(t, emulator.Echo)
	limiter, poolA, poolB := newTwoPools(t, 4, map[string]int{"a": 1, "b": 3})
	poolA.DialTimeout, poolB.DialTimeout = check.Timeout, check.Timeout
	heldA, heldB := fill(t, poolA, scripted.Addr, 1), fill(t, poolB, scripted.Addr, 3)
	var wg sync.WaitGroup
	got := make(chan string, 2)
	wait := func(u *Upstream) {
		wg.Go(func() {
			c, err := u.dial(t.Context(), u.newServer(), scripted.Addr, 0)
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
	wait(poolA)
	wait(poolB)
	heldB[0].Close()
	if name := <-got; name != "b" {
		t.Errorf("pool %s got the slot of b's share, want pool b", name)
	}
	heldA[0].Close()
	if name := <-got; name != "a" {
		t.Errorf("pool %s got the slot of a's share, want pool a", name)
	}
	wg.Wait()
	if err := limiter.Configure(4, map[string]int{"a": 4}); err != nil {
		t.Error(err)
	}
	for _, c := range heldB[1:] { // a pool that is no longer configured still releases its slots
		c.Close()
	}
	if n := limiter.PoolConnections("b"); n != 0 {
		t.Errorf("pool b still has %d connections, want none", n)
	}
}

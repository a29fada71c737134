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

// shared makes two pools under one room of so many connections.
func shared(t *testing.T, total int, parts map[string]int) (*ConnectionLimiter, *Upstream, *Upstream) {
	t.Helper()
	room, err := NewConnectionLimiter(total, parts)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{DialTimeout: 250 * time.Millisecond, KeepAlive: time.Hour}
	o.Name = "a"
	a := New(o, room)
	o.Name = "b"
	b := New(o, room)
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return room, a, b
}

// fill opens so many connections of a pool and gives them.
func fill(t *testing.T, u *Upstream, addr string, n int) []*upConn {
	t.Helper()
	var conns []*upConn
	for range n {
		c, err := u.dial(t.Context(), u.newServer(), addr, 0)
		if err != nil {
			t.Fatalf("connection %d of %d: %v", len(conns)+1, n, err)
		}
		conns = append(conns, c)
	}
	return conns
}

// TestRoomLendsAndCallsBack lends what is at rest and has it closed for another
// pool, one for one.
func TestRoomLendsAndCallsBack(t *testing.T) {
	back := check.Raw(t, emulator.Echo)
	room, a, b := shared(t, 10, map[string]int{"a": 2, "b": 4})
	for _, c := range fill(t, a, back.Addr, 6) { // 4 are promised to b
		a.put(c)
	}
	if _, err := a.dial(cancelled(t), a.newServer(), back.Addr, 0); err == nil {
		t.Fatal("a pool took what is promised to another")
	}
	var busy []*upConn
	for want := 5; want >= 2; want-- { // b borrows, and a gives back what rests
		if len(busy) == 0 {
			busy = fill(t, b, back.Addr, 4)
		}
		busy = append(busy, fill(t, b, back.Addr, 1)...)
		if got := room.Used("a"); got > want {
			t.Errorf("a holds %d, want %d at the most", got, want)
		}
	}
	for _, c := range busy {
		c.Close()
	}
	a.Close()
	if got := room.Used("a") + room.Used("b"); got != 0 {
		t.Errorf("%d are held by nobody", got)
	}
}

func cancelled(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// TestRoomTrouble has a pool in trouble borrow nothing, and have its part.
func TestRoomTrouble(t *testing.T) {
	back := check.Raw(t, emulator.Echo)
	room, a, b := shared(t, 10, map[string]int{"a": 3, "b": 3})
	room.Trouble("a", true)
	held := fill(t, a, back.Addr, 3)
	if _, err := a.dial(cancelled(t), a.newServer(), back.Addr, 0); err == nil {
		t.Error("in trouble it borrows")
	}
	held = append(held, fill(t, b, back.Addr, 7)...)
	room.Trouble("a", false)
	if _, err := a.dial(t.Context(), a.newServer(), back.Addr, 0); !errors.Is(err, errNoSocket) {
		t.Errorf("over the total: %v", err)
	}
	for _, c := range held {
		c.Close()
	}
}

// TestRoomServesWaiters lets in who waits, first come first served, and passes
// over a pool that may have none.
func TestRoomServesWaiters(t *testing.T) {
	back := check.Raw(t, emulator.Echo)
	room, a, b := shared(t, 4, map[string]int{"a": 1, "b": 3})
	a.DialTimeout, b.DialTimeout = check.Soon, check.Soon
	heldA, heldB := fill(t, a, back.Addr, 1), fill(t, b, back.Addr, 3)
	var wg sync.WaitGroup
	got := make(chan string, 2)
	wait := func(u *Upstream) {
		wg.Go(func() {
			c, err := u.dial(t.Context(), u.newServer(), back.Addr, 0)
			if err != nil {
				t.Error(err)
				return
			}
			got <- u.Name
			c.Close()
		})
		check.Eventually(t, "it waits", func() bool {
			room.mu.Lock()
			defer room.mu.Unlock()
			for _, w := range room.waiters {
				if w.name == u.Name {
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
		t.Errorf("%s was let in for a place of b's", name)
	}
	heldA[0].Close()
	if name := <-got; name != "a" {
		t.Errorf("%s was let in", name)
	}
	wg.Wait()
	if err := room.Configure(4, map[string]int{"a": 4}); err != nil {
		t.Error(err)
	}
	for _, c := range heldB[1:] { // what a configuration no longer names is still given back
		c.Close()
	}
	if n := room.Used("b"); n != 0 {
		t.Errorf("b holds %d", n)
	}
}

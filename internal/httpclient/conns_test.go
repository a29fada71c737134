package httpclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// upstream makes an upstream with room for so many connections.
func upstream(t *testing.T, most int) *Upstream {
	t.Helper()
	room, err := NewConnectionLimiter(most, map[string]int{"p": most})
	if err != nil {
		t.Fatal(err)
	}
	return New(Options{Name: "p", DialTimeout: 250 * time.Millisecond, KeepAlive: 15 * time.Second}, room)
}

func (p *Upstream) newServer() *server { return p.AddServer().(*server) }

func open(p *Upstream) int { return p.room.Used(p.Name) }

// TestLateSurplusIsNoAnswer is the same for bytes that come on a connection at rest.
func TestLateSurplusIsNoAnswer(t *testing.T) {
	late := make(chan net.Conn, 1)
	s := check.Raw(t, func(c net.Conn, r *http.Request, body []byte) bool {
		select {
		case late <- c:
		default:
		}
		return emulator.Echo(c, r, body)
	})
	p := upstream(t, 32)
	srv := p.newServer()
	for i := range 2 {
		id := fmt.Sprint("late", i)
		c, err := p.get(t.Context(), srv, s.Addr)
		if err != nil {
			t.Fatal(err)
		}
		if got := exchange(t, c, id); got != id+" " {
			t.Fatalf("request %s: %q", id, got)
		}
		p.put(c)
		if i == 0 {
			emulator.Respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")(<-late, nil, nil)
			check.Eventually(t, "the surplus has come", func() bool { return !c.silent() })
		}
	}
	p.Close()
}

func exchange(t *testing.T, c *upConn, id string) string {
	t.Helper()
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {id}}}
	req, _, sent, err := c.send(m, "h", core.AttemptDeadlines{ClientDeadline: time.Now().Add(time.Minute)}, &told{ok: true})
	if sent == 0 || err != nil {
		t.Fatalf("sent %d bytes: %v", sent, err)
	}
	resp, err := c.head(req)
	if err != nil {
		t.Fatal(err)
	}
	body, _, err := c.body(resp, core.MaxBody)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestPoolEvictsOne fills the room for connections with idle ones: a new server
// costs one other its connection, the one at rest for longest.
func TestPoolEvictsOne(t *testing.T) {
	const n = 32
	p := upstream(t, n)
	defer p.Close()
	back := make([]*emulator.Raw, n+1)
	srvs := make([]*server, n+1)
	use := func(i int) {
		c, err := p.get(t.Context(), srvs[i], back[i].Addr)
		if err != nil {
			t.Fatal(err)
		}
		p.put(c)
	}
	for i := range back {
		back[i], srvs[i] = check.Raw(t, emulator.Echo), p.newServer()
		use(i)
	}
	if got := open(p); got != n {
		t.Errorf("%d connections open, want %d", got, n)
	}
	for i := 1; i <= n; i++ {
		use(i)
	}
	for i, b := range back {
		check.Eventually(t, "the connection is accepted", func() bool { return b.Conns.Load() > 0 })
		if got := b.Conns.Load(); got != 1 {
			t.Errorf("server %d was connected to %d times", i, got)
		}
	}
	use(0)
	check.Eventually(t, "the evicted one is connected to again", func() bool { return back[0].Conns.Load() == 2 })
}

// TestPoolGivesRoomBack takes every way out of the pool.
func TestPoolGivesRoomBack(t *testing.T) {
	const n = 32
	p := upstream(t, n)
	p.rest = time.Millisecond
	back := check.Raw(t, emulator.Echo)
	srv := p.newServer()
	get := func() *upConn {
		c, err := p.get(t.Context(), srv, back.Addr)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	p.put(get())
	check.Eventually(t, "a connection at rest expires", func() bool { return open(p) == 0 })
	c := get()
	srv.Invalidate()
	p.put(c) // its server has gone meanwhile
	if open(p) != 0 {
		t.Error("a connection to a server that left was kept")
	}
	p.rest = time.Hour
	p.put(get())
	srv.Invalidate()
	if open(p) != 0 {
		t.Error("a connection at rest outlived its server")
	}
	for range n {
		defer get().Close()
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.get(ctx, srv, back.Addr); err == nil {
		t.Error("more connections than there is room for")
	}
}

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

// newTestUpstream makes the upstream of a pool that may have maxConns connections.
func newTestUpstream(t *testing.T, maxConns int) *Upstream {
	t.Helper()
	limiter, err := NewConnectionLimiter(maxConns, map[string]int{"p": maxConns})
	if err != nil {
		t.Fatal(err)
	}
	return New(Options{Name: "p", DialTimeout: 250 * time.Millisecond, KeepAlive: 15 * time.Second}, limiter)
}

func (u *Upstream) newServer() *server { return u.AddServer().(*server) }

func openConnections(p *Upstream) int { return p.limiter.PoolConnections(p.Name) }

// TestSurplusBytesAreNoAnswer: a server sends a second answer on a connection that has become idle. The next
// request must not get it as its answer: it goes out on another connection.
func TestSurplusBytesAreNoAnswer(t *testing.T) {
	serverSide := make(chan net.Conn, 1)
	s := check.ScriptedServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		select {
		case serverSide <- c:
		default:
		}
		return emulator.Echo(c, r, body)
	})
	p := newTestUpstream(t, 32)
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
		p.putIdle(c)
		if i == 0 {
			emulator.Respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")(<-serverSide, nil, nil)
			check.Eventually(t, "the surplus has arrived", func() bool { return !c.isQuiet() })
		}
	}
	p.Close()
}

// exchange sends a request on a connection and returns the body of its answer.
func exchange(t *testing.T, c *serverConn, id string) string {
	t.Helper()
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {id}}}
	sent, err := c.send(m, "h", core.AttemptDeadlines{ClientDeadline: time.Now().Add(time.Minute)}, &fakeGate{allowed: true})
	if sent.bytes == 0 || err != nil {
		t.Fatalf("sent %d bytes: %v", sent.bytes, err)
	}
	resp, err := c.readHead(sent.request)
	if err != nil {
		t.Fatal(err)
	}
	body, _, err := c.readBody(resp, core.DefaultMaxBody)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestNewConnectionEvictsOldestIdle: idle connections use all slots. A connection to a further server costs
// exactly one of them, the one that has been idle the longest.
func TestNewConnectionEvictsOldestIdle(t *testing.T) {
	const n = 32
	p := newTestUpstream(t, n)
	defer p.Close()
	backends := make([]*emulator.ScriptedServer, n+1)
	servers := make([]*server, n+1)
	use := func(i int) {
		c, err := p.get(t.Context(), servers[i], backends[i].Addr)
		if err != nil {
			t.Fatal(err)
		}
		p.putIdle(c)
	}
	for i := range backends {
		backends[i], servers[i] = check.ScriptedServer(t, emulator.Echo), p.newServer()
		use(i)
	}
	if got := openConnections(p); got != n {
		t.Errorf("%d connections open, want %d", got, n)
	}
	for i := 1; i <= n; i++ {
		use(i)
	}
	for i, b := range backends {
		check.Eventually(t, "the connection is accepted", func() bool { return b.Conns.Load() > 0 })
		if got := b.Conns.Load(); got != 1 {
			t.Errorf("server %d was connected to %d times", i, got)
		}
	}
	use(0)
	check.Eventually(t, "the server whose connection was evicted is connected to again", func() bool { return backends[0].Conns.Load() == 2 })
}

// TestEveryConnectionReleasesItsPlace: connections end in every way that there is (expired, server replaced
// while in use or idle). Each gives its slot back, and no more connections are made than there are slots.
func TestEveryConnectionReleasesItsPlace(t *testing.T) {
	const n = 32
	p := newTestUpstream(t, n)
	p.idleTimeout = time.Millisecond
	backend := check.ScriptedServer(t, emulator.Echo)
	srv := p.newServer()
	get := func() *serverConn {
		c, err := p.get(t.Context(), srv, backend.Addr)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	p.putIdle(get())
	check.Eventually(t, "an idle connection expires", func() bool { return openConnections(p) == 0 })
	c := get()
	srv.Invalidate()
	p.putIdle(c) // its server was replaced meanwhile
	if openConnections(p) != 0 {
		t.Error("a connection to a replaced server became idle")
	}
	p.idleTimeout = time.Hour
	p.putIdle(get())
	srv.Invalidate()
	if openConnections(p) != 0 {
		t.Error("an idle connection outlived its server")
	}
	for range n {
		defer get().Close()
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.get(ctx, srv, backend.Addr); err == nil {
		t.Error("more connections than there are slots")
	}
}

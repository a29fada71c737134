package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jasperpin/decide"
)

// TestSurplusIsNoAnswer has a server send more than belongs to its answer: the
// requests after it must get their own answers, on whatever connection.
func TestSurplusIsNoAnswer(t *testing.T) {
	for name, surplus := range map[string]string{
		"second copy": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale",
		"noise":       "\x00\x17\xff\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
				text := r.Header.Get("Req-Id") + " "
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(text), text, surplus)
				return err == nil
			})
			n := startNode(t, nil, s.addr)
			c := n.dial()
			br := bufio.NewReader(c)
			for i := range 200 {
				id := fmt.Sprint("q", i)
				if status, body, _ := n.ask(c, br, look(id)); status != 200 || body != id+" " {
					t.Fatalf("request %s: %d %q", id, status, body)
				}
			}
		})
	}
}

// TestLateSurplusIsNoAnswer is the same for bytes that come on a connection at rest.
func TestLateSurplusIsNoAnswer(t *testing.T) {
	late := make(chan net.Conn, 1)
	s := newFakeServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		select {
		case late <- c:
		default:
		}
		return echo(c, r, body)
	})
	p := newPool(poolConfig(t, 128))
	srv := &server{}
	for i := range 2 {
		id := fmt.Sprint("late", i)
		c, err := p.get(t.Context(), srv, s.addr)
		if err != nil {
			t.Fatal(err)
		}
		if got := exchange(t, c, id); got != id+" " {
			t.Fatalf("request %s: %q", id, got)
		}
		p.put(c)
		if i == 0 {
			respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")(<-late, nil, nil)
			eventually(t, "the surplus has come", func() bool { return !c.silent() })
		}
	}
	p.close()
}

func exchange(t *testing.T, c *upConn, id string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://h/look/k", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Req-Id", id)
	if whole, err := c.send(req); !whole || err != nil {
		t.Fatalf("sent whole: %v, %v", whole, err)
	}
	resp, err := c.head()
	if err != nil {
		t.Fatal(err)
	}
	body, err := c.body(resp)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func poolConfig(t *testing.T, sockets int) *Config {
	t.Helper()
	n := &testNode{t: t, file: t.TempDir() + "/config.json", raw: testConfig("127.0.0.1:1", "127.0.0.1:2")}
	n.raw["limits"].(map[string]any)["sockets"] = sockets
	n.write()
	cfg, err := LoadConfig(n.env)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// TestSpoiltAnswers sends answers that cannot be used to a request that must not
// run twice: it fails, once, and with an answer of the node's own. The connection
// stays open, and the node must not wait for more on it.
func TestSpoiltAnswers(t *testing.T) {
	endless := func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
		for err == nil {
			_, err = c.Write(make([]byte, 64<<10))
		}
		return false
	}
	endlessHead := func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for i := 0; err == nil; i++ {
			_, err = fmt.Fprintf(c, "X-%d: y\r\n", i)
		}
		return false
	}
	endlessInfo := func(c net.Conn, _ *http.Request, _ []byte) bool {
		var err error
		for err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		return false
	}
	for name, answer := range map[string]reply{
		"noise":           respond("\x01\x02 what is this\r\n\r\n"),
		"negative length": respond("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc"),
		"two lengths":     respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
		"no length":       respond("HTTP/1.1 200 OK\r\n\r\nabc"),
		"other protocol":  respond("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
		"bad chunk":       respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"),
		"endless answer":  endless, "endless head": endlessHead, "endless 1xx": endlessInfo,
		"ended by a close": func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc")
			return false
		},
		"cut short": func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFakeServer(t, answer)
			n := startNode(t, nil, s.addr)
			if status, body, _ := n.once(post("credit", "c1", "", "x")); status != http.StatusBadGateway || body != "" {
				t.Errorf("answered %d %q", status, body)
			}
			if got := s.got.Load(); got != 1 {
				t.Errorf("the request ran %d times", got)
			}
		})
	}
}

// TestGoodAnswers are unusual and right.
func TestGoodAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"1xx ahead":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"chunked":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"closing":         "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc",
		"report unread":   "HTTP/1.1 200 OK\r\nSrv-Load: TEXT inflight=??,\x80\r\nContent-Length: 3\r\n\r\nabc",
		"longest allowed": "HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("z", 65536),
	} {
		s := newFakeServer(t, respond(text))
		n := startNode(t, nil, s.addr)
		want := "abc"
		if name == "longest allowed" {
			want = strings.Repeat("z", 65536)
		}
		for i := range 3 {
			if status, body, _ := n.once(look(fmt.Sprint(name, i)[:1] + fmt.Sprint(i))); status != 200 || body != want {
				t.Errorf("%s: answered %d with %d bytes", name, status, len(body))
			}
		}
	}
}

// TestUnsafeRunsOnce walks through the ends of a request that must not run
// twice: only one that is known not to have run is tried again or refused.
func TestUnsafeRunsOnce(t *testing.T) {
	hangUp := func(net.Conn, *http.Request, []byte) bool { return false }
	dead := listen(t)
	dead.Close()
	for name, c := range map[string]struct {
		answer reply
		status int
	}{
		"connection ends after it was sent": {hangUp, http.StatusBadGateway},
		"error":                             {respond("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway},
		"503 without the server's word":     {respond("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway},
		"declined":                          {respond("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), http.StatusServiceUnavailable},
		"no connection":                     {nil, http.StatusServiceUnavailable},
	} {
		s := &fakeServer{addr: dead.Addr().String()}
		if c.answer != nil {
			s = newFakeServer(t, c.answer)
		}
		n := startNode(t, nil, s.addr)
		status, _, h := n.once(post("credit", "u1", "", "x"))
		if status != c.status {
			t.Errorf("%s: answered %d, want %d", name, status, c.status)
		}
		if refused := status == http.StatusServiceUnavailable; refused != (h.Get("Retry-After") != "") {
			t.Errorf("%s: %d with Retry-After %q", name, status, h.Get("Retry-After"))
		}
		if got := s.got.Load(); got > 1 {
			t.Errorf("%s: ran %d times", name, got)
		}
	}
}

// TestSilentServerTimesOut has the answer be ready before the client's time is up.
func TestSilentServerTimesOut(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	s := newFakeServer(t, func(net.Conn, *http.Request, []byte) bool { <-hold; return false })
	n := startNode(t, nil, s.addr)
	text := strings.Replace(post("credit", "s1", "", "x"), "20000", "400", 1)
	if status, _, _ := n.once(text); status != http.StatusBadGateway {
		t.Errorf("answered %d", status)
	}
	if got := s.got.Load(); got != 1 {
		t.Errorf("ran %d times", got)
	}
}

// TestPoolEvictsOne fills the room for connections with idle ones: a new server
// costs one other its connection, the one at rest for longest.
func TestPoolEvictsOne(t *testing.T) {
	cfg := poolConfig(t, 2*spareSockets)
	p := newPool(cfg)
	defer p.close()
	n := cfg.Conns()
	back := make([]*fakeServer, n+1)
	srvs := make([]*server, n+1)
	use := func(i int) {
		c, err := p.get(t.Context(), srvs[i], back[i].addr)
		if err != nil {
			t.Fatal(err)
		}
		p.put(c)
	}
	for i := range back {
		back[i], srvs[i] = newFakeServer(t, echo), &server{id: decide.ServerID(i)}
		use(i)
	}
	if got := len(p.room); got != n {
		t.Errorf("%d connections open, want %d", got, n)
	}
	for i := 1; i <= n; i++ {
		use(i)
	}
	for i, b := range back {
		eventually(t, "the connection is accepted", func() bool { return b.conns.Load() > 0 })
		if got := b.conns.Load(); got != 1 {
			t.Errorf("server %d was connected to %d times", i, got)
		}
	}
	use(0)
	eventually(t, "the evicted one is connected to again", func() bool { return back[0].conns.Load() == 2 })
}

// TestPoolGivesRoomBack takes every way out of the pool.
func TestPoolGivesRoomBack(t *testing.T) {
	cfg := poolConfig(t, 2*spareSockets)
	p := newPool(cfg)
	p.rest = time.Millisecond
	back := newFakeServer(t, echo)
	srv := &server{}
	get := func() *upConn {
		c, err := p.get(t.Context(), srv, back.addr)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	p.put(get())
	eventually(t, "a connection at rest expires", func() bool { return len(p.room) == 0 })
	c := get()
	p.leave(srv)
	p.put(c) // its server has gone meanwhile
	if len(p.room) != 0 {
		t.Error("a connection to a server that left was kept")
	}
	p.rest = time.Hour
	p.put(get())
	p.leave(srv)
	if len(p.room) != 0 {
		t.Error("a connection at rest outlived its server")
	}
	for range cfg.Conns() {
		defer get().Close()
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.get(ctx, srv, back.addr); err == nil {
		t.Error("more connections than there is room for")
	}
}

// TestServerMovesAway keeps a server's id and changes its address while a
// request is out: its connection must not serve the new address.
func TestServerMovesAway(t *testing.T) {
	var hold atomic.Bool
	hold.Store(true)
	a := newFakeServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		for hold.Load() {
			time.Sleep(time.Millisecond)
		}
		return echo(c, r, body)
	})
	b := newFakeServer(t, echo)
	n := startNode(t, nil, a.addr)
	done := make(chan int, 1)
	go func() {
		status, _, _ := n.once(look("m0"))
		done <- status
	}()
	eventually(t, "the request is out", func() bool { return a.got.Load() == 1 })
	d := newFakeDiscovery(t, a.addr)
	d.hosts[0]["dial"] = b.addr
	n.raw["discovery"] = d.addr
	n.write()
	n.reload()
	eventually(t, "the new list is told", func() bool { return d.calls.Load() >= 2 })
	hold.Store(false)
	if status := <-done; status != 200 {
		t.Fatalf("the request under way: %d", status)
	}
	if status, _, _ := n.once(look("m1")); status != 200 || a.got.Load() != 1 {
		t.Errorf("after the move: %d, %d requests at the old address", status, a.got.Load())
	}
}

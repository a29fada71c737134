package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// unready is a server to which no connection comes up until it is opened.
func unready(t *testing.T) *emulator.Unready {
	t.Helper()
	return check.Owned(t, func() (*emulator.Unready, error) { return emulator.NewUnready(emulator.Echo) })
}

// patient has attempts wait for their connections for longer than the test does.
func patient(raw map[string]any) {
	raw["settings"].(map[string]any)["ceilings"].(map[string]any)["dialTimeoutMs"] = 20000
}

// uncalled has no attempt called off.
func uncalled(raw map[string]any) {
	raw["settings"].(map[string]any)["ceilings"].(map[string]any)["cancel"] = false
}

// both makes one change of two.
func both(changes ...func(map[string]any)) func(map[string]any) {
	return func(raw map[string]any) {
		for _, change := range changes {
			change(raw)
		}
	}
}

// holds waits until the node has taken so many requests that are not ended.
func (n *testNode) holds(open int64) {
	n.t.Helper()
	check.Eventually(n.t, fmt.Sprint(open, " requests are held"), func() bool { return n.node.metrics.Open.Load() == open })
}

// asked asks beside the test, and brings status and body, whatever becomes of it.
func (n *testNode) asked(text string) <-chan string {
	answer := make(chan string, 1)
	go func() {
		got := "nothing"
		defer func() { answer <- got }()
		status, body, _ := n.once(text)
		got = fmt.Sprint(status, " ", body)
	}()
	return answer
}

// onlyStayed opens the server and sees that it gets one request, of a client that stays.
func (n *testNode) onlyStayed(s *emulator.Unready, text string) {
	n.t.Helper()
	if err := s.Open(); err != nil {
		n.t.Fatal(err)
	}
	if status, _, _ := n.once(text); status != http.StatusOK {
		n.t.Errorf("who stayed was answered %d", status)
	}
	// Whatever still waits for a connection has one within seconds, and is sent on it then.
	check.Eventually(n.t, "nothing waits for a connection", func() bool { return n.node.connections.All() <= 1 || s.Got.Load() > 1 })
	if got := s.Got.Load(); got != 1 {
		n.t.Errorf("the server got %d requests, and one client had stayed", got)
	}
}

// ways are how clients leave.
var ways = map[string]func(t *testing.T, c *net.TCPConn){
	"closes":            func(_ *testing.T, c *net.TCPConn) { c.Close() },
	"ends its sending":  func(_ *testing.T, c *net.TCPConn) { _ = c.CloseWrite() },
	"resets":            func(_ *testing.T, c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
	"sends more, goes":  func(t *testing.T, c *net.TCPConn) { add(t, c, "x"); c.Close() },
	"asks on, and goes": func(t *testing.T, c *net.TCPConn) { add(t, c, look("on1")+look("on2")+look("on3")); c.Close() },
	"sends much, goes":  func(t *testing.T, c *net.TCPConn) { add(t, c, strings.Repeat(look("much"), 500)); c.Close() },
	"asks on, resets": func(t *testing.T, c *net.TCPConn) {
		add(t, c, look("on4")+look("on5"))
		_ = c.SetLinger(0)
		c.Close()
	},
}

func add(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// TestClientLeavesBeforeConnection has a client leave, in each way, while its request waits for a
// connection to a server that comes up late. Its place is free at once and nothing is forwarded,
// whether attempts may be canceled or not.
func TestClientLeavesBeforeConnection(t *testing.T) {
	for way, leave := range ways {
		for name, change := range map[string]func(map[string]any){"": patient, ", nothing is called off": both(patient, uncalled)} {
			t.Run(way+name, func(t *testing.T) {
				t.Parallel()
				s := unready(t)
				n := startNode(t, change, s.Addr)
				c := n.dial()
				add(t, c, post("credit", "gone", "", "x"))
				n.holds(1)
				leave(t, c.(*net.TCPConn))
				n.holds(0)
				n.onlyStayed(s, look("stays"))
			})
		}
	}
}

// TestClientLeavesWithPipelinedRequests sends several requests at once and leaves while the first
// waits: none is forwarded.
func TestClientLeavesWithPipelinedRequests(t *testing.T) {
	s := unready(t)
	n := startNode(t, both(patient, uncalled), s.Addr)
	c := n.dial()
	add(t, c, look("one")+post("order", "two", "Idempotency-Key: 2\r\n", "x")+look("three"))
	n.holds(1)
	c.Close()
	n.holds(0)
	n.onlyStayed(s, look("stays"))
}

// TestManyClientsLeaveAtOnce has many clients leave at one moment.
func TestManyClientsLeaveAtOnce(t *testing.T) {
	const crowd = 1000
	s := unready(t)
	n := startNode(t, both(patient, uncalled, func(raw map[string]any) {
		raw["limits"] = map[string]any{"cores": 1, "memory_mb": 256, "sockets": 4096}
	}), s.Addr)
	all := make([]net.Conn, crowd)
	for i := range all {
		all[i] = n.dial()
		add(t, all[i], look(fmt.Sprint("c", i)))
	}
	n.holds(crowd)
	for _, c := range all {
		c.Close()
	}
	n.holds(0)
	n.onlyStayed(s, look("stays"))
}

// TestClientLeavesDuringDrain has clients leave after SIGTERM.
func TestClientLeavesDuringDrain(t *testing.T) {
	s := unready(t)
	n := startNode(t, both(patient, uncalled), s.Addr)
	gone, stays := n.dial(), n.dial()
	add(t, gone, post("credit", "gone", "", "x"))
	add(t, stays, look("stays"))
	n.holds(2)
	n.term()
	check.Eventually(t, "the drain has begun", func() bool { return strings.Contains(n.logged.String(), "draining") })
	add(t, gone, "x")
	gone.Close()
	n.holds(1)
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	n.gone()
	if got := s.Got.Load(); got > 1 {
		t.Errorf("%d requests were sent on, and one client had stayed", got)
	}
}

// TestClientLeavesRetiredPool has a client leave whose request waits in a pool that a reload has
// retired.
func TestClientLeavesRetiredPool(t *testing.T) {
	s := unready(t)
	n := startNode(t, both(patient, uncalled, withDoor), s.Addr)
	c := n.dial()
	add(t, c, post("credit", "gone", "", "x"))
	n.holds(1)
	n.classes()[2]["objectiveMs"] = 19000
	n.retune()
	add(t, c, "x")
	c.Close()
	n.holds(0)
	n.onlyStayed(s, look("stays"))
}

// TestClientLeavesBeforeRetry has a client leave while an attempt is in flight that then fails: no
// retry follows.
func TestClientLeavesBeforeRetry(t *testing.T) {
	for way, leave := range ways {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			reset := resets(release, "gone")
			a, b := check.Raw(t, reset), check.Raw(t, reset)
			n := startNode(t, uncalled, a.Addr, b.Addr)
			c := n.dial()
			add(t, c, look("gone"))
			check.Eventually(t, "the request is out", func() bool { return a.Got.Load()+b.Got.Load() == 1 })
			leave(t, c.(*net.TCPConn))
			n.holds(0)
			close(release)
			if status, _, _ := n.once(look("stays")); status != http.StatusOK {
				t.Errorf("who stayed was answered %d", status)
			}
			check.Eventually(t, "nothing is out", func() bool { return n.node.connections.All() <= 1 })
			if got := a.Got.Load() + b.Got.Load(); got != 2 {
				t.Errorf("the servers got %d requests, want 2", got)
			}
		})
	}
}

// fullNode is a node of which every place for clients holds a request, until release is closed.
func fullNode(t *testing.T) (n *testNode, s *emulator.Raw, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	s = check.Raw(t, held(release, ""))
	n = startNode(t, func(raw map[string]any) {
		raw["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 128}
	}, s.Addr)
	places := n.node.machineLimits().Clients()
	for i := range places {
		add(t, n.dial(), post("credit", fmt.Sprint("held", i), "", "x"))
	}
	n.holds(int64(places))
	return n, s, release
}

// TestClientLeavesAcceptQueue has clients write complete requests and leave before the node has
// accepted them, since every place for clients is in use: none is forwarded.
func TestClientLeavesAcceptQueue(t *testing.T) {
	const queued = 20
	n, s, release := fullNode(t)
	for i := range queued {
		c := n.dial()
		add(t, c, look(fmt.Sprint("gone", i)))
		c.Close()
	}
	stays := n.dial() // behind them
	add(t, stays, look("stays"))
	close(release)
	check.Eventually(t, "who stayed is answered", func() bool {
		b := make([]byte, 12)
		_, err := io.ReadFull(stays, b)
		return err == nil && string(b) == "HTTP/1.1 200"
	})
	n.holds(0)
	close(s.Heads)
	for r := range s.Heads {
		if strings.HasPrefix(r.Header.Get("Req-Id"), "gone") {
			t.Errorf("%s was sent on", r.Header.Get("Req-Id"))
		}
	}
}

// TestClientOfKeyedRequestLeaves has a client leave whose request has a key of the node's. Before
// the request has begun it never begins, unless a repeat waits for it, which runs in its place.
func TestClientOfKeyedRequestLeaves(t *testing.T) {
	s := unready(t)
	n := startServices(t, withKeys(svc("orders", "tenant_header = \"Req-Owner\"")+pool("orders", "connect_timeout = \"20s\"\n", s.Addr), ""))
	alone, first := n.dial(), n.dial()
	add(t, alone, at("orders", keyed("alone", "k1", "x")))
	add(t, first, at("orders", keyed("first", "k2", "x")))
	n.holds(2)
	repeat := n.asked(at("orders", keyed("repeat", "k2", "x")))
	n.holds(3)
	alone.Close()
	first.Close()
	n.holds(1)
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	if body := <-repeat; body != "200 repeat x" {
		t.Errorf("the repeat got %q", body)
	}
	check.Eventually(t, "nothing waits for a connection", func() bool { return n.node.connections.All() <= 1 || s.Got.Load() > 1 })
	if got := s.Got.Load(); got != 1 {
		t.Errorf("the server got %d requests", got)
	}
}

// TestServerDrainsWhileConnecting has a server drain, an operator take it out, or another process
// take its address while a connection to it comes up: the request that waited goes to another
// server.
func TestServerDrainsWhileConnecting(t *testing.T) {
	for name, c := range map[string]struct {
		entry func(e *emulator.Entry) // what discovery tells of the server then
		out   bool                    // staff take it out
	}{
		"drains":      {entry: func(e *emulator.Entry) { e.Health = "terminating" }},
		"is gone":     {entry: func(e *emulator.Entry) { e.Health = "terminated" }},
		"began anew":  {entry: func(e *emulator.Entry) { e.BornMS = float64(time.Now().UnixMilli()) }},
		"out by hand": {entry: func(*emulator.Entry) {}, out: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, other := unready(t), check.Raw(t, emulator.Echo)
			d := discoveryOf(t, s.Addr)
			n := startNode(t, both(patient, withDoor, func(raw map[string]any) {
				raw["discovery"] = d.Addr
				raw["settings"].(map[string]any)["discovery"] = "push"
			}), s.Addr)
			answer := n.asked(post("credit", "r", "", "x"))
			n.holds(1)
			list := emulator.Hosts(s.Addr, other.Addr)
			c.entry(&list[0])
			d.Set(list...)
			check.Eventually(t, "the list has come", func() bool {
				return slices.ContainsFunc(n.node.services.Snapshot()[""].Endpoints, func(h core.Endpoint) bool { return h.Addr == other.Addr })
			})
			if c.out {
				if got := n.call("exclude s-" + s.Addr); got != "done\n" {
					t.Fatalf("exclude: %q", got)
				}
			}
			if err := s.Open(); err != nil {
				t.Fatal(err)
			}
			if got := <-answer; got != "200 r x" {
				t.Errorf("answered %q", got)
			}
			if s.Got.Load() != 0 || other.Got.Load() != 1 {
				t.Errorf("%d went to it and %d to the other", s.Got.Load(), other.Got.Load())
			}
		})
	}
}

// TestClientLeavesServiceQueue has one client leave that waits in its service's queue, and another
// still wait there at SIGTERM, which is rejected.
func TestClientLeavesServiceQueue(t *testing.T) {
	release := make(chan struct{})
	s := check.Raw(t, held(release, ""))
	n := startServices(t, svc("orders", "concurrent = 1\nqueue = 10\nqueue_wait = \"20s\"")+pool("orders", "", s.Addr))
	first := n.asked(at("orders", look("first")))
	check.Eventually(t, "the first is out", func() bool { return s.Got.Load() == 1 })
	c := n.dial()
	add(t, c, at("orders", look("gone")))
	n.holds(2)
	add(t, c, "x")
	c.Close()
	n.holds(1)
	waits := n.asked(at("orders", look("waits")))
	n.holds(2)
	n.term()
	check.Eventually(t, "the drain has begun", func() bool { return strings.Contains(n.logged.String(), "draining") })
	close(release)
	if first, waits := <-first, <-waits; first != "200 first " || waits != "200 waits " {
		t.Errorf("answered %q and %q", first, waits)
	}
	n.gone()
	if got := s.Got.Load(); got != 2 {
		t.Errorf("%d requests were sent on, want 2", got)
	}
}

// TestClientLeavesConnectionQueue has clients leave whose requests wait for one of the node's
// connections to servers.
func TestClientLeavesConnectionQueue(t *testing.T) {
	const beyond = 5
	release := make(chan struct{})
	s := check.Raw(t, held(release, ""))
	n := startNode(t, both(patient, uncalled), s.Addr)
	places := n.node.machineLimits().Conns()
	for i := range places {
		add(t, n.dial(), post("credit", fmt.Sprint("held", i), "", "x"))
	}
	check.Eventually(t, "every place is taken", func() bool { return int(s.Got.Load()) == places })
	var gone []net.Conn
	for i := range beyond {
		c := n.dial()
		add(t, c, look(fmt.Sprint("gone", i)))
		gone = append(gone, c)
	}
	n.holds(int64(places + beyond))
	for _, c := range gone {
		add(t, c, "x")
		c.Close()
	}
	n.holds(int64(places))
	close(release)
	n.holds(0)
	if got := int(s.Got.Load()); got != places {
		t.Errorf("%d requests were sent on, want %d", got, places)
	}
}

// TestClientLeavesBeforeHedge has a client leave whose answer is lost: no second copy of its
// request follows, while that of a client that stays does.
func TestClientLeavesBeforeHedge(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[string]int)
	lost := func(c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("Req-Id")
		mu.Lock()
		seen[id]++
		first := seen[id] == 1 && !strings.HasPrefix(id, "quick")
		mu.Unlock()
		return first || emulator.Echo(c, r, body)
	}
	a, b := check.Raw(t, lost), check.Raw(t, lost)
	n := startNode(t, both(uncalled, func(raw map[string]any) {
		look := raw["settings"].(map[string]any)["classes"].([]map[string]any)[0]
		look["objectiveMs"], look["deadlineMs"] = 2000, 4000
	}), a.Addr, b.Addr)
	for i := range 40 { // so that it knows how quick answers are
		if status, _, _ := n.once(look(fmt.Sprint("quick", i))); status != http.StatusOK {
			t.Fatalf("answered %d", status)
		}
	}
	count := func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return seen[id]
	}
	c := n.dial()
	add(t, c, look("gone"))
	check.Eventually(t, "it is out", func() bool { return count("gone") == 1 })
	add(t, c, "x")
	c.Close()
	n.holds(0)
	if status, _, _ := n.once(look("stays")); status != http.StatusOK || count("stays") != 2 {
		t.Errorf("who stayed was answered %d, with %d attempts", status, count("stays"))
	}
	if got := count("gone"); got != 1 {
		t.Errorf("%d attempts for who had left", got)
	}
}

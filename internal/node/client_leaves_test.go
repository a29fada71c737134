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

// startUnready starts a server to which no connection comes up until it is opened.
func startUnready(t *testing.T) *emulator.LateServer {
	t.Helper()
	return check.StartForTest(t, func() (*emulator.LateServer, error) { return emulator.NewLateServer(emulator.Echo) })
}

// withLongDialTimeout has attempts wait for their connections for longer than the test runs.
func withLongDialTimeout(raw map[string]any) {
	raw["settings"].(map[string]any)["ceilings"].(map[string]any)["dialTimeoutMs"] = 20000
}

// withoutCancellation has no attempt canceled.
func withoutCancellation(raw map[string]any) {
	raw["settings"].(map[string]any)["ceilings"].(map[string]any)["cancel"] = false
}

// combine returns all changes as one.
func combine(changes ...func(map[string]any)) func(map[string]any) {
	return func(raw map[string]any) {
		for _, change := range changes {
			change(raw)
		}
	}
}

// awaitOpenRequests waits until the node has accepted so many requests that have not ended.
func (n *testNode) awaitOpenRequests(open int64) {
	n.t.Helper()
	check.Eventually(n.t, fmt.Sprint(open, " requests are held"), func() bool { return n.node.metrics.OpenRequests.Load() == open })
}

// exchangeAsync sends a request in a goroutine of its own, and delivers the answer's status and
// body, whatever becomes of it.
func (n *testNode) exchangeAsync(text string) <-chan string {
	answer := make(chan string, 1)
	go func() {
		got := "nothing"
		defer func() { answer <- got }()
		status, body, _ := n.roundTripOnce(text)
		got = fmt.Sprint(status, " ", body)
	}()
	return answer
}

// checkOnlyStayedIsServed opens the server and checks that it gets one request, of the client that
// stayed.
func (n *testNode) checkOnlyStayedIsServed(s *emulator.LateServer, text string) {
	n.t.Helper()
	if err := s.Open(); err != nil {
		n.t.Fatal(err)
	}
	if status, _, _ := n.roundTripOnce(text); status != http.StatusOK {
		n.t.Errorf("who stayed was answered %d", status)
	}
	// Whatever still waits for a connection has one within seconds, and is sent then.
	check.Eventually(n.t, "nothing waits for a connection", func() bool { return n.node.connections.OpenConnections() <= 1 || s.Received.Load() > 1 })
	if got := s.Received.Load(); got != 1 {
		n.t.Errorf("the server got %d requests, and one client had stayed", got)
	}
}

// ways are how clients leave.
var ways = map[string]func(t *testing.T, c *net.TCPConn){
	"closes":           func(_ *testing.T, c *net.TCPConn) { c.Close() },
	"ends its sending": func(_ *testing.T, c *net.TCPConn) { _ = c.CloseWrite() },
	"resets":           func(_ *testing.T, c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
	"sends more, goes": func(t *testing.T, c *net.TCPConn) { writeMore(t, c, "x"); c.Close() },
	"asks on, and goes": func(t *testing.T, c *net.TCPConn) {
		writeMore(t, c, lookRequest("on1")+lookRequest("on2")+lookRequest("on3"))
		c.Close()
	},
	"sends much, goes": func(t *testing.T, c *net.TCPConn) {
		writeMore(t, c, strings.Repeat(lookRequest("much"), 500))
		c.Close()
	},
	"asks on, resets": func(t *testing.T, c *net.TCPConn) {
		writeMore(t, c, lookRequest("on4")+lookRequest("on5"))
		_ = c.SetLinger(0)
		c.Close()
	},
}

func writeMore(t *testing.T, c net.Conn, text string) {
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
		for name, change := range map[string]func(map[string]any){"": withLongDialTimeout, ", nothing is called off": combine(withLongDialTimeout, withoutCancellation)} {
			t.Run(way+name, func(t *testing.T) {
				t.Parallel()
				s := startUnready(t)
				n := startNode(t, change, s.Addr)
				c := n.dial()
				writeMore(t, c, postRequest("credit", "gone", "", "x"))
				n.awaitOpenRequests(1)
				leave(t, c.(*net.TCPConn))
				n.awaitOpenRequests(0)
				n.checkOnlyStayedIsServed(s, lookRequest("stays"))
			})
		}
	}
}

// TestClientLeavesWithPipelinedRequests sends several requests at once and leaves while the first
// waits: none is forwarded.
func TestClientLeavesWithPipelinedRequests(t *testing.T) {
	s := startUnready(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation), s.Addr)
	c := n.dial()
	writeMore(t, c, lookRequest("one")+postRequest("order", "two", "Idempotency-Key: 2\r\n", "x")+lookRequest("three"))
	n.awaitOpenRequests(1)
	c.Close()
	n.awaitOpenRequests(0)
	n.checkOnlyStayedIsServed(s, lookRequest("stays"))
}

// TestManyClientsLeaveAtOnce has many clients leave at one moment.
func TestManyClientsLeaveAtOnce(t *testing.T) {
	const crowd = 1000
	s := startUnready(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation, func(raw map[string]any) {
		raw["limits"] = map[string]any{"cores": 1, "memory_mb": 256, "sockets": 4096}
	}), s.Addr)
	all := make([]net.Conn, crowd)
	for i := range all {
		all[i] = n.dial()
		writeMore(t, all[i], lookRequest(fmt.Sprint("c", i)))
	}
	n.awaitOpenRequests(crowd)
	for _, c := range all {
		c.Close()
	}
	n.awaitOpenRequests(0)
	n.checkOnlyStayedIsServed(s, lookRequest("stays"))
}

// TestClientLeavesDuringDrain has clients leave after SIGTERM.
func TestClientLeavesDuringDrain(t *testing.T) {
	s := startUnready(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation), s.Addr)
	gone, stays := n.dial(), n.dial()
	writeMore(t, gone, postRequest("credit", "gone", "", "x"))
	writeMore(t, stays, lookRequest("stays"))
	n.awaitOpenRequests(2)
	n.term()
	check.Eventually(t, "the drain has begun", func() bool { return strings.Contains(n.logged.String(), "draining") })
	writeMore(t, gone, "x")
	gone.Close()
	n.awaitOpenRequests(1)
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	n.awaitEnd()
	if got := s.Received.Load(); got > 1 {
		t.Errorf("%d requests were forwarded, and one client had stayed", got)
	}
}

// TestClientLeavesRetiredPool has a client leave whose request waits in a pool that a reload has
// retired.
func TestClientLeavesRetiredPool(t *testing.T) {
	s := startUnready(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation, withAdmin), s.Addr)
	c := n.dial()
	writeMore(t, c, postRequest("credit", "gone", "", "x"))
	n.awaitOpenRequests(1)
	n.classes()[2]["objectiveMs"] = 19000
	n.reloadSettings()
	writeMore(t, c, "x")
	c.Close()
	n.awaitOpenRequests(0)
	n.checkOnlyStayedIsServed(s, lookRequest("stays"))
}

// TestClientLeavesBeforeRetry has a client leave while an attempt is in flight that then fails: no
// retry follows.
func TestClientLeavesBeforeRetry(t *testing.T) {
	for way, leave := range ways {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			reset := resetAfter(release, "gone")
			a, b := check.ScriptedServer(t, reset), check.ScriptedServer(t, reset)
			n := startNode(t, withoutCancellation, a.Addr, b.Addr)
			c := n.dial()
			writeMore(t, c, lookRequest("gone"))
			check.Eventually(t, "the request is out", func() bool { return a.Received.Load()+b.Received.Load() == 1 })
			leave(t, c.(*net.TCPConn))
			n.awaitOpenRequests(0)
			close(release)
			if status, _, _ := n.roundTripOnce(lookRequest("stays")); status != http.StatusOK {
				t.Errorf("who stayed was answered %d", status)
			}
			check.Eventually(t, "nothing is out", func() bool { return n.node.connections.OpenConnections() <= 1 })
			if got := a.Received.Load() + b.Received.Load(); got != 2 {
				t.Errorf("the servers got %d requests, want 2", got)
			}
		})
	}
}

// startFullNode starts a node of which every place for clients holds a request, until release is
// closed.
func startFullNode(t *testing.T) (n *testNode, s *emulator.ScriptedServer, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	s = check.ScriptedServer(t, holdUntil(release, ""))
	n = startNode(t, func(raw map[string]any) {
		raw["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 128}
	}, s.Addr)
	places := n.node.machineLimits().ClientConnections()
	for i := range places {
		writeMore(t, n.dial(), postRequest("credit", fmt.Sprint("held", i), "", "x"))
	}
	n.awaitOpenRequests(int64(places))
	return n, s, release
}

// TestClientLeavesAcceptQueue has clients write complete requests and leave before the node has
// accepted them, since every place for clients is in use: none is forwarded.
func TestClientLeavesAcceptQueue(t *testing.T) {
	const queued = 20
	n, s, release := startFullNode(t)
	for i := range queued {
		c := n.dial()
		writeMore(t, c, lookRequest(fmt.Sprint("gone", i)))
		c.Close()
	}
	stays := n.dial() // behind them
	writeMore(t, stays, lookRequest("stays"))
	close(release)
	check.Eventually(t, "who stayed is answered", func() bool {
		b := make([]byte, 12)
		_, err := io.ReadFull(stays, b)
		return err == nil && string(b) == "HTTP/1.1 200"
	})
	n.awaitOpenRequests(0)
	close(s.Requests)
	for r := range s.Requests {
		if strings.HasPrefix(r.Header.Get("Req-Id"), "gone") {
			t.Errorf("%s was forwarded", r.Header.Get("Req-Id"))
		}
	}
}

// TestClientOfKeyedRequestLeaves has a client leave whose request has a key of the node's. Before
// the request has begun it never begins, unless a repeat waits for it, which runs in its place.
func TestClientOfKeyedRequestLeaves(t *testing.T) {
	s := startUnready(t)
	n := startServices(t, withKeyRule(serviceText("orders", "tenant_header = \"Req-Owner\"")+poolText("orders", "connect_timeout = \"20s\"\n", s.Addr), ""))
	alone, first := n.dial(), n.dial()
	writeMore(t, alone, forHost("orders", keyedRequest("alone", "k1", "x")))
	writeMore(t, first, forHost("orders", keyedRequest("first", "k2", "x")))
	n.awaitOpenRequests(2)
	repeat := n.exchangeAsync(forHost("orders", keyedRequest("repeat", "k2", "x")))
	n.awaitOpenRequests(3)
	alone.Close()
	first.Close()
	n.awaitOpenRequests(1)
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	if body := <-repeat; body != "200 repeat x" {
		t.Errorf("the repeat got %q", body)
	}
	check.Eventually(t, "nothing waits for a connection", func() bool { return n.node.connections.OpenConnections() <= 1 || s.Received.Load() > 1 })
	if got := s.Received.Load(); got != 1 {
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
			s, other := startUnready(t), check.ScriptedServer(t, emulator.Echo)
			d := startDiscovery(t, s.Addr)
			n := startNode(t, combine(withLongDialTimeout, withAdmin, func(raw map[string]any) {
				raw["discovery"] = d.Addr
				raw["settings"].(map[string]any)["discovery"] = "push"
			}), s.Addr)
			answer := n.exchangeAsync(postRequest("credit", "r", "", "x"))
			n.awaitOpenRequests(1)
			list := emulator.InServiceEntries(s.Addr, other.Addr)
			c.entry(&list[0])
			d.SetList(list...)
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
			if s.Received.Load() != 0 || other.Received.Load() != 1 {
				t.Errorf("%d went to it and %d to the other", s.Received.Load(), other.Received.Load())
			}
		})
	}
}

// TestClientLeavesServiceQueue has one client leave that waits in its service's queue, and another
// still wait there at SIGTERM, which is rejected.
func TestClientLeavesServiceQueue(t *testing.T) {
	release := make(chan struct{})
	s := check.ScriptedServer(t, holdUntil(release, ""))
	n := startServices(t, serviceText("orders", "concurrent = 1\nqueue = 10\nqueue_wait = \"20s\"")+poolText("orders", "", s.Addr))
	first := n.exchangeAsync(forHost("orders", lookRequest("first")))
	check.Eventually(t, "the first is out", func() bool { return s.Received.Load() == 1 })
	c := n.dial()
	writeMore(t, c, forHost("orders", lookRequest("gone")))
	n.awaitOpenRequests(2)
	writeMore(t, c, "x")
	c.Close()
	n.awaitOpenRequests(1)
	waits := n.exchangeAsync(forHost("orders", lookRequest("waits")))
	n.awaitOpenRequests(2)
	n.term()
	check.Eventually(t, "the drain has begun", func() bool { return strings.Contains(n.logged.String(), "draining") })
	close(release)
	if first, waits := <-first, <-waits; first != "200 first " || waits != "200 waits " {
		t.Errorf("answered %q and %q", first, waits)
	}
	n.awaitEnd()
	if got := s.Received.Load(); got != 2 {
		t.Errorf("%d requests were forwarded, want 2", got)
	}
}

// TestClientLeavesConnectionQueue has clients leave whose requests wait for one of the node's
// connections to servers.
func TestClientLeavesConnectionQueue(t *testing.T) {
	const beyond = 5
	release := make(chan struct{})
	s := check.ScriptedServer(t, holdUntil(release, ""))
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation), s.Addr)
	places := n.node.machineLimits().ServerConnections()
	for i := range places {
		writeMore(t, n.dial(), postRequest("credit", fmt.Sprint("held", i), "", "x"))
	}
	check.Eventually(t, "every place is taken", func() bool { return int(s.Received.Load()) == places })
	var gone []net.Conn
	for i := range beyond {
		c := n.dial()
		writeMore(t, c, lookRequest(fmt.Sprint("gone", i)))
		gone = append(gone, c)
	}
	n.awaitOpenRequests(int64(places + beyond))
	for _, c := range gone {
		writeMore(t, c, "x")
		c.Close()
	}
	n.awaitOpenRequests(int64(places))
	close(release)
	n.awaitOpenRequests(0)
	if got := int(s.Received.Load()); got != places {
		t.Errorf("%d requests were forwarded, want %d", got, places)
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
	a, b := check.ScriptedServer(t, lost), check.ScriptedServer(t, lost)
	n := startNode(t, combine(withoutCancellation, func(raw map[string]any) {
		look := raw["settings"].(map[string]any)["classes"].([]map[string]any)[0]
		look["objectiveMs"], look["deadlineMs"] = 2000, 4000
	}), a.Addr, b.Addr)
	for i := range 40 { // so that it knows how quick answers are
		if status, _, _ := n.roundTripOnce(lookRequest(fmt.Sprint("quick", i))); status != http.StatusOK {
			t.Fatalf("answered %d", status)
		}
	}
	count := func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return seen[id]
	}
	c := n.dial()
	writeMore(t, c, lookRequest("gone"))
	check.Eventually(t, "it is out", func() bool { return count("gone") == 1 })
	writeMore(t, c, "x")
	c.Close()
	n.awaitOpenRequests(0)
	if status, _, _ := n.roundTripOnce(lookRequest("stays")); status != http.StatusOK || count("stays") != 2 {
		t.Errorf("who stayed was answered %d, with %d attempts", status, count("stays"))
	}
	if got := count("gone"); got != 1 {
		t.Errorf("%d attempts for who had left", got)
	}
}

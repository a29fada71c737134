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

// startLateServer starts a server that completes no connection until it is opened.
func startLateServer(t *testing.T) *emulator.LateServer {
	t.Helper()
	return check.StartForTest(t, func() (*emulator.LateServer, error) { return emulator.NewLateServer(emulator.Echo) })
}

// withLongDialTimeout lets attempts wait for their connections for longer than the test runs.
func withLongDialTimeout(raw map[string]any) {
	raw["settings"].(map[string]any)["ceilings"].(map[string]any)["dialTimeoutMs"] = 20000
}

// withoutCancellation disables the cancellation of attempts.
func withoutCancellation(raw map[string]any) {
	raw["settings"].(map[string]any)["ceilings"].(map[string]any)["cancel"] = false
}

// combine returns a change that makes all changes in order.
func combine(changes ...func(map[string]any)) func(map[string]any) {
	return func(raw map[string]any) {
		for _, change := range changes {
			change(raw)
		}
	}
}

// awaitOpenRequests waits until the node has this number of open requests.
func (n *testNode) awaitOpenRequests(open int64) {
	n.t.Helper()
	check.Eventually(n.t, fmt.Sprint(open, " requests are open"), func() bool { return n.node.metrics.OpenRequests.Load() == open })
}

// exchangeAsync sends a request in its own goroutine, and delivers the status and body of the answer,
// or "nothing" if the exchange fails.
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

// checkOnlyConnectedIsServed opens the server, sends a request and checks that the server gets no
// request of a client that has disconnected.
func (n *testNode) checkOnlyConnectedIsServed(s *emulator.LateServer, text string) {
	n.t.Helper()
	if err := s.Open(); err != nil {
		n.t.Fatal(err)
	}
	if status, _, _ := n.roundTripOnce(text); status != http.StatusOK {
		n.t.Errorf("the connected client was answered %d, want 200", status)
	}
	// A request that still waits for a connection gets one within seconds, and is then sent.
	check.Eventually(n.t, "no request waits for a connection", func() bool { return n.node.connections.OpenConnections() <= 1 || s.Received.Load() > 1 })
	if got := s.Received.Load(); got != 1 {
		n.t.Errorf("the server got %d requests, want only that of the connected client", got)
	}
}

// disconnects are the ways in which clients disconnect.
var disconnects = map[string]func(t *testing.T, c *net.TCPConn){
	"closes":                  func(_ *testing.T, c *net.TCPConn) { c.Close() },
	"closes its sending side": func(_ *testing.T, c *net.TCPConn) { _ = c.CloseWrite() },
	"resets":                  func(_ *testing.T, c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
	"sends more, closes":      func(t *testing.T, c *net.TCPConn) { writeString(t, c, "x"); c.Close() },
	"sends more requests, closes": func(t *testing.T, c *net.TCPConn) {
		writeString(t, c, lookRequest("on1")+lookRequest("on2")+lookRequest("on3"))
		c.Close()
	},
	"sends many requests, closes": func(t *testing.T, c *net.TCPConn) {
		writeString(t, c, strings.Repeat(lookRequest("much"), 500))
		c.Close()
	},
	"sends more requests, resets": func(t *testing.T, c *net.TCPConn) {
		writeString(t, c, lookRequest("on4")+lookRequest("on5"))
		_ = c.SetLinger(0)
		c.Close()
	},
}

func writeString(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// TestClientDisconnectsBeforeConnection makes a client disconnect, in each way, while its request waits for a
// connection to a server that accepts late. The request ends at once and is not forwarded, whether
// attempts may be cancelled or not.
func TestClientDisconnectsBeforeConnection(t *testing.T) {
	for how, disconnect := range disconnects {
		for name, change := range map[string]func(map[string]any){"": withLongDialTimeout, ", without cancellation": combine(withLongDialTimeout, withoutCancellation)} {
			t.Run(how+name, func(t *testing.T) {
				t.Parallel()
				s := startLateServer(t)
				n := startNode(t, change, s.Addr)
				c := n.dial()
				writeString(t, c, postRequest("credit", "gone", "", "x"))
				n.awaitOpenRequests(1)
				disconnect(t, c.(*net.TCPConn))
				n.awaitOpenRequests(0)
				n.checkOnlyConnectedIsServed(s, lookRequest("stays"))
			})
		}
	}
}

// TestClientDisconnectsWithPipelinedRequests makes a client send several requests at once and disconnect
// while the first waits: none is forwarded.
func TestClientDisconnectsWithPipelinedRequests(t *testing.T) {
	s := startLateServer(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation), s.Addr)
	c := n.dial()
	writeString(t, c, lookRequest("one")+postRequest("order", "two", "Idempotency-Key: 2\r\n", "x")+lookRequest("three"))
	n.awaitOpenRequests(1)
	c.Close()
	n.awaitOpenRequests(0)
	n.checkOnlyConnectedIsServed(s, lookRequest("stays"))
}

// TestManyClientsDisconnectAtOnce makes many clients disconnect at the same time.
func TestManyClientsDisconnectAtOnce(t *testing.T) {
	const clients = 1000
	s := startLateServer(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation, func(raw map[string]any) {
		raw["limits"] = map[string]any{"cores": 1, "memory_mb": 256, "sockets": 4096}
	}), s.Addr)
	conns := make([]net.Conn, clients)
	for i := range conns {
		conns[i] = n.dial()
		writeString(t, conns[i], lookRequest(fmt.Sprint("c", i)))
	}
	n.awaitOpenRequests(clients)
	for _, c := range conns {
		c.Close()
	}
	n.awaitOpenRequests(0)
	n.checkOnlyConnectedIsServed(s, lookRequest("stays"))
}

// TestClientDisconnectsDuringDrain makes clients disconnect after SIGTERM.
func TestClientDisconnectsDuringDrain(t *testing.T) {
	s := startLateServer(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation), s.Addr)
	disconnecting, staying := n.dial(), n.dial()
	writeString(t, disconnecting, postRequest("credit", "gone", "", "x"))
	writeString(t, staying, lookRequest("stays"))
	n.awaitOpenRequests(2)
	n.term()
	check.Eventually(t, "the drain has begun", func() bool { return strings.Contains(n.logged.String(), "draining") })
	writeString(t, disconnecting, "x")
	disconnecting.Close()
	n.awaitOpenRequests(1)
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	n.awaitEnd()
	if got := s.Received.Load(); got > 1 {
		t.Errorf("%d requests were forwarded, want at most that of the connected client", got)
	}
}

// TestClientOfRetiredPoolDisconnects makes a client disconnect while its request waits in a pool that a reload
// has retired.
func TestClientOfRetiredPoolDisconnects(t *testing.T) {
	s := startLateServer(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation, withAdmin), s.Addr)
	c := n.dial()
	writeString(t, c, postRequest("credit", "gone", "", "x"))
	n.awaitOpenRequests(1)
	n.classes()[2]["objectiveMs"] = 19000
	n.reloadSettings()
	writeString(t, c, "x")
	c.Close()
	n.awaitOpenRequests(0)
	n.checkOnlyConnectedIsServed(s, lookRequest("stays"))
}

// TestClientDisconnectsBeforeRetry makes a client disconnect while an attempt is in flight that then fails:
// no retry follows.
func TestClientDisconnectsBeforeRetry(t *testing.T) {
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			reset := resetAfter(release, "gone")
			a, b := check.ScriptedServer(t, reset), check.ScriptedServer(t, reset)
			n := startNode(t, withoutCancellation, a.Addr, b.Addr)
			c := n.dial()
			writeString(t, c, lookRequest("gone"))
			check.Eventually(t, "the request reached a server", func() bool { return a.Received.Load()+b.Received.Load() == 1 })
			disconnect(t, c.(*net.TCPConn))
			n.awaitOpenRequests(0)
			close(release)
			if status, _, _ := n.roundTripOnce(lookRequest("stays")); status != http.StatusOK {
				t.Errorf("the connected client was answered %d, want 200", status)
			}
			check.Eventually(t, "no request is in flight", func() bool { return n.node.connections.OpenConnections() <= 1 })
			if got := a.Received.Load() + b.Received.Load(); got != 2 {
				t.Errorf("the servers got %d requests, want 2", got)
			}
		})
	}
}

// startFullNode starts a node whose client connections are all in use: each has a request that stays
// open until release is closed.
func startFullNode(t *testing.T) (n *testNode, server *emulator.ScriptedServer, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	server = check.ScriptedServer(t, holdUntil(release, ""))
	n = startNode(t, func(raw map[string]any) {
		raw["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 128}
	}, server.Addr)
	connections := n.node.machineLimits().ClientConnections()
	for i := range connections {
		writeString(t, n.dial(), postRequest("credit", fmt.Sprint("held", i), "", "x"))
	}
	n.awaitOpenRequests(int64(connections))
	return n, server, release
}

// TestClientDisconnectsInAcceptQueue makes clients write complete requests and disconnect before the node has
// accepted their connections, because all client connections are in use: none is forwarded.
func TestClientDisconnectsInAcceptQueue(t *testing.T) {
	const queued = 20
	n, server, release := startFullNode(t)
	for i := range queued {
		c := n.dial()
		writeString(t, c, lookRequest(fmt.Sprint("gone", i)))
		c.Close()
	}
	staying := n.dial() // queued behind the clients that have disconnected
	writeString(t, staying, lookRequest("stays"))
	close(release)
	check.Eventually(t, "the connected client is answered", func() bool {
		b := make([]byte, 12)
		_, err := io.ReadFull(staying, b)
		return err == nil && string(b) == "HTTP/1.1 200"
	})
	n.awaitOpenRequests(0)
	close(server.Requests)
	for r := range server.Requests {
		if strings.HasPrefix(r.Header.Get("Req-Id"), "gone") {
			t.Errorf("request %s was forwarded although its client had disconnected", r.Header.Get("Req-Id"))
		}
	}
}

// TestClientOfKeyedRequestDisconnects makes a client disconnect whose request has a key that the node stores.
// If the request has not begun, it never begins, unless a repeat waits for it, which runs instead.
func TestClientOfKeyedRequestDisconnects(t *testing.T) {
	server := startLateServer(t)
	n := startServices(t, withKeyRule(serviceText("orders", "tenant_header = \"Req-Owner\"")+poolText("orders", "connect_timeout = \"20s\"\n", server.Addr), ""))
	alone, first := n.dial(), n.dial()
	writeString(t, alone, forHost("orders", keyedRequest("alone", "k1", "x")))
	writeString(t, first, forHost("orders", keyedRequest("first", "k2", "x")))
	n.awaitOpenRequests(2)
	repeat := n.exchangeAsync(forHost("orders", keyedRequest("repeat", "k2", "x")))
	n.awaitOpenRequests(3)
	alone.Close()
	first.Close()
	n.awaitOpenRequests(1)
	if err := server.Open(); err != nil {
		t.Fatal(err)
	}
	if body := <-repeat; body != "200 repeat x" {
		t.Errorf("the repeat was answered %q, want 200 repeat x", body)
	}
	check.Eventually(t, "no request waits for a connection", func() bool { return n.node.connections.OpenConnections() <= 1 || server.Received.Load() > 1 })
	if got := server.Received.Load(); got != 1 {
		t.Errorf("the server got %d requests, want 1", got)
	}
}

// TestServerDrainsWhileConnecting opens a connection to a server that meanwhile drains, is excluded by an
// operator, or is replaced by another process at its address: the request that waited is sent to another
// server.
func TestServerDrainsWhileConnecting(t *testing.T) {
	for name, test := range map[string]struct {
		entry func(e *emulator.Entry) // how discovery then lists the server
		out   bool                    // an operator excludes the server
	}{
		"drains":    {entry: func(e *emulator.Entry) { e.Health = "terminating" }},
		"is gone":   {entry: func(e *emulator.Entry) { e.Health = "terminated" }},
		"restarted": {entry: func(e *emulator.Entry) { e.BornMS = float64(time.Now().UnixMilli()) }},
		"excluded":  {entry: func(*emulator.Entry) {}, out: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, other := startLateServer(t), check.ScriptedServer(t, emulator.Echo)
			d := startDiscovery(t, server.Addr)
			n := startNode(t, combine(withLongDialTimeout, withAdmin, func(raw map[string]any) {
				raw["discovery"] = d.Addr
				raw["settings"].(map[string]any)["discovery"] = "push"
			}), server.Addr)
			answer := n.exchangeAsync(postRequest("credit", "r", "", "x"))
			n.awaitOpenRequests(1)
			list := emulator.InServiceEntries(server.Addr, other.Addr)
			test.entry(&list[0])
			d.SetList(list...)
			check.Eventually(t, "the list has arrived", func() bool {
				return slices.ContainsFunc(n.node.services.Snapshot()[""].Endpoints, func(h core.Endpoint) bool { return h.Addr == other.Addr })
			})
			if test.out {
				if got := n.call("exclude s-" + server.Addr); got != "done\n" {
					t.Fatalf("exclude was answered %q, want done", got)
				}
			}
			if err := server.Open(); err != nil {
				t.Fatal(err)
			}
			if got := <-answer; got != "200 r x" {
				t.Errorf("the answer is %q, want 200 r x", got)
			}
			if server.Received.Load() != 0 || other.Received.Load() != 1 {
				t.Errorf("the server got %d requests and the other server %d, want 0 and 1", server.Received.Load(), other.Received.Load())
			}
		})
	}
}

// TestClientDisconnectsInServiceQueue disconnects a client that waits in its service's queue. Another client
// still waits there at SIGTERM and is served.
func TestClientDisconnectsInServiceQueue(t *testing.T) {
	release := make(chan struct{})
	server := check.ScriptedServer(t, holdUntil(release, ""))
	n := startServices(t, serviceText("orders", "concurrent = 1\nqueue = 10\nqueue_wait = \"20s\"")+poolText("orders", "", server.Addr))
	first := n.exchangeAsync(forHost("orders", lookRequest("first")))
	check.Eventually(t, "the first request reached the server", func() bool { return server.Received.Load() == 1 })
	c := n.dial()
	writeString(t, c, forHost("orders", lookRequest("gone")))
	n.awaitOpenRequests(2)
	writeString(t, c, "x")
	c.Close()
	n.awaitOpenRequests(1)
	waiting := n.exchangeAsync(forHost("orders", lookRequest("waits")))
	n.awaitOpenRequests(2)
	n.term()
	check.Eventually(t, "the drain has begun", func() bool { return strings.Contains(n.logged.String(), "draining") })
	close(release)
	if first, waiting := <-first, <-waiting; first != "200 first " || waiting != "200 waits " {
		t.Errorf("the answers to the first and the waiting request are %q and %q, want 200 for both", first, waiting)
	}
	n.awaitEnd()
	if got := server.Received.Load(); got != 2 {
		t.Errorf("%d requests were forwarded, want 2", got)
	}
}

// TestClientDisconnectsInConnectionQueue makes clients disconnect whose requests wait for one of the node's
// connections to servers.
func TestClientDisconnectsInConnectionQueue(t *testing.T) {
	const queued = 5
	release := make(chan struct{})
	server := check.ScriptedServer(t, holdUntil(release, ""))
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation), server.Addr)
	connections := n.node.machineLimits().ServerConnections()
	for i := range connections {
		writeString(t, n.dial(), postRequest("credit", fmt.Sprint("held", i), "", "x"))
	}
	check.Eventually(t, "every connection is in use", func() bool { return int(server.Received.Load()) == connections })
	var disconnecting []net.Conn
	for i := range queued {
		c := n.dial()
		writeString(t, c, lookRequest(fmt.Sprint("gone", i)))
		disconnecting = append(disconnecting, c)
	}
	n.awaitOpenRequests(int64(connections + queued))
	for _, c := range disconnecting {
		writeString(t, c, "x")
		c.Close()
	}
	n.awaitOpenRequests(int64(connections))
	close(release)
	n.awaitOpenRequests(0)
	if got := int(server.Received.Load()); got != connections {
		t.Errorf("%d requests were forwarded, want %d", got, connections)
	}
}

// TestClientDisconnectsBeforeHedge makes a client disconnect whose answer is lost: its request is not hedged,
// while that of a client that stays connected is.
func TestClientDisconnectsBeforeHedge(t *testing.T) {
	var mu sync.Mutex
	attempts := make(map[string]int)
	loseFirst := func(c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("Req-Id")
		mu.Lock()
		attempts[id]++
		first := attempts[id] == 1 && !strings.HasPrefix(id, "quick")
		mu.Unlock()
		return first || emulator.Echo(c, r, body)
	}
	a, b := check.ScriptedServer(t, loseFirst), check.ScriptedServer(t, loseFirst)
	n := startNode(t, combine(withoutCancellation, func(raw map[string]any) {
		look := raw["settings"].(map[string]any)["classes"].([]map[string]any)[0]
		look["objectiveMs"], look["deadlineMs"] = 2000, 4000
	}), a.Addr, b.Addr)
	for i := range 40 { // the node learns how fast answers are
		if status, _, _ := n.roundTripOnce(lookRequest(fmt.Sprint("quick", i))); status != http.StatusOK {
			t.Fatalf("the answer to a quick request is %d, want 200", status)
		}
	}
	count := func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return attempts[id]
	}
	c := n.dial()
	writeString(t, c, lookRequest("gone"))
	check.Eventually(t, "the request reached a server", func() bool { return count("gone") == 1 })
	writeString(t, c, "x")
	c.Close()
	n.awaitOpenRequests(0)
	if status, _, _ := n.roundTripOnce(lookRequest("stays")); status != http.StatusOK || count("stays") != 2 {
		t.Errorf("the connected client was answered %d after %d attempts, want 200 after 2", status, count("stays"))
	}
	if got := count("gone"); got != 1 {
		t.Errorf("%d attempts for the disconnected client, want 1", got)
	}
}

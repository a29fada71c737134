package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// testNode is a node that serves on loopback.
type testNode struct {
	t      testing.TB
	addr   string
	node   *Node
	file   string
	raw    map[string]any
	hup    chan os.Signal
	term   context.CancelFunc
	ended  chan error
	logged *check.Log
}

// testConfig returns the configuration of a node with these servers.
func testConfig(listen, discovery string, servers ...string) map[string]any {
	return map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "7",
		"limits": map[string]any{"cores": 0.25, "memory_mb": 48, "sockets": 256},
		"known":  map[string]any{"seq": 5, "whole": true, "hosts": emulator.InServiceEntries(servers...)},
		"settings": map[string]any{
			"myNumber": 0, "nInstances": 1, "az": 0, "zones": []string{"a"}, "discovery": "ask",
			"ceilings": map[string]any{"maxAttempts": 3, "secondCopies": true, "cancel": true, "dialTimeoutMs": 250, "keepaliveMs": 15000, "retryAfter": true, "maxRetryAfterMs": 2000},
			"rules":    map[string]any{"askWithinMs": 1000},
			"valueBy":  "work",
			"classes": []map[string]any{
				{"name": "look", "effect": "free", "objectiveMs": 20000, "deadlineMs": 30000, "gain": 1},
				{"name": "order", "effect": "guarded", "dedupScope": "all", "windowMs": 60000, "objectiveMs": 20000, "deadlineMs": 30000, "gain": 5},
				{"name": "credit", "effect": "single_shot", "objectiveMs": 20000, "deadlineMs": 30000, "gain": 3},
			},
		},
	}
}

// startNode runs a node with these servers; change may alter its configuration.
func startNode(t testing.TB, change func(raw map[string]any), servers ...string) *testNode {
	t.Helper()
	d := startDiscovery(t, servers...)
	n := &testNode{
		t: t, addr: "127.0.0.1:0", file: filepath.Join(t.TempDir(), "config.json"),
		hup: make(chan os.Signal, 1), ended: make(chan error, 1), logged: &check.Log{},
	}
	n.raw = testConfig(n.addr, d.Addr, servers...)
	if change != nil {
		change(n.raw)
	}
	n.writeSettings()
	n.startAndAwait(&Platform{Getenv: n.env})
	return n
}

// startAndAwait starts the node and waits until it serves.
func (n *testNode) startAndAwait(source Source) {
	n.t.Helper()
	running, err := Start(source, slog.New(slog.NewTextHandler(n.logged, &slog.HandlerOptions{Level: slog.LevelDebug})))
	if err != nil {
		n.t.Fatal(err)
	}
	n.node = running
	n.addr = running.Addrs()[0]
	var ctx context.Context
	ctx, n.term = context.WithCancel(context.Background())
	go func() { n.ended <- running.Run(ctx, n.hup) }()
	n.t.Cleanup(n.stop)
	n.t.Cleanup(n.logUnanswered)
	if running.planner != nil {
		return // it serves no clients
	}
	check.Eventually(n.t, "the node is up", func() bool {
		resp, err := http.Get("http://" + n.addr + "/up")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// logUnanswered logs, if the test has failed, the node's log lines of requests that got no answer of a
// server.
func (n *testNode) logUnanswered() {
	if !n.t.Failed() {
		return
	}
	for line := range strings.Lines(n.logged.String()) {
		if strings.Contains(line, "request rejected") || strings.Contains(line, "request failed") || strings.Contains(line, "shedding") {
			n.t.Log(strings.TrimSpace(line))
		}
	}
}

func startDiscovery(t testing.TB, servers ...string) *emulator.Discovery {
	t.Helper()
	return check.StartForTest(t, func() (*emulator.Discovery, error) {
		return emulator.NewDiscovery(emulator.InServiceEntries(servers...)...)
	})
}

func (n *testNode) env(name string) string {
	if name == "GW_CONFIG" {
		return n.file
	}
	return ""
}

func (n *testNode) writeSettings() {
	n.t.Helper()
	text, err := json.Marshal(n.raw)
	if err != nil {
		n.t.Fatal(err)
	}
	n.writeText(string(text))
}

func (n *testNode) writeText(text string) {
	n.t.Helper()
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		n.t.Fatal(err)
	}
}

func (n *testNode) reload() { n.hup <- syscall.SIGHUP }

func (n *testNode) stop() {
	n.term()
	n.awaitEnd()
}

// awaitEnd waits until Run has returned.
func (n *testNode) awaitEnd() {
	n.t.Helper()
	select {
	case err := <-n.ended:
		if err != nil {
			n.t.Errorf("the node stopped with error %v", err)
		}
		n.ended <- err
	case <-time.After(check.Timeout):
		n.t.Error("the node did not stop")
	}
}

func (n *testNode) dial() net.Conn {
	n.t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(check.Timeout))
	return c
}

// exchange sends text on a new connection and returns all that the node sends until it closes it.
func (n *testNode) exchange(text string) string {
	n.t.Helper()
	c := n.dial()
	go func() { _, _ = io.WriteString(c, text) }()
	b, err := io.ReadAll(c)
	if err != nil && !strings.Contains(err.Error(), "reset") {
		n.t.Errorf("the node neither answered nor closed the connection: read error %v after %q", err, b)
	}
	return string(b)
}

// holdUntil echoes requests, all or those of one owner only once release is closed.
func holdUntil(release <-chan struct{}, owner string) emulator.Responder {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		if owner == "" || r.Header.Get("Req-Owner") == owner {
			<-release
		}
		return emulator.Echo(c, r, body)
	}
}

// resetAfter resets the connections of requests whose IDs begin with a prefix, once release is
// closed, and echoes the others.
func resetAfter(release <-chan struct{}, prefix string) emulator.Responder {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		if strings.HasPrefix(r.Header.Get("Req-Id"), prefix) {
			<-release
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		return emulator.Echo(c, r, body)
	}
}

// newFileNode returns a node with an operator's file; startAndAwait starts it.
func newFileNode(t testing.TB, text string) *testNode {
	t.Helper()
	n := &testNode{t: t, file: filepath.Join(t.TempDir(), "node.toml"), hup: make(chan os.Signal, 1), ended: make(chan error, 1), logged: &check.Log{}}
	n.writeText(text)
	return n
}

// lookRequest returns a valid request of the class that may be retried.
func lookRequest(id string) string {
	return "GET /look/k HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Deadline-Ms: 20000\r\n\r\n"
}

func postRequest(class, id, headers, body string) string {
	return fmt.Sprintf("POST /%s/k HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline-Ms: 20000\r\n%sContent-Length: %d\r\n\r\n%s", class, id, headers, len(body), body)
}

// roundTrip sends one request on a connection and reads its answer.
func (n *testNode) roundTrip(c net.Conn, br *bufio.Reader, text string) (int, string, http.Header) {
	n.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		n.t.Fatal(err)
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		n.t.Fatalf("reading the answer: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatalf("reading the answer's body: %v", err)
	}
	if resp.Close { // net/http removes the header
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, string(body), resp.Header
}

// roundTripOnce sends one request on a new connection.
func (n *testNode) roundTripOnce(text string) (int, string, http.Header) {
	n.t.Helper()
	c := n.dial()
	defer c.Close()
	return n.roundTrip(c, bufio.NewReader(c), text)
}

package node

import (
	"bufio"
	"bytes"
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
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// soon bounds every wait for something that must happen: generous, for a slow
// machine under the race detector.
const soon = 30 * time.Second

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(soon); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came about: %s", what)
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// fakeServer is a server whose every connection and request passes through the
// test's hands.
type fakeServer struct {
	addr  string
	conns atomic.Int64 // accepted
	got   atomic.Int64 // requests read whole
	heads chan *http.Request
}

// reply answers a request on its connection; false ends the connection.
type reply func(c net.Conn, r *http.Request, body []byte) bool

func respond(text string) reply {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// echo answers with the request's id and body.
func echo(c net.Conn, r *http.Request, body []byte) bool {
	text := r.Header.Get("Req-Id") + " " + string(body)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

func newFakeServer(t *testing.T, answer reply) *fakeServer {
	t.Helper()
	ln := listen(t)
	s := &fakeServer{addr: ln.Addr().String(), heads: make(chan *http.Request, 1000)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			t.Cleanup(func() { c.Close() })
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *fakeServer) serve(c net.Conn, answer reply) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.got.Add(1)
		select {
		case s.heads <- r:
		default:
		}
		if !answer(c, r, body) {
			return
		}
	}
}

// fakeDiscovery answers every call with its list, and holds a watch that knows
// the list already.
type fakeDiscovery struct {
	addr  string
	calls atomic.Int64
	mu    sync.Mutex
	hosts []map[string]any
}

func newFakeDiscovery(t *testing.T, addrs ...string) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{hosts: hosts(addrs...)}
	ln := listen(t)
	d.addr = ln.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls.Add(1)
		if r.URL.Query().Get("after") == "5" {
			<-r.Context().Done()
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"seq": 5, "whole": true, "hosts": d.hosts})
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	return d
}

func hosts(addrs ...string) []map[string]any {
	list := []map[string]any{}
	for _, a := range addrs {
		list = append(list, map[string]any{"host": "s-" + a, "dial": a, "site": "a", "class": "std", "block": 1, "health": "in_service", "share": 1, "born_ms": 0})
	}
	return list
}

// syncBuffer is a log that can be read while it is written.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// testNode is a node that serves on loopback.
type testNode struct {
	t      *testing.T
	addr   string
	file   string
	raw    map[string]any
	hup    chan os.Signal
	term   context.CancelFunc
	ended  chan error
	logged *syncBuffer
}

// testConfig is the configuration of a node in front of some servers.
func testConfig(listen, discovery string, servers ...string) map[string]any {
	return map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "7",
		"limits": map[string]any{"cores": 0.25, "memory_mb": 48, "sockets": 256},
		"known":  map[string]any{"seq": 5, "whole": true, "hosts": hosts(servers...)},
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

// startNode runs a node in front of the servers; change may alter what it is told.
func startNode(t *testing.T, change func(raw map[string]any), servers ...string) *testNode {
	t.Helper()
	d := newFakeDiscovery(t, servers...)
	free := listen(t)
	n := &testNode{
		t: t, addr: free.Addr().String(), file: filepath.Join(t.TempDir(), "config.json"),
		hup: make(chan os.Signal, 1), ended: make(chan error, 1), logged: &syncBuffer{},
	}
	free.Close()
	n.raw = testConfig(n.addr, d.addr, servers...)
	if change != nil {
		change(n.raw)
	}
	n.write()
	cfg, err := LoadConfig(n.env)
	if err != nil {
		t.Fatal(err)
	}
	var ctx context.Context
	ctx, n.term = context.WithCancel(context.Background())
	log := slog.New(slog.NewTextHandler(n.logged, nil))
	go func() { n.ended <- Run(ctx, cfg, n.hup, func() (*Config, error) { return ReloadConfig(n.env) }, log) }()
	t.Cleanup(n.stop)
	eventually(t, "the node is up", func() bool {
		resp, err := http.Get("http://" + n.addr + "/up")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return n
}

func (n *testNode) env(name string) string {
	if name == "GW_CONFIG" {
		return n.file
	}
	return ""
}

func (n *testNode) write() {
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
	select {
	case err := <-n.ended:
		if err != nil {
			n.t.Errorf("the node ended with %v", err)
		}
		n.ended <- err
	case <-time.After(soon):
		n.t.Error("the node never ended")
	}
}

func (n *testNode) dial() net.Conn {
	n.t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(soon))
	return c
}

// exchange sends bytes on a new connection and returns all that comes until the node
// closes it.
func (n *testNode) exchange(text string) string {
	n.t.Helper()
	c := n.dial()
	go func() { _, _ = io.WriteString(c, text) }()
	b, err := io.ReadAll(c)
	if err != nil && !strings.Contains(err.Error(), "reset") {
		n.t.Errorf("the node neither answered nor closed: %v after %q", err, b)
	}
	return string(b)
}

// look is a good request of the class that may be repeated.
func look(id string) string {
	return "GET /look/k HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Deadline-Ms: 20000\r\n\r\n"
}

func post(class, id, headers, body string) string {
	return fmt.Sprintf("POST /%s/k HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline-Ms: 20000\r\n%sContent-Length: %d\r\n\r\n%s", class, id, headers, len(body), body)
}

// ask sends one request on a connection and reads its answer.
func (n *testNode) ask(c net.Conn, br *bufio.Reader, text string) (int, string, http.Header) {
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
	if resp.Close { // net/http takes the header out
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, string(body), resp.Header
}

// once asks one request on a connection of its own.
func (n *testNode) once(text string) (int, string, http.Header) {
	n.t.Helper()
	c := n.dial()
	defer c.Close()
	return n.ask(c, bufio.NewReader(c), text)
}

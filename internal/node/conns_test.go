package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// dialServed returns the idle connection of a client that has been served once, with request ID k1.
func (n *testNode) dialServed() (net.Conn, *bufio.Reader) {
	n.t.Helper()
	c := n.dial()
	br := bufio.NewReader(c)
	if status, _, _ := n.roundTrip(c, br, lookRequest("k1")); status != 200 {
		n.t.Fatalf("the answer is %d, want 200", status)
	}
	return c, br
}

// TestSilentConnectionsDoNotEvictServedClients opens hundreds of connections that send nothing: a
// client that has been served keeps its connection, and the number of connections stays limited.
func TestSilentConnectionsDoNotEvictServedClients(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	served, br := n.dialServed()
	const silentConns = 300
	closed := make(chan struct{}, silentConns)
	for range silentConns {
		c := n.dial()
		go func() {
			_, _ = io.Copy(io.Discard, c)
			closed <- struct{}{}
		}()
	}
	for range silentConns { // those within the limit are closed because they send nothing
		<-closed
	}
	if status, _, _ := n.roundTrip(served, br, lookRequest("k2")); status != 200 {
		t.Errorf("after the silent connections the served client was answered %d, want 200", status)
	}
}

// TestStalledRequestIsClosed makes clients stop within a head and within a body: the node closes the
// connection.
func TestStalledRequestIsClosed(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	whole := postRequest("credit", "h1", "", strings.Repeat("x", 100))
	for name, text := range map[string]string{
		"nothing":                            "",
		"part of a head":                     whole[:20],
		"part of a body":                     whole[:len(whole)-50],
		"part of a body of an unknown class": strings.Replace(whole[:len(whole)-50], "/credit/", "/debit/", 1),
		"a length too large":                 strings.Replace(whole, ": 100\r", ": 60000\r", 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			n.exchange(text)
			if took := time.Since(began); took > 7*time.Second {
				t.Errorf("the connection was closed after %v, want at most 7 s", took)
			}
		})
	}
}

// TestRequestIDInUseIsRejected sends a request with the ID of an open one: the second request is
// rejected and the first is served.
func TestRequestIDInUseIsRejected(t *testing.T) {
	release := make(chan struct{})
	server := check.ScriptedServer(t, holdUntil(release, ""))
	n := startNode(t, nil, server.Addr)
	owner := n.dial()
	if _, err := io.WriteString(owner, lookRequest("dup")); err != nil {
		t.Fatal(err)
	}
	check.Eventually(t, "the request reached the server", func() bool { return server.Received.Load() == 1 })
	if status, _, _ := n.roundTripOnce(lookRequest("dup")); status != http.StatusConflict {
		t.Errorf("the second request was answered %d, want 409", status)
	}
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(owner), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("the first request got response %v and error %v, want 200", resp, err)
	}
	if status, _, _ := n.roundTripOnce(lookRequest("dup")); status != 200 || server.Received.Load() != 2 {
		t.Errorf("after the first request a repeat of its ID was answered %d, and %d requests were forwarded; want 200 and 2", status, server.Received.Load())
	}
}

// TestPipelinedRequests sends requests without waiting for their answers: each gets its own answer, in
// order.
func TestPipelinedRequests(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	c := n.dial()
	br := bufio.NewReader(c)
	var text strings.Builder
	for i := range 20 {
		text.WriteString(postRequest("order", fmt.Sprint("p", i), "Idempotency-Key: k\r\n", fmt.Sprint(i)))
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if want := fmt.Sprintf("p%d %d", i, i); err != nil || resp.StatusCode != 200 || string(body) != want {
			t.Errorf("answer %d has status %d, body %q and error %v, want those of its request", i, resp.StatusCode, body, err)
		}
	}
}

// writeSlowly writes a request in pieces over 1.8 s, and checks that it is served. It calls meanwhile
// after the second piece.
func writeSlowly(t *testing.T, c net.Conn, text string, meanwhile func()) {
	t.Helper()
	const pieces = 20
	pace := time.NewTicker(90 * time.Millisecond)
	defer pace.Stop()
	for i := range pieces {
		if _, err := io.WriteString(c, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
			t.Fatalf("writing piece %d failed: %v", i, err)
		}
		<-pace.C
		if i == 1 {
			meanwhile()
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("the slow writer got response %v and error %v, want 200", resp, err)
	}
}

// TestSlowWriterAmongStalledConnections makes a client write a short request over 1.8 s on a new
// connection, while many others connect and stop within a head: it is served, and so is a client
// whose connection was idle.
func TestSlowWriterAmongStalledConnections(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	served, br := n.dialServed()
	half := lookRequest("half")[:20]
	writeSlowly(t, n.dial(), postRequest("credit", "slow", "", strings.Repeat("x", 200)), func() {
		for range 300 {
			if _, err := io.WriteString(n.dial(), half); err != nil {
				t.Fatal(err)
			}
		}
	})
	if status, _, _ := n.roundTrip(served, br, lookRequest("k2")); status != 200 {
		t.Errorf("after the stalled connections the served client was answered %d, want 200", status)
	}
}

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

// dialServed returns the connection of a client that has been served once, as k1, and is idle.
func (n *testNode) dialServed() (net.Conn, *bufio.Reader) {
	n.t.Helper()
	c := n.dial()
	br := bufio.NewReader(c)
	if status, _, _ := n.roundTrip(c, br, lookRequest("k1")); status != 200 {
		n.t.Fatalf("answered %d", status)
	}
	return c, br
}

// TestSilentConnectionsDoNotEvictServedClients opens hundreds of connections that send nothing: a
// client that has been served keeps its connection, and the limit of connections holds.
func TestSilentConnectionsDoNotEvictServedClients(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	known, br := n.dialServed()
	const crowd = 300
	closed := make(chan struct{}, crowd)
	for range crowd {
		c := n.dial()
		go func() {
			_, _ = io.Copy(io.Discard, c)
			closed <- struct{}{}
		}()
	}
	for range crowd { // those within the cap are closed for their silence
		<-closed
	}
	if status, _, _ := n.roundTrip(known, br, lookRequest("k2")); status != 200 {
		t.Errorf("after the crowd: %d", status)
	}
}

// TestStalledRequestIsClosed stops within a head and within a body: the node closes the connection.
func TestStalledRequestIsClosed(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	whole := postRequest("credit", "h1", "", strings.Repeat("x", 100))
	for name, text := range map[string]string{
		"nothing":            "",
		"part of a head":     whole[:20],
		"part of a body":     whole[:len(whole)-50],
		"and of no class":    strings.Replace(whole[:len(whole)-50], "/credit/", "/debit/", 1),
		"a length too large": strings.Replace(whole, ": 100\r", ": 60000\r", 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			n.exchange(text)
			if took := time.Since(began); took > 7*time.Second {
				t.Errorf("closed after %v", took)
			}
		})
	}
}

// TestRequestIDInUseIsRejected sends the ID of a request that is open: the second request is
// rejected and the first is served.
func TestRequestIDInUseIsRejected(t *testing.T) {
	release := make(chan struct{})
	s := check.ScriptedServer(t, holdUntil(release, ""))
	n := startNode(t, nil, s.Addr)
	owner := n.dial()
	if _, err := io.WriteString(owner, lookRequest("dup")); err != nil {
		t.Fatal(err)
	}
	check.Eventually(t, "the request is out", func() bool { return s.Received.Load() == 1 })
	if status, _, _ := n.roundTripOnce(lookRequest("dup")); status != http.StatusConflict {
		t.Errorf("the second was answered %d", status)
	}
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(owner), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("the first: %v %v", resp, err)
	}
	if status, _, _ := n.roundTripOnce(lookRequest("dup")); status != 200 || s.Received.Load() != 2 {
		t.Errorf("once it is answered: %d, %d forwarded", status, s.Received.Load())
	}
}

// TestPipelinedRequests sends requests one after another without waiting: each gets its own answer,
// in order.
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
			t.Errorf("answer %d: %d %q %v", i, resp.StatusCode, body, err)
		}
	}
}

// writeSlowly writes a request over 1.8 s, in pieces, and checks that it is served. Meanwhile
// begins after its second piece.
func writeSlowly(t *testing.T, c net.Conn, text string, meanwhile func()) {
	t.Helper()
	const pieces = 20
	pace := time.NewTicker(90 * time.Millisecond)
	defer pace.Stop()
	for i := range pieces {
		if _, err := io.WriteString(c, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
			t.Fatalf("piece %d: %v", i, err)
		}
		<-pace.C
		if i == 1 {
			meanwhile()
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("the slow writer got %v, %v", resp, err)
	}
}

// TestSlowWriterAmongStalledConnections has a client take 1.8 s for a short request on a new
// connection, while many others connect and stop within a head: it is served, and so is a client
// whose connection was idle.
func TestSlowWriterAmongStalledConnections(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	known, br := n.dialServed()
	half := lookRequest("half")[:20]
	writeSlowly(t, n.dial(), postRequest("credit", "slow", "", strings.Repeat("x", 200)), func() {
		for range 300 {
			if _, err := io.WriteString(n.dial(), half); err != nil {
				t.Fatal(err)
			}
		}
	})
	if status, _, _ := n.roundTrip(known, br, lookRequest("k2")); status != 200 {
		t.Errorf("after the crowd: %d", status)
	}
}

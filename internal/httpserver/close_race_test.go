package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"jasperpin/internal/emulator/check"
)

// TestRequestThatCrossesCloseIsNotReadAndDropped guards against requests that are read and then closed on: clients send
// a request at the moment in which the node closes their idle connections, to make room for others or as it drains.
// Each request that is read is answered; one that is not read ends with a reset, by which the client knows that it may
// send the request again. An orderly close without an answer would say that it was read.
func TestRequestThatCrossesCloseIsNotReadAndDropped(t *testing.T) {
	for name, testCase := range map[string]struct {
		rounds     int // an eviction closes one connection a round, the others close all
		closeConns func(t *testing.T, ln *testListener)
	}{
		"eviction": {1500, func(t *testing.T, ln *testListener) {
			other := check.Must[net.Conn](t)(net.Dial("tcp", ln.Addr().String()))
			other.Close()
		}},
		"drain":                        {300, func(_ *testing.T, ln *testListener) { ln.tracker.closeIdle() }},
		"end of the time for requests": {300, func(_ *testing.T, ln *testListener) { ln.tracker.stopReadingAll() }},
		"idle timeout":                 {300, func(_ *testing.T, ln *testListener) { endIdleTime(ln.tracker) }},
	} {
		t.Run(name, func(t *testing.T) { crossCloses(t, testCase.rounds, testCase.closeConns) })
	}
}

// endIdleTime ends the time for which idle connections wait for a further request.
func endIdleTime(tracker *connTracker) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for e := tracker.byPhase[phaseIdle].Front(); e != nil; e = e.Next() {
		_ = e.Value.(*clientConn).SetReadDeadline(time.Now())
	}
}

// crossCloses sends requests on idle connections while closeConns closes these. It ends with an error at the first
// request that is read and not answered.
func crossCloses(t *testing.T, rounds int, closeConns func(t *testing.T, ln *testListener)) {
	const clients = 4
	answered, reset := 0, 0
	for range rounds {
		ln, clientConns, requestsRead := serveIdleClients(t, clients)
		results := make([]error, clients)
		var begin, all sync.WaitGroup
		begin.Add(1)
		for i, client := range clientConns {
			all.Go(func() {
				begin.Wait()
				results[i] = sendAcrossClose(client)
			})
		}
		all.Go(func() {
			begin.Wait()
			closeConns(t, ln)
		})
		begin.Done()
		all.Wait()
		answeredBefore := answered
		for _, result := range results {
			switch {
			case errors.Is(result, errClosedInOrder):
				t.Fatalf("after %d answered requests and %d resets: %v", answered, reset, result)
			case result != nil:
				reset++
			default:
				answered++
			}
		}
		if read, want := requestsRead(), clients+answered-answeredBefore; read != want {
			t.Fatalf("%d requests were read and %d answered, after %d answered requests and %d resets", read, want, answered, reset)
		}
	}
	t.Logf("%d requests were answered and %d were reset", answered, reset)
}

// serveIdleClients returns clients whose connections are idle after an answer, at a listener that they fill.
// requestsRead closes all of them and returns how many complete requests were read.
func serveIdleClients(t *testing.T, clients int) (ln *testListener, conns []net.Conn, requestsRead func() int) {
	t.Helper()
	ln = newTestListener(t, clients)
	var idle atomic.Int64
	var accepted sync.Map
	srv := &http.Server{ConnContext: contextWithConn, ConnState: func(c net.Conn, state http.ConnState) {
		onConnState(c, state)
		accepted.Store(c, true)
		if state == http.StateIdle {
			idle.Add(1)
		}
	}, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		conn := connFrom(r.Context())
		if _, open := conn.beginRequest(); !open {
			panic(http.ErrAbortHandler)
		}
		conn.endRequest()
	})}
	go func() { _ = srv.Serve(ln) }()
	for range clients {
		client := check.Must[net.Conn](t)(net.Dial("tcp", ln.Addr().String()))
		if err := sendAcrossClose(client); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, client)
	}
	check.Eventually(t, "all connections are idle", func() bool { return idle.Load() == int64(clients) })
	return ln, conns, func() (read int) {
		srv.Close()
		for _, client := range conns {
			client.Close()
		}
		for c := range accepted.Range {
			cc := c.(*clientConn)
			cc.mu.Lock()
			read += cc.state.framing.CompleteRequests()
			cc.mu.Unlock()
		}
		return read
	}
}

// errClosedInOrder reports that a connection was closed without an answer and without a reset.
var errClosedInOrder = errors.New("the request was read, and its connection closed without an answer")

// sendAcrossClose sends a request and reads its answer. It returns errClosedInOrder if the server has read the request
// and closed the connection.
func sendAcrossClose(client net.Conn) error {
	if _, err := io.WriteString(client, completeRequest); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err == nil {
		return resp.Body.Close()
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		if stays(client, tcpCloseWait) {
			return errClosedInOrder
		}
	}
	return err
}

// tcpCloseWait is the state of a TCP connection that the peer has closed and that was not reset, as in tcp(7).
const tcpCloseWait = 8

// resetDelay is how long a reset may take to arrive.
const resetDelay = 200 * time.Millisecond

// stays reports whether a connection is still in a TCP state after resetDelay.
func stays(client net.Conn, state uint8) bool {
	raw, err := client.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for end := time.Now().Add(resetDelay); time.Now().Before(end); <-poll.C {
		var info *unix.TCPInfo
		if controlErr := raw.Control(func(fd uintptr) {
			info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		}); controlErr != nil || err != nil || info.State != state {
			return false
		}
	}
	return true
}

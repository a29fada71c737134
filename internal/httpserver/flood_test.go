package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"jasperpin/internal/emulator/check"
)

// TestFloodYieldsToOtherRequests guards against other clients' answers that come late while one client sends small
// requests on one connection as fast as they are read: its goroutine never waits, and on one processor each step of any
// other request waits for the end of its time slice. Other goroutines must run between its requests.
func TestFloodYieldsToOtherRequests(t *testing.T) {
	const requests = 1000
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var turns, last atomic.Int64 // turns of another goroutine: all, and those by the last request
	var first int64              // those by the first request
	handled := 0
	ln := newTestListener(t, 2)
	srv := &http.Server{ConnContext: contextWithConn, ConnState: onConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if handled == 0 {
			first = turns.Load()
		}
		handled++
		last.Store(turns.Load())
	})}
	client := check.Must[net.Conn](t)(net.Dial("tcp", ln.Addr().String()))
	defer client.Close()
	write(t, client, strings.Repeat(completeRequest, requests))
	done := make(chan struct{})
	defer close(done)
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	go func() {
		for {
			select {
			case <-done:
				return
			default:
				turns.Add(1)
				runtime.Gosched()
			}
		}
	}()
	answers := bufio.NewReader(client)
	for range requests {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if got := last.Load() - first; got < requests/2 {
		t.Errorf("another goroutine ran %d times during %d requests, want at least %d", got, requests, requests/2)
	}
}

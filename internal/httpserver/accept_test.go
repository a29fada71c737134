package httpserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
	"jasperpin/internal/limit"
)

// TestServesOnAfterAcceptFails has accept(2) fail in each way that passes: the front takes the
// connections that come behind, and shuts down in time.
func TestServesOnAfterAcceptFails(t *testing.T) {
	t.Parallel()
	for _, errno := range check.AcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			f := New(nil, limit.Machine{Descriptors: 256, Memory: 64 << 20, Cores: 1}, slog.New(slog.DiscardHandler))
			ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
			ended := make(chan error, 1)
			go func() { ended <- f.Serve(check.NewFailing(ln, []syscall.Errno{errno, errno}...)) }()
			client := &http.Client{Timeout: check.Soon, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Get("http://" + ln.Addr().String() + "/up")
			if err != nil {
				select {
				case err = <-ended:
				default:
				}
				t.Fatalf("it does not serve: %v", err)
			}
			resp.Body.Close()
			began := time.Now()
			if err := f.Shutdown(context.Background(), time.Now().Add(check.Soon)); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took > check.Soon/2 {
				t.Errorf("the shutdown took %v", took)
			}
		})
	}
}

// TestTimeInTheAcceptQueueCounts has a request wait in the kernel's queue before its connection is
// accepted, as where descriptors have run out: its client has been waiting since.
func TestTimeInTheAcceptQueueCounts(t *testing.T) {
	const wait = 300 * time.Millisecond
	l := newCapped(t, 2)
	near := check.Must[net.Conn](t)(net.Dial("tcp", l.Addr().String()))
	defer near.Close()
	write(t, near, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	written := time.Now()
	queued := time.NewTimer(wait) // the wait itself
	<-queued.C
	far := check.Must[net.Conn](t)(l.Accept()).(*clientConn)
	defer far.Close()
	if _, err := far.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	if late := far.came().Sub(written); late > wait/3 {
		t.Errorf("its last byte counts as come %v after it was written", late)
	}
	if err := far.SetReadDeadline(time.Now().Add(headWait)); err != nil {
		t.Fatal(err)
	}
}

// TestTimeOfAStoppedProcessCounts has bytes come on a connection that is being read while the process
// does not run. The kernel knows when they came.
func TestTimeOfAStoppedProcessCounts(t *testing.T) {
	const wait = 300 * time.Millisecond
	l := newCapped(t, 2)
	near, far := l.client()
	began := time.Now()
	write(t, near, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	stopped := time.NewTimer(wait)
	<-stopped.C
	far.mu.Lock()
	far.note([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"), began.Add(-time.Second)) // by a read that had begun before
	far.mu.Unlock()
	if late := far.came().Sub(began); late > wait/3 {
		t.Errorf("its last byte counts as come %v after it was written", late)
	}
}

// TestNewcomersMakeNoRoom has no descriptor be left while the only connection has just come, and then one
// that rests.
func TestNewcomersMakeNoRoom(t *testing.T) {
	l := newCapped(t, 8)
	_, fresh := l.client()
	if l.makeRoom() || fresh.gone {
		t.Error("a connection that has just come made room")
	}
	_, rested := l.client()
	rested.owner.mu.Lock()
	rested.enlist(&rested.owner.resting)
	rested.owner.mu.Unlock()
	if !l.makeRoom() || !rested.gone || fresh.gone {
		t.Errorf("at rest, it made room: %t; the one that has just come: %t", rested.gone, fresh.gone)
	}
}

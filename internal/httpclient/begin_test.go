package httpclient

import (
	"net"
	"net/http"
	"testing"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// told is a core.Sending with an answer of its own.
type told struct {
	until time.Time
	ok    bool
	wrote bool
}

func (o *told) Begin() (core.AttemptDeadlines, bool) {
	return core.AttemptDeadlines{WriteBy: o.until, ClientDeadline: time.Now().Add(time.Minute)}, o.ok
}
func (o *told) StillValid() bool    { return true }
func (o *told) Wrote(time.Duration) { o.wrote = true }

// TestWriteEndsInTime has a server take no byte of a request whose last must be out by a time: the attempt
// ends then, and has not run. Its connection is not used again, while one that was in time is.
func TestWriteEndsInTime(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err == nil {
			<-release
			c.Close()
		}
	}()
	p := upstream(t, 4)
	srv := p.newServer()
	m := &core.Message{Method: http.MethodPost, Target: "/order/1", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}, Body: make([]byte, 32<<20)}
	late := &told{until: time.Now().Add(50 * time.Millisecond), ok: true}
	if result, _ := srv.Send(t.Context(), ln.Addr().String(), m, late); result != decide.ConnectFailed || late.wrote {
		t.Errorf("ended with %v, written whole: %v", result, late.wrote)
	}
	if got := open(p); got != 0 {
		t.Errorf("%d connections are kept", got)
	}

	s := check.Raw(t, emulator.Echo)
	m.Body, p.MaxBody = []byte("x"), core.MaxBody
	for _, until := range []time.Time{time.Now().Add(check.Soon), {}, time.Now().Add(check.Soon)} {
		if result, _ := srv.Send(t.Context(), s.Addr, m, &told{until: until, ok: true}); result != decide.OK {
			t.Errorf("by %v: ended with %v", until, result)
		}
	}
	if got := s.Conns.Load(); got != 1 {
		t.Errorf("%d connections for three requests", got)
	}
	p.Close()
}

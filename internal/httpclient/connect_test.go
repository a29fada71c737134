package httpclient

import (
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// TestPatience ends a wait after its time, and never once it was stopped.
func TestPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, over := time.Now(), make(chan time.Duration, 1)
		newPatience(250*time.Millisecond, func() { over <- time.Since(began) })
		if took := <-over; took != 250*time.Millisecond {
			t.Errorf("it took %v", took)
		}
		stopped := newPatience(250*time.Millisecond, func() { t.Error("a wait that was stopped ended") })
		time.Sleep(100 * time.Millisecond) // virtual
		stopped.stop()
		time.Sleep(time.Second)
	})
}

// TestScarceBlamesNoServer has the machine be short of something as a connection is made, for a
// moment and for longer: the attempt goes out then, or ends without a word about its server.
func TestScarceBlamesNoServer(t *testing.T) {
	s := check.Raw(t, emulator.Echo)
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
		for failures, want := range map[int64]decide.Result{3: decide.OK, 1 << 30: decide.Abandoned} {
			p := upstream(t, 4)
			p.MaxBody = core.MaxBody
			var tries atomic.Int64
			p.dialer.Control = func(string, string, syscall.RawConn) error {
				if tries.Add(1) <= failures {
					return os.NewSyscallError("connect", errno)
				}
				return nil
			}
			if result, _ := p.newServer().Send(t.Context(), s.Addr, m, &told{ok: true}); result != want {
				t.Errorf("%v, %d times: the attempt ended with %v, want %v", errno, failures, result, want)
			}
			p.Close()
			if got := open(p); got != 0 {
				t.Errorf("%v: %d places are held", errno, got)
			}
		}
	}
}

// TestNoRoomBlamesNoServer has no place left for a connection.
func TestNoRoomBlamesNoServer(t *testing.T) {
	s := check.Raw(t, emulator.Echo)
	p := upstream(t, 1)
	defer p.Close()
	held := fill(t, p, s.Addr, 1)
	defer held[0].Close()
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	if result, _ := p.newServer().Send(t.Context(), s.Addr, m, &told{ok: true}); result != decide.Abandoned {
		t.Errorf("the attempt ended with %v", result)
	}
}

package httpclient

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
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

// TestRunningTimerExpiresOnce: a timer expires after its time, and not at all once it was stopped.
func TestRunningTimerExpiresOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, expired := time.Now(), make(chan time.Duration, 1)
		newRunningTimer(250*time.Millisecond, func() { expired <- time.Since(began) })
		if took := <-expired; took != 250*time.Millisecond {
			t.Errorf("it expired after %v, want 250ms", took)
		}
		stopped := newRunningTimer(250*time.Millisecond, func() { t.Error("a stopped timer expired") })
		time.Sleep(100 * time.Millisecond) // virtual
		stopped.stop()
		time.Sleep(time.Second)
	})
}

// TestLocalShortageBlamesNoServer: this machine lacks a resource as a connection is made, for a moment or
// for longer than the dial time-out. The attempt is sent in the first case, and ends in the second without
// counting against its server.
func TestLocalShortageBlamesNoServer(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
		for failures, want := range map[int64]decide.Result{3: decide.OK, 1 << 30: decide.Abandoned} {
			p := newTestUpstream(t, 4)
			p.MaxBody = core.DefaultMaxBody
			var attempts atomic.Int64
			p.dialer.Control = func(string, string, syscall.RawConn) error {
				if attempts.Add(1) <= failures {
					return os.NewSyscallError("connect", errno)
				}
				return nil
			}
			if result, _ := p.newServer().Send(t.Context(), s.Addr, m, &fakeGate{allowed: true}); result != want {
				t.Errorf("%v, %d times: the attempt ended with %v, want %v", errno, failures, result, want)
			}
			p.Close()
			if got := openConnections(p); got != 0 {
				t.Errorf("%v: %d slots are still held", errno, got)
			}
		}
	}
}

// TestNoCapacityBlamesNoServer: all slots for connections are in use for longer than the dial time-out. The
// attempt ends without counting against its server.
func TestNoCapacityBlamesNoServer(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	p := newTestUpstream(t, 1)
	defer p.Close()
	inUse := fill(t, p, s.Addr, 1)
	defer inUse[0].Close()
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	if result, _ := p.newServer().Send(t.Context(), s.Addr, m, &fakeGate{allowed: true}); result != decide.Abandoned {
		t.Errorf("the attempt ended with %v, want %v", result, decide.Abandoned)
	}
}

// dialAddressVariable is set in the child process of TestDialTimeoutExcludesStoppedProcess to the server's
// address.
const dialAddressVariable = "HTTPCLIENT_TEST_DIAL_ADDRESS"

// TestDialTimeoutExcludesStoppedProcess: a child process dials a healthy server all the time, and is stopped
// by SIGSTOP for longer than the dial time-out, several times. The server accepts each connection at once,
// so none of the dials may time out.
func TestDialTimeoutExcludesStoppedProcess(t *testing.T) {
	if addr := os.Getenv(dialAddressVariable); addr != "" {
		dialUntilStdinEnds(t, addr)
		return
	}
	t.Parallel()
	s := check.ScriptedServer(t, emulator.Echo)
	child := exec.Command(os.Args[0], "-test.run=^TestDialTimeoutExcludesStoppedProcess$")
	child.Env = append(os.Environ(), dialAddressVariable+"="+s.Addr)
	stdin := check.Must[io.WriteCloser](t)(child.StdinPipe())
	var output bytes.Buffer
	child.Stdout, child.Stderr = &output, &output
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	for range 6 {
		before := s.Conns.Load()
		check.Eventually(t, "the process connects", func() bool { return s.Conns.Load() > before+50 })
		signal(t, child.Process, syscall.SIGSTOP)
		resumed := time.After(400 * time.Millisecond) // the stop itself
		<-resumed
		signal(t, child.Process, syscall.SIGCONT)
	}
	stdin.Close()
	if err := child.Wait(); err != nil {
		t.Errorf("%v: %s", err, output.String())
	}
}

func signal(t *testing.T, p *os.Process, s os.Signal) {
	t.Helper()
	if err := p.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// dialUntilStdinEnds dials over and over, from several goroutines, until standard input ends. Each dial must
// succeed.
func dialUntilStdinEnds(t *testing.T, addr string) {
	p := newTestUpstream(t, 32)
	var stop atomic.Bool
	var dialers sync.WaitGroup
	for range 8 {
		dialers.Go(func() {
			for !stop.Load() {
				began := time.Now()
				c, err := p.dial(t.Context(), p.newServer(), addr, 0)
				if err != nil {
					t.Errorf("dialling for %v: %v", time.Since(began), err)
					return
				}
				_ = c.Conn.(*net.TCPConn).SetLinger(0) // or ports would run out
				c.Close()
			}
		})
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	stop.Store(true)
	dialers.Wait()
}

// TestDialTimeout: a server neither accepts nor refuses connections. The attempt fails after the dial
// time-out, and not much later.
func TestDialTimeout(t *testing.T) {
	addr := silentAddress(t)
	p := newTestUpstream(t, 4)
	defer p.Close()
	began := time.Now()
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	if result, _ := p.newServer().Send(t.Context(), addr, m, &fakeGate{allowed: true}); result != decide.ConnectFailed {
		t.Errorf("the attempt ended with %v, want %v", result, decide.ConnectFailed)
	}
	if took := time.Since(began); took < p.DialTimeout || took > 2*p.DialTimeout+check.Soon/10 {
		t.Errorf("the attempt took %v, want about %v", took, p.DialTimeout)
	}
	if got := openConnections(p); got != 0 {
		t.Errorf("%d slots are still held", got)
	}
}

// silentAddress returns an address at which connections are neither accepted nor refused: its accept queue
// is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	is, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: is.(*syscall.SockaddrInet4).Port}).String()
	for range 4 { // more than the queue holds
		if c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	return addr
}

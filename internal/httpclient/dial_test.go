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

// TestRunningTimerExpiresOnce: a timer expires after its time, and never after it was stopped.
func TestRunningTimerExpiresOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, expired := time.Now(), make(chan time.Duration, 1)
		newRunningTimer(250*time.Millisecond, func() { expired <- time.Since(began) })
		if took := <-expired; took != 250*time.Millisecond {
			t.Errorf("the timer expired after %v, want 250ms", took)
		}
		stopped := newRunningTimer(250*time.Millisecond, func() { t.Error("a stopped timer expired") })
		time.Sleep(100 * time.Millisecond) // virtual
		stopped.stop()
		time.Sleep(time.Second)
	})
}

// TestLocalShortageCountsAgainstNoServer: this machine lacks a resource for a connection, either briefly or for
// longer than the dial timeout. In the first case the attempt is sent; in the second it ends without counting
// against its server.
func TestLocalShortageCountsAgainstNoServer(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
		for failures, want := range map[int64]decide.Result{3: decide.OK, 1 << 30: decide.Abandoned} {
			upstream := newTestUpstream(t, 4)
			upstream.MaxBody = core.DefaultMaxBody
			var attempts atomic.Int64
			upstream.dialer.Control = func(string, string, syscall.RawConn) error {
				if attempts.Add(1) <= failures {
					return os.NewSyscallError("connect", errno)
				}
				return nil
			}
			if result, _ := upstream.newServer().Send(t.Context(), s.Addr, m, &fakeGate{allowed: true}); result != want {
				t.Errorf("connect failed with %v %d times: the attempt ended with %v, want %v", errno, failures, result, want)
			}
			upstream.Close()
			if got := openConnections(upstream); got != 0 {
				t.Errorf("after connect failed with %v, %d slots are still in use, want none", errno, got)
			}
		}
	}
}

// TestNoCapacityCountsAgainstNoServer: all connection slots are in use for longer than the dial timeout. The
// attempt ends without counting against its server.
func TestNoCapacityCountsAgainstNoServer(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	upstream := newTestUpstream(t, 1)
	defer upstream.Close()
	inUse := fill(t, upstream, s.Addr, 1)
	defer inUse[0].Close()
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	if result, _ := upstream.newServer().Send(t.Context(), s.Addr, m, &fakeGate{allowed: true}); result != decide.Abandoned {
		t.Errorf("the attempt ended with %v, want %v", result, decide.Abandoned)
	}
}

// dialAddressVariable is the environment variable that passes the server's address to the child process of
// TestDialTimeoutExcludesStoppedProcess.
const dialAddressVariable = "HTTPCLIENT_TEST_DIAL_ADDRESS"

// TestDialTimeoutExcludesStoppedProcess: a child process continuously dials a healthy server, and is repeatedly
// stopped by SIGSTOP for longer than the dial timeout. The server accepts each connection immediately, so no
// dial may time out.
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
		check.Eventually(t, "the child process connects", func() bool { return s.Conns.Load() > before+50 })
		signal(t, child.Process, syscall.SIGSTOP)
		resumed := time.After(400 * time.Millisecond) // the duration of the stop
		<-resumed
		signal(t, child.Process, syscall.SIGCONT)
	}
	stdin.Close()
	if err := child.Wait(); err != nil {
		t.Errorf("the child process that dials ended with %v, want success; output: %s", err, output.String())
	}
}

func signal(t *testing.T, p *os.Process, s os.Signal) {
	t.Helper()
	if err := p.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// dialUntilStdinEnds dials repeatedly from several goroutines until the end of standard input. Each dial must
// succeed.
func dialUntilStdinEnds(t *testing.T, addr string) {
	upstream := newTestUpstream(t, 32)
	var stop atomic.Bool
	var dialers sync.WaitGroup
	for range 8 {
		dialers.Go(func() {
			for !stop.Load() {
				began := time.Now()
				c, err := upstream.dial(t.Context(), upstream.newServer(), addr, 0)
				if err != nil {
					t.Errorf("a dial of a healthy server failed after %v: %v", time.Since(began), err)
					return
				}
				_ = c.Conn.(*net.TCPConn).SetLinger(0) // otherwise ports run out
				c.Close()
			}
		})
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	stop.Store(true)
	dialers.Wait()
}

// TestDialTimeout: a server neither accepts nor refuses connections. The attempt fails after the dial timeout,
// and not much later.
func TestDialTimeout(t *testing.T) {
	addr := silentAddress(t)
	upstream := newTestUpstream(t, 4)
	defer upstream.Close()
	began := time.Now()
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	if result, _ := upstream.newServer().Send(t.Context(), addr, m, &fakeGate{allowed: true}); result != decide.ConnectFailed {
		t.Errorf("the attempt ended with %v, want %v", result, decide.ConnectFailed)
	}
	if took := time.Since(began); took < upstream.DialTimeout || took > 2*upstream.DialTimeout+check.Timeout/10 {
		t.Errorf("the attempt took %v, want about %v", took, upstream.DialTimeout)
	}
	if got := openConnections(upstream); got != 0 {
		t.Errorf("after the attempt %d slots are still in use, want none", got)
	}
}

// silentAddress returns an address that neither accepts nor refuses connections, because its accept queue is
// full.
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
	for range 4 { // more than the length of the queue
		if c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	return addr
}

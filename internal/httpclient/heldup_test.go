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
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// dialsTo names, in the environment of a process of this test, the server to connect to.
const dialsTo = "HTTPUP_TEST_DIALS_TO"

// TestDialOutlastsAPause stops a process that connects all the time to a server that is there, for
// longer than a connection may take: the server takes each at once, and none is blamed on it.
func TestDialOutlastsAPause(t *testing.T) {
	if addr := os.Getenv(dialsTo); addr != "" {
		dialUntilTold(t, addr)
		return
	}
	t.Parallel()
	s := check.Raw(t, emulator.Echo)
	child := exec.Command(os.Args[0], "-test.run=^TestDialOutlastsAPause$")
	child.Env = append(os.Environ(), dialsTo+"="+s.Addr)
	end := check.Must[io.WriteCloser](t)(child.StdinPipe())
	var said bytes.Buffer
	child.Stdout, child.Stderr = &said, &said
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	for range 6 {
		was := s.Conns.Load()
		check.Eventually(t, "the process connects", func() bool { return s.Conns.Load() > was+50 })
		signal(t, child.Process, syscall.SIGSTOP)
		resumed := time.After(400 * time.Millisecond) // the pause itself
		<-resumed
		signal(t, child.Process, syscall.SIGCONT)
	}
	end.Close()
	if err := child.Wait(); err != nil {
		t.Errorf("%v: %s", err, said.String())
	}
}

func signal(t *testing.T, p *os.Process, s os.Signal) {
	t.Helper()
	if err := p.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// dialUntilTold connects over and over until the standard input ends. Each must succeed.
func dialUntilTold(t *testing.T, addr string) {
	p := upstream(t, 32)
	var stop atomic.Bool
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for !stop.Load() {
				began := time.Now()
				c, err := p.dial(t.Context(), p.newServer(), addr, 0)
				if err != nil {
					t.Errorf("after %v: %v", time.Since(began), err)
					return
				}
				_ = c.Conn.(*net.TCPConn).SetLinger(0) // or ports would run out
				c.Close()
			}
		})
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	stop.Store(true)
	all.Wait()
}

// TestDialGivesUpInTime has a server that takes no connection: it is given up on after the time
// that the settings give, and not much later.
func TestDialGivesUpInTime(t *testing.T) {
	addr := silentAddress(t)
	p := upstream(t, 4)
	defer p.Close()
	began := time.Now()
	m := &core.Message{Method: http.MethodGet, Target: "/look/k", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	if result, _ := p.newServer().Send(t.Context(), addr, m, &told{ok: true}); result != decide.ConnectFailed {
		t.Errorf("the attempt ended with %v", result)
	}
	if took := time.Since(began); took < p.DialTimeout || took > 2*p.DialTimeout+check.Soon/10 {
		t.Errorf("it took %v of %v", took, p.DialTimeout)
	}
	if got := open(p); got != 0 {
		t.Errorf("%d places are held", got)
	}
}

// silentAddress is one at which connections are neither taken nor refused: its queue is full.
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
	for range 4 { // more than its queue holds
		if c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	return addr
}

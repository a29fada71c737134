package plannerrpc

import (
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/mtls"
)

// poor is a listener of a process that has no descriptor left at first.
type poor struct {
	net.Listener
	asked  int
	closed chan struct{}
}

func (p *poor) Accept() (net.Conn, error) {
	if p.asked++; p.asked < 3 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	<-p.closed
	return nil, net.ErrClosed
}

func (p *poor) Close() error {
	close(p.closed)
	return nil
}

// TestServeWaitsForDescriptors has accept(2) fail for want of descriptors: the server waits and
// serves on.
func TestServeWaitsForDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(nil, 1, slog.New(slog.DiscardHandler))
		ln := &poor{closed: make(chan struct{})}
		ended := make(chan error, 1)
		began := time.Now()
		go func() { ended <- s.Serve(ln) }()
		time.Sleep(time.Second)
		synctest.Wait()
		select {
		case err := <-ended:
			t.Fatalf("it ended with %v after %v", err, time.Since(began))
		default:
		}
		if ln.asked != 3 {
			t.Errorf("asked %d times", ln.asked)
		}
		s.Close()
		if err := <-ended; err != nil {
			t.Errorf("closed: %v", err)
		}
	})
}

// TestForwardersAreBounded connects one forwarder more than allowed: it gets the reason, and has
// the place once the first has gone.
func TestForwardersAreBounded(t *testing.T) {
	auth := check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir()))
	end := func(name string) *tls.Config {
		cert, key, err := auth.Issue(name)
		if err != nil {
			t.Fatal(err)
		}
		return check.Must[*tls.Config](t)(mtls.Files{Certificate: cert, Key: key, Authorities: auth.File}.Load(PlannerDNSName))
	}
	quiet := slog.New(slog.DiscardHandler)
	s := NewServer(end(PlannerDNSName), 1, quiet)
	defer s.Close()
	d := NewPoolServer(PoolOptions{Pool: "p", Classes: []string{"c"}, Settings: decide.Settings{Classes: []decide.Class{{}}}, Log: quiet})
	s.SetPool(d)
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	go func() { _ = s.Serve(ln) }()
	logs := make(map[string]*check.Log)
	client := func(name string) *Client {
		logs[name] = &check.Log{}
		c := NewClient(ClientOptions{
			Name: name, Pool: "p", Classes: []string{"c"}, Planners: []string{ln.Addr().String()}, TLS: end(name),
			Log: slog.New(slog.NewTextHandler(logs[name], nil)),
		})
		c.Start(func(decide.RequestID, decide.ServerID) {})
		return c
	}
	a := client("a")
	check.Eventually(t, "the first is connected", func() bool { return d.Forwarders() == 1 })
	b := client("b")
	defer b.Close()
	check.Eventually(t, "the second is told why not", func() bool { return strings.Contains(logs["b"].String(), "which are the most") })
	a.Close()
	check.Eventually(t, "the second is connected", func() bool { return strings.Contains(logs["b"].String(), "planner connected") })
}

// TestServeContinuesAfterAcceptErrors has accept(2) fail in each way that passes: the planner
// serves the connections that follow.
func TestServeContinuesAfterAcceptErrors(t *testing.T) {
	auth := check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir()))
	cert, key, err := auth.Issue(PlannerDNSName)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(check.Must[*tls.Config](t)(mtls.Files{Certificate: cert, Key: key, Authorities: auth.File}.Load(PlannerDNSName)), 1, slog.New(slog.DiscardHandler))
	defer s.Close()
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(check.NewFailingListener(ln, check.AcceptErrors...)) }()
	conn := check.Must[net.Conn](t)(net.Dial("tcp", ln.Addr().String()))
	defer conn.Close()
	check.Eventually(t, "the connection is taken", func() bool {
		select {
		case err := <-ended:
			t.Fatalf("it ended with %v", err)
		default:
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.connections) > 0
	})
}

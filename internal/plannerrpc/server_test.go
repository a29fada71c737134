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

// exhaustedListener is a listener whose first two calls of Accept fail because the process has no free
// descriptors.
type exhaustedListener struct {
	net.Listener
	acceptCalls int
	closed      chan struct{}
}

func (p *exhaustedListener) Accept() (net.Conn, error) {
	if p.acceptCalls++; p.acceptCalls < 3 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	<-p.closed
	return nil, net.ErrClosed
}

func (p *exhaustedListener) Close() error {
	close(p.closed)
	return nil
}

// TestServeWaitsForDescriptors makes accept(2) fail because the process has no free descriptors: the
// server waits and then continues to serve.
func TestServeWaitsForDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(nil, 1, slog.New(slog.DiscardHandler))
		ln := &exhaustedListener{closed: make(chan struct{})}
		ended := make(chan error, 1)
		began := time.Now()
		go func() { ended <- s.Serve(ln) }()
		time.Sleep(time.Second)
		synctest.Wait()
		select {
		case err := <-ended:
			t.Fatalf("Serve returned %v after %v, want no return before Close", err, time.Since(began))
		default:
		}
		if ln.acceptCalls != 3 {
			t.Errorf("Accept was called %d times, want 3", ln.acceptCalls)
		}
		s.Close()
		if err := <-ended; err != nil {
			t.Errorf("Serve after Close returned %v, want no error", err)
		}
	})
}

// TestForwardersAreBounded connects one forwarder more than allowed: it receives the reason, and is
// accepted once the first one has disconnected.
func TestForwardersAreBounded(t *testing.T) {
	auth := check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir()))
	tlsConfig := func(name string) *tls.Config {
		cert, key, err := auth.Issue(name)
		if err != nil {
			t.Fatal(err)
		}
		return check.Must[*tls.Config](t)(mtls.Files{Certificate: cert, Key: key, Authorities: auth.File}.Load(PlannerDNSName))
	}
	quiet := slog.New(slog.DiscardHandler)
	s := NewServer(tlsConfig(PlannerDNSName), 1, quiet)
	defer s.Close()
	pool := NewPoolServer(PoolOptions{Pool: "p", Classes: []string{"c"}, Settings: decide.Settings{Classes: []decide.Class{{}}}, Log: quiet})
	s.SetPool(pool)
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	go func() { _ = s.Serve(ln) }()
	logs := make(map[string]*check.Log)
	client := func(name string) *Client {
		logs[name] = &check.Log{}
		c := NewClient(ClientOptions{
			Name: name, Pool: "p", Classes: []string{"c"}, Planners: []string{ln.Addr().String()}, TLS: tlsConfig(name),
			Log: slog.New(slog.NewTextHandler(logs[name], nil)),
		})
		c.Start(func(decide.RequestID, decide.ServerID) {})
		return c
	}
	a := client("a")
	check.Eventually(t, "the first forwarder is connected", func() bool { return pool.Forwarders() == 1 })
	b := client("b")
	defer b.Close()
	check.Eventually(t, "the second forwarder receives the reason of its rejection", func() bool { return strings.Contains(logs["b"].String(), "which are the most") })
	a.Close()
	check.Eventually(t, "the second forwarder is connected", func() bool { return strings.Contains(logs["b"].String(), "planner connected") })
}

// TestServeContinuesAfterAcceptErrors makes accept(2) fail with each temporary error: the planner serves
// the connections that follow.
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
	check.Eventually(t, "the connection is accepted", func() bool {
		select {
		case err := <-ended:
			t.Fatalf("Serve returned %v before the connection was accepted", err)
		default:
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.connections) > 0
	})
}

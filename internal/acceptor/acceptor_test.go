package acceptor

import (
	"errors"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/internal/emulator/check"
)

// brokenListener is a listener whose Accept fails until its channel is closed. Its Close has no effect.
type brokenListener struct {
	net.Listener
	closed chan struct{}
}

func (b *brokenListener) Accept() (net.Conn, error) {
	select {
	case <-b.closed:
		return nil, net.ErrClosed
	default:
		return nil, syscall.ENOBUFS
	}
}

func (b *brokenListener) Close() error { return nil }

// TestAcceptContinuesAfterErrors: accept fails with each of the temporary errors, and then a client connects.
// Its connection is accepted; the failures are logged once and all counted.
func TestAcceptContinuesAfterErrors(t *testing.T) {
	text := &check.Log{}
	inner := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	ln := New(check.NewFailingListener(inner, check.AcceptErrors...), "clients", slog.New(slog.NewTextHandler(text, nil)))
	defer ln.Close()
	near := check.Must[net.Conn](t)(net.Dial("tcp", inner.Addr().String()))
	defer near.Close()
	before := Failures()
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	far.Close()
	if got := Failures() - before; got < uint64(len(check.AcceptErrors)) {
		t.Errorf("%d failures counted, want at least %d", got, len(check.AcceptErrors))
	}
	if got := strings.Count(text.String(), "listener=clients"); got != 1 {
		t.Errorf("%d log lines for failures in a row, want 1: %s", got, text)
	}
}

// TestCloseEndsBackoff: a listener is closed while Accept waits after a failure. Accept returns at once, and
// also soon if the underlying listener is closed by other code.
func TestCloseEndsBackoff(t *testing.T) {
	for name, end := range map[string]func(*Listener, *brokenListener){
		"by Close":                   func(l *Listener, _ *brokenListener) { l.Close() },
		"underlying listener closed": func(_ *Listener, b *brokenListener) { close(b.closed) },
	} {
		synctest.Test(t, func(t *testing.T) {
			inner := &brokenListener{closed: make(chan struct{})}
			ln := New(inner, "test", slog.New(slog.DiscardHandler))
			ended := make(chan error, 1)
			go func() {
				_, err := ln.Accept()
				ended <- err
			}()
			time.Sleep(time.Second) // virtual
			began := time.Now()
			end(ln, inner)
			if err := <-ended; !errors.Is(err, net.ErrClosed) {
				t.Errorf("%s: Accept failed with %v, want %v", name, err, net.ErrClosed)
			}
			if took := time.Since(began); took > maxBackoff {
				t.Errorf("%s: Accept returned after %v", name, took)
			}
		})
	}
}

// exhaustedListener is a listener of a process that has no free descriptor until freed is set.
type exhaustedListener struct {
	net.Listener
	freed bool
	calls int
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if !s.freed {
		if s.calls++; s.calls > 10 {
			return nil, net.ErrClosed
		}
		return nil, syscall.EMFILE
	}
	near, _ := net.Pipe()
	return near, nil
}

// TestAcceptFreesDescriptor: no descriptor is free for a new connection. One is freed, and the connection is
// accepted without a backoff.
func TestAcceptFreesDescriptor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &exhaustedListener{}
		ln := New(inner, "test", slog.New(slog.DiscardHandler))
		ln.FreeDescriptor = func() bool {
			inner.freed = true
			return true
		}
		began := time.Now()
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		if took := time.Since(began); took > 0 {
			t.Errorf("the connection was accepted after %v, want no backoff", took)
		}
	})
}

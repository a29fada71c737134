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

// broken is a listener that fails until it is closed, and forever if it is not told of that.
type broken struct {
	net.Listener
	closed chan struct{}
}

func (b *broken) Accept() (net.Conn, error) {
	select {
	case <-b.closed:
		return nil, net.ErrClosed
	default:
		return nil, syscall.ENOBUFS
	}
}

func (b *broken) Close() error { return nil }

// TestPassingErrors takes a connection behind every error that passes, says so once and counts all.
func TestPassingErrors(t *testing.T) {
	text := &check.Log{}
	inner := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	ln := New(check.NewFailing(inner, check.AcceptErrors...), "clients", slog.New(slog.NewTextHandler(text, nil)))
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
		t.Errorf("%d failures counted of %d", got, len(check.AcceptErrors))
	}
	if got := strings.Count(text.String(), "listener=clients"); got != 1 {
		t.Errorf("%d lines for failures in a row: %s", got, text)
	}
}

// TestClose ends a wait at once, and one for a listener that is closed from elsewhere soon.
func TestClose(t *testing.T) {
	for name, end := range map[string]func(*Listener, *broken){
		"by itself": func(l *Listener, _ *broken) { l.Close() },
		"elsewhere": func(_ *Listener, b *broken) { close(b.closed) },
	} {
		synctest.Test(t, func(t *testing.T) {
			inner := &broken{closed: make(chan struct{})}
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
				t.Errorf("%s: %v", name, err)
			}
			if took := time.Since(began); took > mostPause {
				t.Errorf("%s: it took %v", name, took)
			}
		})
	}
}

// short is a listener of a process that has no descriptor left, until one is given back.
type short struct {
	net.Listener
	given bool
	asked int
}

func (s *short) Accept() (net.Conn, error) {
	if !s.given {
		if s.asked++; s.asked > 10 {
			return nil, net.ErrClosed
		}
		return nil, syscall.EMFILE
	}
	near, _ := net.Pipe()
	return near, nil
}

// TestMakesRoom has no descriptor be left for a newcomer: one is given back, and it waits for nothing.
func TestMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &short{}
		ln := New(inner, "test", slog.New(slog.DiscardHandler))
		ln.MakeRoom = func() bool {
			inner.given = true
			return true
		}
		began := time.Now()
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		if took := time.Since(began); took > 0 {
			t.Errorf("it waited for %v", took)
		}
	})
}

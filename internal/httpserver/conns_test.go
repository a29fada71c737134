package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
)

// capped is a listener under a cap, with clients that have connected.
type capped struct {
	*listener
	t *testing.T
}

func newCapped(t *testing.T, most int) *capped {
	t.Helper()
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(func() { ln.Close() })
	return &capped{&listener{ln, newConns(most)}, t}
}

// client connects one, and gives both sides of it.
func (l *capped) client() (near net.Conn, far *clientConn) {
	l.t.Helper()
	near = check.Must[net.Conn](l.t)(net.Dial("tcp", l.Addr().String()))
	far = check.Must[net.Conn](l.t)(l.Accept()).(*clientConn)
	l.t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// TestCapSparesWhoHasSent has a newcomer at the cap while the one that should make room has
// sent a request: unread, or read and not yet taken. Another makes room.
func TestCapSparesWhoHasSent(t *testing.T) {
	const request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, read := range map[string]bool{"unread": false, "read": true} {
		t.Run(name, func(t *testing.T) {
			l := newCapped(t, 2)
			near, first := l.client()
			other, second := l.client()
			write(t, near, request)
			check.Eventually(t, "the request is there", first.unread)
			if read {
				write(t, other, request[:9])
				check.Eventually(t, "part of another is there", second.unread)
				for _, c := range []*clientConn{first, second} {
					if _, err := c.Read(make([]byte, 4096)); err != nil {
						t.Fatal(err)
					}
				}
			}
			l.client()
			if first.gone || !second.gone {
				t.Errorf("whose request has come made room: %t; the other: %t", first.gone, second.gone)
			}
			if !read {
				return
			}
			if !first.take() {
				t.Error("the request that had been read was not taken")
			}
		})
	}
}

// TestCutAsTheLastByteIsRead cuts the reading off just as a request's last byte is read: its
// client is not taken for gone, until it is.
func TestCutAsTheLastByteIsRead(t *testing.T) {
	l := newCapped(t, 2)
	near, cc := l.client()
	write(t, near, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := cc.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	// As it is where the cut came first, and the bytes were on their way to the reader.
	cc.cut.Store(true)
	_ = cc.Conn.SetReadDeadline(longAgo)
	cc.readBy = time.Now().Add(check.Soon)
	read := make(chan error, 1)
	go func() { // beside the handler, as net/http does
		_, err := cc.Read(make([]byte, 1))
		read <- err
	}()
	check.Eventually(t, "the deadline was passed over", func() bool {
		cc.mu.Lock()
		defer cc.mu.Unlock()
		return cc.readBy.IsZero() || len(read) > 0
	})
	write(t, near, "x")
	l.cutOff(true)
	select {
	case err := <-read:
		t.Fatalf("a client that waits was taken for gone: %v", err)
	default:
	}
	near.Close()
	if err := <-read; !errors.Is(err, io.EOF) {
		t.Errorf("its end was told as %v", err)
	}
}

// TestWatchEndsWithItsHandler has net/http end the watch as it does behind an answer.
func TestWatchEndsWithItsHandler(t *testing.T) {
	l := newCapped(t, 2)
	near, cc := l.client()
	write(t, near, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b")
	if _, err := cc.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := cc.Read(make([]byte, 1))
		read <- err
	}()
	write(t, near, " HTTP/1.1\r\n")
	_ = cc.SetReadDeadline(longAgo)
	if err := <-read; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the watch ended with %v", err)
	}
	cc.ended()
	_ = cc.SetReadDeadline(time.Time{})
	if text, err := bufio.NewReader(cc).ReadString('\n'); text != " HTTP/1.1\r\n" {
		t.Errorf("what came meanwhile: %q, %v", text, err)
	}
}

// TestCapSparesAnAnswer has newcomers at the cap at the moment at which a handler has returned:
// its answer is still to be written, and is not lost for a place.
func TestCapSparesAnAnswer(t *testing.T) {
	l := newCapped(t, 1)
	var first *clientConn
	returned, tried := make(chan struct{}), make(chan struct{})
	srv := &http.Server{ConnContext: withConn, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle { // the answer has gone
			close(tried)
		}
		rests(c, state)
	}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		first = connOf(r.Context())
		defer close(returned)
		defer first.served()
		if _, told := first.head(); !told || !first.take() {
			t.Error("the request was not taken")
		}
		first.ended()
		_, _ = io.WriteString(w, "answer")
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { srv.Close() })
	near := check.Must[net.Conn](t)(net.Dial("tcp", l.Addr().String()))
	defer near.Close()
	write(t, near, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	<-returned
	l.conns.mu.Lock()
	select {
	case <-tried: // it has been written already
	default:
		if victim := l.victim(); victim != nil {
			t.Error("a connection whose answer is not written makes room")
		}
	}
	l.conns.mu.Unlock()
	resp, err := http.ReadResponse(bufio.NewReader(near), nil)
	if err != nil || resp.ContentLength != 6 {
		t.Errorf("answered %v, %v", resp, err)
	}
	check.Eventually(t, "it rests", func() bool {
		l.conns.mu.Lock()
		defer l.conns.mu.Unlock()
		return l.victim() == first
	})
}

// TestCloseLetsItsClientRead closes on a client that has sent more than was read, with most of
// its answer still on its way: all of it comes.
func TestCloseLetsItsClientRead(t *testing.T) {
	const long = 60 << 10
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	c := newConns(2)
	l := &listener{ln, c}
	asked, sent, handled := make(chan struct{}), make(chan struct{}), make(chan struct{})
	srv := &http.Server{ConnContext: withConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cc := connOf(r.Context())
		defer close(handled)
		defer cc.ended()
		close(asked)
		<-sent
		check.Eventually(t, "more has come", cc.unread)
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, long))
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { srv.Close() })
	near := check.Must[net.Conn](t)(net.Dial("tcp", ln.Addr().String()))
	defer near.Close()
	_ = near.(*net.TCPConn).SetReadBuffer(4 << 10)
	write(t, near, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	<-asked
	write(t, near, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	close(sent)
	<-handled
	resp, err := http.ReadResponse(bufio.NewReader(near), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != long || err != nil {
		t.Errorf("%d bytes of %d, %v", n, long, err)
	}
}

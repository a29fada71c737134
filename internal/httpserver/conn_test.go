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

// TestStopReadingSparesCompleteRequest: at a shutdown reading is stopped just as the last byte of a request
// is read. The deadline in the past that stops the reading also ends net/http's wait for a disconnect,
// which would report the client as disconnected. The wait must go on until the client has really disconnected.
func TestStopReadingSparesCompleteRequest(t *testing.T) {
	l := newTestListener(t, 2)
	client, cc := l.connect()
	write(t, client, completeRequest)
	if _, err := cc.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	// The state in which reading was stopped first, with the bytes on their way to the reader.
	cc.readingStopped.Store(true)
	_ = cc.Conn.SetReadDeadline(pastDeadline)
	cc.readDeadline = time.Now().Add(check.Soon)
	read := make(chan error, 1)
	go func() { // net/http's background read
		_, err := cc.Read(make([]byte, 1))
		read <- err
	}()
	check.Eventually(t, "the deadline is lifted", func() bool {
		cc.mu.Lock()
		defer cc.mu.Unlock()
		return cc.readDeadline.IsZero() || len(read) > 0
	})
	write(t, client, "x")
	l.tracker.stopReadingAll()
	select {
	case err := <-read:
		t.Fatalf("a client that waits was reported as disconnected: %v", err)
	default:
	}
	client.Close()
	if err := <-read; !errors.Is(err, io.EOF) {
		t.Errorf("the disconnect was reported as %v, want %v", err, io.EOF)
	}
}

// TestDisconnectWaitEndsWithHandler: when a handler has returned net/http ends its background read by a
// deadline in the past. The wait for a disconnect ends then, and has taken none of the bytes of the next
// request.
func TestDisconnectWaitEndsWithHandler(t *testing.T) {
	l := newTestListener(t, 2)
	client, cc := l.connect()
	write(t, client, completeRequest+"GET /b")
	if _, err := cc.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := cc.Read(make([]byte, 1))
		read <- err
	}()
	write(t, client, " HTTP/1.1\r\n")
	_ = cc.SetReadDeadline(pastDeadline)
	if err := <-read; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the wait ended with %v, want %v", err, os.ErrDeadlineExceeded)
	}
	cc.handlerReturned()
	_ = cc.SetReadDeadline(time.Time{})
	if text, err := bufio.NewReader(cc).ReadString('\n'); text != " HTTP/1.1\r\n" {
		t.Errorf("read %q, %v after the wait", text, err)
	}
}

// TestCloseLetsClientReadAnswer: a connection is closed while its client has sent more than was read, and
// most of the answer is still on its way. A plain close would send a reset, and the client would lose the
// answer. The client reads all of it.
func TestCloseLetsClientReadAnswer(t *testing.T) {
	const answerBytes = 60 << 10
	l := newTestListener(t, 2)
	handling, sent, handled := make(chan struct{}), make(chan struct{}), make(chan struct{})
	srv := &http.Server{ConnContext: contextWithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cc := connFrom(r.Context())
		defer close(handled)
		defer cc.handlerReturned()
		close(handling)
		<-sent
		check.Eventually(t, "more has arrived", cc.hasUnread)
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, answerBytes))
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { srv.Close() })
	client := check.Must[net.Conn](t)(net.Dial("tcp", l.Addr().String()))
	defer client.Close()
	_ = client.(*net.TCPConn).SetReadBuffer(4 << 10)
	write(t, client, completeRequest)
	<-handling
	write(t, client, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	close(sent)
	<-handled
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != answerBytes || err != nil {
		t.Errorf("read %d bytes of %d, %v", n, answerBytes, err)
	}
}

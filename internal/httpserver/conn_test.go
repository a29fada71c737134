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

// TestStopReadingDoesNotEndDisconnectWait: during a shutdown reading is stopped just as the last byte of a
// request is read. The deadline in the past that stops the reading also ends net/http's wait for a disconnect,
// which would report a connected client as disconnected. The wait must continue until the client has really
// disconnected.
func TestStopReadingDoesNotEndDisconnectWait(t *testing.T) {
	ln := newTestListener(t, 2)
	client, conn := ln.connect()
	write(t, client, completeRequest)
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	// Set up the state after reading was stopped while the bytes were being read.
	conn.readingStopped.Store(true)
	_ = conn.Conn.SetReadDeadline(pastDeadline)
	conn.readDeadline = time.Now().Add(check.Timeout)
	read := make(chan error, 1)
	go func() { // net/http's background read
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	check.Eventually(t, "the deadline is cleared", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.readDeadline.IsZero() || len(read) > 0
	})
	write(t, client, "x")
	ln.tracker.stopReadingAll()
	select {
	case err := <-read:
		t.Fatalf("a connected client was reported as disconnected with %v, want no report", err)
	default:
	}
	client.Close()
	if err := <-read; !errors.Is(err, io.EOF) {
		t.Errorf("the disconnect was reported as %v, want %v", err, io.EOF)
	}
}

// TestDisconnectWaitEndsWithHandler: after a handler has returned, net/http ends its background read with a
// deadline in the past. The wait for a disconnect then ends, and has consumed no bytes of the next request.
func TestDisconnectWaitEndsWithHandler(t *testing.T) {
	ln := newTestListener(t, 2)
	client, conn := ln.connect()
	write(t, client, completeRequest+"GET /b")
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	write(t, client, " HTTP/1.1\r\n")
	_ = conn.SetReadDeadline(pastDeadline)
	if err := <-read; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the wait for a disconnect ended with %v, want %v", err, os.ErrDeadlineExceeded)
	}
	conn.endAnswer()
	_ = conn.SetReadDeadline(time.Time{})
	if text, err := bufio.NewReader(conn).ReadString('\n'); text != " HTTP/1.1\r\n" {
		t.Errorf("reading the next request after the wait returned %q and error %v, want all its bytes", text, err)
	}
}

// TestCloseLetsClientReadAnswer: a connection is closed while it has unread bytes and most of the answer has
// not reached the client. An ordinary close would send a reset, and the client would lose the answer. The
// client must read the complete answer.
func TestCloseLetsClientReadAnswer(t *testing.T) {
	const answerBytes = 60 << 10
	ln := newTestListener(t, 2)
	handling, sent, handled := make(chan struct{}), make(chan struct{}), make(chan struct{})
	srv := &http.Server{ConnContext: contextWithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connFrom(r.Context())
		defer close(handled)
		close(handling)
		<-sent
		check.Eventually(t, "the second request has arrived", conn.hasUnread)
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, answerBytes))
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	client := check.Must[net.Conn](t)(net.Dial("tcp", ln.Addr().String()))
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
		t.Errorf("the client read %d of %d answer bytes, error %v, want the complete answer", n, answerBytes, err)
	}
}

package httpserver

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jasperpin/internal/httpframing"
	"jasperpin/internal/limit"
)

const (
	// writeStallTimeout is how long a client may take none of what is written to it: slow networks
	// pause for seconds, and a client that takes nothing must not hold its buffers for ever.
	writeStallTimeout = 20 * time.Second
	// writeChunkBytes is the most that one write deadline covers, so that a long answer to a slow
	// client is bounded by its pauses and not by its length.
	writeChunkBytes = 32 << 10
	// lingerTimeout is how long a client has to read its answer before a connection with unread bytes
	// is closed. A close with unread bytes sends a reset, which discards answers not yet read.
	lingerTimeout = 500 * time.Millisecond
	// maxQueueWait bounds what is believed of the kernel's figure for a connection's time in the accept
	// queue, so that a wrong figure cannot date its request far back.
	maxQueueWait = 10 * time.Second
	// minReadTime is what a connection that has waited in the accept queue for longer than its head may
	// take is given to be read.
	minReadTime = 100 * time.Millisecond
)

// pastDeadline ends reads at once. net/http uses the same value to end its background read.
var pastDeadline = time.Unix(1, 0)

// errNoDescriptor says that a connection has no file descriptor, by which it would be watched.
var errNoDescriptor = errors.New("connection has no file descriptor")

// incompleteRequestAnswer is written to a client whose request is not complete when the server stops
// reading. net/http has not seen that request and cannot answer it.
const incompleteRequestAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// clientConn is a client's connection. It notes what net/http reads: where requests end, and when their
// last bytes arrived. net.Conn is embedded and not the concrete type, so that net/http does not find
// CloseWrite and half-close the connection on its own.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn
	tracker *connTracker
	// readingStopped is set once, under mu: a request that is not complete is read no further.
	readingStopped atomic.Bool

	// Guarded by tracker.mu.
	element      *list.Element // in list; nil while a request is held, or after eviction
	list         *list.List    // one of the tracker's
	evicted      bool
	lastActivity time.Time // when bytes were last read, or the last answer written

	mu           sync.Mutex
	framing      httpframing.Scanner
	arrival      arrivalTimes
	finished     int           // requests whose handler has returned
	readDeadline time.Time     // as net/http asked for it
	queueWait    time.Duration // time in the accept queue
}

// newClientConn wraps an accepted connection. Its error is errNoDescriptor, wrapped.
func newClientConn(nc net.Conn, tracker *connTracker) (*clientConn, error) {
	withDescriptor, ok := nc.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("accepting a connection of type %T: %w", nc, errNoDescriptor)
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("accepting a connection of type %T: %w: %w", nc, errNoDescriptor, err)
	}
	return &clientConn{Conn: nc, raw: raw, tracker: tracker}, nil
}

// startClock sets the connection's times and returns when it was made: it may have waited in the accept
// queue, with a complete request.
func (cc *clientConn) startClock(now time.Time) time.Time {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.queueWait = min(cc.sinceLastReceived(), maxQueueWait)
	connected := now.Add(-cc.queueWait)
	cc.arrival.start(connected)
	return connected
}

// enlist appends the connection to one of the lists from which connections are evicted. The caller holds
// tracker.mu.
func (cc *clientConn) enlist(l *list.List) {
	cc.unlist()
	cc.list = l
	cc.element = l.PushBack(cc)
}

// unlist protects the connection from eviction. The caller holds tracker.mu.
func (cc *clientConn) unlist() {
	if cc.element != nil {
		cc.list.Remove(cc.element)
		cc.element = nil
	}
}

// Read reads for net/http. While a handler runs net/http reads one byte, to notice a disconnect: that
// read waits for the disconnect and takes nothing.
func (cc *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && cc.handlesRequest() {
		return 0, cc.awaitDisconnect()
	}
	n, err := cc.readAndNote(p)
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && cc.readingStopped.Load() {
			cc.answerIncompleteRequest()
		}
		return n, err
	}
	cc.tracker.noteActivity(cc)
	return n, err
}

// readAndNote reads what there is, or waits for it. Bytes are taken off the socket and noted under one
// lock, so that no observer finds a request neither in the socket nor here.
func (cc *clientConn) readAndNote(p []byte) (n int, err error) {
	began := time.Now()
	var readErr error
	err = cc.raw.Read(func(fd uintptr) bool {
		cc.mu.Lock()
		defer cc.mu.Unlock()
		if n, readErr = readIgnoringSignals(fd, p); n > 0 {
			cc.noteRead(p[:n], began)
		}
		return readErr != syscall.EAGAIN //nolint:errorlint // a bare errno of a system call
	})
	switch {
	case err != nil: // the deadline has passed, or the connection is closed
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{
			Op: "read", Net: cc.RemoteAddr().Network(), Source: cc.LocalAddr(), Addr: cc.RemoteAddr(),
			Err: os.NewSyscallError("read", readErr),
		}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// noteRead takes account of bytes that a read begun at readBegan has brought. The caller holds mu.
func (cc *clientConn) noteRead(p []byte, readBegan time.Time) {
	now := time.Now()
	cc.framing.Feed(p)
	cc.arrival.note(readBegan, now, cc.sinceLastReceived())
}

// Write bounds how long a client may take nothing, never how long it may take for all.
func (cc *clientConn) Write(p []byte) (int, error) {
	written := 0
	for {
		// A deadline fails to be set on a closed connection alone, and Write then says so.
		_ = cc.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		n, err := cc.Conn.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline bounds how long reads may wait. The first deadline of a connection counts from when it
// was made, not from when it was accepted. Once reading has stopped, only a complete request keeps its
// deadline.
func (cc *clientConn) SetReadDeadline(t time.Time) error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.arrival.reads == 0 && cc.queueWait > 0 && t.After(time.Now()) {
		t = t.Add(-cc.queueWait)
		if soonest := time.Now().Add(minReadTime); t.Before(soonest) {
			t = soonest
		}
	}
	cc.readDeadline = t
	if cc.readingStopped.Load() && !cc.holdsRequest() {
		t = pastDeadline
	}
	return cc.Conn.SetReadDeadline(t)
}

// stopReading has nothing more read of a request that is not complete.
func (cc *clientConn) stopReading() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.readingStopped.CompareAndSwap(false, true) && !cc.holdsRequest() {
		_ = cc.Conn.SetReadDeadline(pastDeadline) // fails on a closed connection, which reads nothing either
	}
}

// answerIncompleteRequest answers 503 to a request whose head has begun.
func (cc *clientConn) answerIncompleteRequest() {
	cc.mu.Lock()
	begun := cc.framing.InHead()
	cc.mu.Unlock()
	if !begun {
		return
	}
	_ = cc.SetDeadline(time.Now().Add(lingerTimeout)) // where it fails, so does the write
	if _, err := io.WriteString(cc.Conn, incompleteRequestAnswer); err == nil {
		cc.linger()
	}
}

// linger ends the sending, and waits until the client has read what was sent or lingerTimeout is over. A
// close with unread bytes would reset the connection, and the client would lose its answer.
func (cc *clientConn) linger() {
	// None of the errors changes anything: the connection is closed next, whatever has come of these.
	_ = cc.SetDeadline(time.Now().Add(lingerTimeout))
	if half, ok := cc.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, cc.Conn, maxHeaderBytes+limit.GuaranteedBody)
}

// Close closes the connection. Where its client has sent more than was read, the client is first given
// time to read its answer. It never fails.
func (cc *clientConn) Close() error {
	if cc.tracker.lingers(cc) && cc.hasUnread() {
		cc.linger()
	}
	cc.tracker.close(cc)
	return nil
}

// onConnState is net/http's hook for a connection's state. A connection becomes idle here, and not as the
// handler returns: its answer may then still be in a buffer, and an eviction would lose it.
func onConnState(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*clientConn); ok && state == http.StateIdle {
		cc.tracker.markIdle(cc)
	}
}

// nextHead returns what the framing says of the head of the request being handled. It must be called
// exactly once a request; false says that no head was recognised, though net/http read one.
func (cc *clientConn) nextHead() (h httpframing.Head, ok bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.framing.NextHead()
}

// beginRequest returns when the request just read was complete. Each call must be followed by
// endRequest.
func (cc *clientConn) beginRequest() time.Time {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.arrival.beginRequest()
}

// endRequest notes that the request has been answered.
func (cc *clientConn) endRequest() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.arrival.endRequest(time.Now())
}

// handlerReturned notes that the handler of a request has returned.
func (cc *clientConn) handlerReturned() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.finished++
}

// sinceRequestStart is for how long the request being read has been arriving.
func (cc *clientConn) sinceRequestStart() time.Duration {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return time.Since(cc.arrival.requestStart)
}

type connKey struct{}

// contextWithConn is net/http's hook by which handlers find their connection.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFrom returns the connection of a request's context; nil for a request of another server.
func connFrom(ctx context.Context) *clientConn {
	cc, _ := ctx.Value(connKey{}).(*clientConn)
	return cc
}

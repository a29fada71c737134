// Package acceptor accepts connections and retries after errors of accept(2). Most of these errors report a
// temporary shortage in the system, or that the client has disconnected; none reports that the listener is
// unusable. All listeners of a node use it.
package acceptor

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The backoff between failed calls of accept in a row, doubled after each: meanwhile descriptors may be
// released. A listener that is closed without Close is noticed within maxBackoff.
const (
	minBackoff = time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// errNoSocket reports that a listener has no socket of its own.
var errNoSocket = errors.New("listener has no socket")

var failures atomic.Uint64

// Failures returns the number of calls of accept that have failed in this process. It may be called from any
// goroutine.
func Failures() uint64 { return failures.Load() }

// Listener is a net.Listener whose Accept returns an error only after the listener has been closed.
type Listener struct {
	net.Listener
	// FreeDescriptor closes a descriptor if none is free for a new connection, and reports whether it did; nil
	// if there is no such function. It must be set before the first Accept.
	FreeDescriptor func() bool
	purpose        string
	log            *slog.Logger
	closeOnce      sync.Once
	closed         chan struct{}
}

// New returns a listener that retries after errors of accept. purpose names the listener in the log.
func New(ln net.Listener, purpose string, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, purpose: purpose, log: log, closed: make(chan struct{})}
}

// Accept returns the next connection. Its error wraps net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := minBackoff
	for failed := false; ; failed = true {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		failures.Add(1)
		if isOutOfDescriptors(err) && l.FreeDescriptor != nil && l.FreeDescriptor() {
			continue
		}
		if !failed { // one log line for all failures in a row
			l.log.Error("accept failed, retrying", "listener", l.purpose, "err", err)
		}
		if !l.sleep(backoff) {
			return nil, net.ErrClosed
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isOutOfDescriptors reports whether a call failed because the process or the system has no free descriptor.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// sleep waits for d. It returns false if the listener is closed first.
func (l *Listener) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// Close closes the listener and ends a backoff.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SyscallConn returns the listener's socket. It implements syscall.Conn.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := l.Listener.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errNoSocket
}

// Package acceptor accepts connections through errors of accept(2): most of them say that the system is short of
// something for a moment, or that the client has gone, and none that the listener is of no use. Every listener
// of a node accepts by it.
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

// The backoff between calls of accept that fail in a row, doubled from the first to the longest: descriptors may
// be given back meanwhile, and a listener that is closed without Close is noticed within the longest.
const (
	minBackoff = time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// errNoSocket says that a listener has no socket of its own.
var errNoSocket = errors.New("the listener has no socket")

var failures atomic.Uint64

// Failures counts the calls of accept that have failed in this process.
func Failures() uint64 { return failures.Load() }

// Listener is a listener whose Accept ends with an error only once it has been closed.
type Listener struct {
	net.Listener
	// FreeDescriptor frees a descriptor where none is left for a new connection, and reports whether it could;
	// nil for never. It is set before the first Accept.
	FreeDescriptor func() bool
	purpose        string
	log            *slog.Logger
	closeOnce      sync.Once
	closed         chan struct{}
}

// New makes a listener that accepts through errors. The purpose says in the log what it is for.
func New(ln net.Listener, purpose string, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, purpose: purpose, log: log, closed: make(chan struct{})}
}

// Accept gives the next connection. Its error wraps net.ErrClosed.
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
		if !failed { // once for all that fail in a row
			l.log.Error("accept failed, retrying", "listener", l.purpose, "err", err)
		}
		if !l.sleep(backoff) {
			return nil, net.ErrClosed
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isOutOfDescriptors reports whether a call failed as this process, or the system, has no descriptor left.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// sleep waits, and returns false once the listener is closed.
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

// Close closes the listener, and ends a backoff.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SyscallConn gives the listener's socket.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := l.Listener.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errNoSocket
}

package httpserver

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptQueuePollInterval is how often the kernel's accept queue is polled before a listener is closed.
// Meanwhile the connections in it are accepted, each in much less than this interval.
const acceptQueuePollInterval = time.Millisecond

// listener is a net.Listener whose connections are counted by a connTracker.
type listener struct {
	net.Listener
	tracker *connTracker
}

// Accept returns the next connection, and evicts another one for it at the limit. If every connection has a
// complete request, it waits until the first of them ends. Its error wraps net.ErrClosed once the listener is
// closed, or errNoDescriptor.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn, err := newClientConn(nc, l.tracker)
	if err != nil {
		nc.Close()
		return nil, err
	}
	l.tracker.admit(conn)
	return conn, nil
}

// Close closes the listener and ends the waits of Accept for a slot.
func (l *listener) Close() error {
	l.tracker.stopWaiting()
	return l.Listener.Close()
}

// drainAcceptQueue waits until the accept queue is empty, at most until the deadline. Clients in the queue may
// have sent complete requests, and closing the listener would reset their connections.
func (l *listener) drainAcceptQueue(deadline time.Time) {
	withDescriptor, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return // without a descriptor there is no accept queue
	}
	for queued := true; queued && time.Now().Before(deadline); {
		if err := raw.Control(func(fd uintptr) { queued = pollEvents(fd, unix.POLLIN) != 0 }); err != nil {
			return // already closed
		}
		if queued {
			time.Sleep(acceptQueuePollInterval)
		}
	}
}

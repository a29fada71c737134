package httpserver

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptQueuePollInterval is how often the kernel's accept queue is looked at before a listener closes:
// the connections in it are accepted meanwhile, each in well under this time.
const acceptQueuePollInterval = time.Millisecond

// listener is one of the listeners whose connections a connTracker counts.
type listener struct {
	net.Listener
	tracker *connTracker
}

// Accept admits a connection, and closes another for it at the limit. Where every connection holds a
// complete request it waits for the first of them to end. It fails with an error that wraps
// net.ErrClosed once the listener is closed, or errNoDescriptor.
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

// Close closes the listener and lets Accept no longer wait for a slot.
func (l *listener) Close() error {
	l.tracker.stopWaiting()
	return l.Listener.Close()
}

// drainAcceptQueue waits until the accept queue is empty, until the deadline at the latest. Clients in
// it may have written complete requests, and closing the listener would reset them.
func (l *listener) drainAcceptQueue(deadline time.Time) {
	withDescriptor, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return // the listener has no descriptor, and so no queue
	}
	for queued := true; queued && time.Now().Before(deadline); {
		if err := raw.Control(func(fd uintptr) { queued = pollEvents(fd, unix.POLLIN) != 0 }); err != nil {
			return // closed already
		}
		if queued {
			time.Sleep(acceptQueuePollInterval)
		}
	}
}

package httpserver

import (
	"errors"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"jasperpin/internal/core"
	"jasperpin/internal/invariant"
)

// maxUnreadBytes is the largest number of unread bytes behind a complete request with which a disconnect can
// still be detected. If the socket's receive buffer is full, the client's machine delays the FIN, so the limit
// is well below the size of that buffer.
const maxUnreadBytes = 48 << 10

// hasCompleteRequest reports whether a complete request has been read that has not been answered.
func (cc *clientConn) hasCompleteRequest() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.state.hasCompleteRequest()
}

// awaitDisconnect waits until the client of a complete request has disconnected. It consumes no bytes: bytes
// that the client sends after that request stay in the socket and cannot hide the disconnect. It returns io.EOF
// after a disconnect, or an error that wraps os.ErrDeadlineExceeded if net/http ends the wait with a deadline
// in the past.
func (cc *clientConn) awaitDisconnect() error {
	for {
		disconnected := false
		err := cc.raw.Read(func(fd uintptr) bool {
			disconnected = isDisconnected(fd)
			return disconnected
		})
		switch {
		case disconnected:
			return io.EOF
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case cc.deadlineEndsWait():
			return err
		}
	}
}

// deadlineEndsWait reports whether a deadline that has passed ends the wait for a disconnect. The deadline for
// reading the request, which is complete, does not end it and is cleared.
func (cc *clientConn) deadlineEndsWait() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	ended := !cc.readDeadline.IsZero() && !cc.readDeadline.After(pastDeadline)
	if ended || !cc.state.hasCompleteRequest() {
		return true
	}
	cc.readDeadline = time.Time{}
	_ = cc.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection, where the next wait returns the error
	return false
}

// presence reports whether the client of a complete request still waits, that is, has neither shut down its
// side of the connection nor lost it. The FIN arrives behind all bytes sent before it, and stays on the
// client's machine while the socket's buffer is full. presence does not block.
func (cc *clientConn) presence() core.ClientPresence {
	client := core.ClientWaiting
	// Control fails only on a closed connection. The context of its request is then done, which the handler
	// observes.
	_ = cc.raw.Control(func(fd uintptr) {
		events := pollEvents(fd, unix.POLLIN|unix.POLLRDHUP)
		switch {
		case events&disconnectEvents != 0:
			client = core.ClientDisconnected
		case events&unix.POLLIN != 0 && unreadBytes(fd) > maxUnreadBytes:
			client = core.ClientPresenceUnknown
		}
	})
	return client
}

// presenceWhileStreaming is presence for a request whose body is still arriving, and of which bytes were last read at
// lastRead. Unread bytes belong to that body. They can hide that the client has left since, which matters once that is
// longer ago than invariant.DisconnectSlack.
func (cc *clientConn) presenceWhileStreaming(lastRead time.Time) core.ClientPresence {
	client := cc.presence()
	if client == core.ClientPresenceUnknown && time.Since(lastRead) < invariant.DisconnectSlack {
		return core.ClientWaiting
	}
	return client
}

// hasUnread reports whether the client is still connected and has sent bytes that have not been read.
func (cc *clientConn) hasUnread() bool {
	var events int16
	// Control fails only on a closed connection, which has no unread bytes.
	_ = cc.raw.Control(func(fd uintptr) { events = pollEvents(fd, unix.POLLIN|unix.POLLRDHUP) })
	return events&unix.POLLIN != 0 && events&disconnectEvents == 0
}

// unreadBytes returns the number of bytes that have arrived and have not been read.
func (cc *clientConn) unreadBytes() (n int) {
	// Control fails only on a closed connection, which has no unread bytes.
	_ = cc.raw.Control(func(fd uintptr) { n = unreadBytes(fd) })
	return n
}

// sinceLastReceived returns the time since the kernel last received bytes on the connection. It returns false if the
// kernel does not report it.
func (cc *clientConn) sinceLastReceived() (quiet time.Duration, ok bool) {
	// Control fails only on a closed connection, whose times are not needed any more.
	_ = cc.raw.Control(func(fd uintptr) { quiet, ok = sinceLastReceived(fd) })
	return quiet, ok
}

package httpserver

import (
	"errors"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"jasperpin/internal/core"
)

// maxUnreadBytes is how many bytes may wait unread behind a complete request for its client still to be
// observable. Beyond the socket's buffer a client's machine holds the end of the connection back, so
// this is well below what a socket buffers.
const maxUnreadBytes = 48 << 10

// holdsRequest reports whether a complete request has been read whose handler has not returned. The
// caller holds mu.
func (cc *clientConn) holdsRequest() bool { return cc.framing.CompleteRequests() > cc.finished }

// handlesRequest is holdsRequest for callers that do not hold mu.
func (cc *clientConn) handlesRequest() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.holdsRequest()
}

// mayHoldRequest reports whether the connection holds a complete request, or has unread bytes that may
// complete one.
func (cc *clientConn) mayHoldRequest() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.holdsRequest() || cc.hasUnread()
}

// isIdle reports whether the connection is between requests and nothing is arriving on it.
func (cc *clientConn) isIdle() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.framing.BetweenRequests() && !cc.holdsRequest() && !cc.hasUnread()
}

// awaitDisconnect waits until the client of a complete request has disconnected, and reads nothing: what
// the client sends beyond that request stays in the socket and cannot hide its disconnect. It returns
// io.EOF then, or an error that wraps os.ErrDeadlineExceeded when net/http ends the wait by a deadline in
// the past.
func (cc *clientConn) awaitDisconnect() error {
	for {
		disconnected := false
		err := cc.raw.Read(func(fd uintptr) bool {
			disconnected = hasHungUp(fd)
			return disconnected
		})
		switch {
		case disconnected:
			return io.EOF
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case cc.endsWait():
			return err
		}
	}
}

// endsWait reports whether a deadline that has passed ends the wait for a disconnect. One that was for
// the last byte of the request, which has arrived, does not, and is lifted.
func (cc *clientConn) endsWait() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	ended := !cc.readDeadline.IsZero() && !cc.readDeadline.After(pastDeadline)
	if ended || !cc.holdsRequest() {
		return true
	}
	cc.readDeadline = time.Time{}
	_ = cc.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection, and the next wait says so
	return false
}

// presence reports whether the client of a complete request still waits: it has neither ended its
// sending nor broken the connection. The end arrives behind what the client has sent before, and stays
// on its machine while the socket's buffer is full. It does not block.
func (cc *clientConn) presence() core.ClientPresence {
	client := core.ClientWaiting
	// Control fails on a closed connection alone. Its request's context ends then, which its handler sees.
	_ = cc.raw.Control(func(fd uintptr) {
		events := pollEvents(fd, unix.POLLIN|unix.POLLRDHUP)
		switch {
		case events&hangUpEvents != 0:
			client = core.ClientDisconnected
		case events&unix.POLLIN != 0 && unreadBytes(fd) > maxUnreadBytes:
			client = core.ClientUnknown
		}
	})
	return client
}

// presenceWhileStreaming is presence for a request whose body is still arriving: what waits to be read is
// that body.
func (cc *clientConn) presenceWhileStreaming() core.ClientPresence {
	if client := cc.presence(); client == core.ClientDisconnected {
		return client
	}
	return core.ClientWaiting
}

// hasUnread reports whether a client that is still connected has sent bytes that have not been read.
func (cc *clientConn) hasUnread() bool {
	var events int16
	// Control fails on a closed connection alone, which has nothing to be read.
	_ = cc.raw.Control(func(fd uintptr) { events = pollEvents(fd, unix.POLLIN|unix.POLLRDHUP) })
	return events&unix.POLLIN != 0 && events&hangUpEvents == 0
}

// sinceLastReceived is for how long the kernel has received no bytes on the connection, or 0 where it
// does not say.
func (cc *clientConn) sinceLastReceived() (quiet time.Duration) {
	// Control fails on a closed connection alone, whose times matter no more.
	_ = cc.raw.Control(func(fd uintptr) { quiet = sinceLastReceived(fd) })
	return quiet
}

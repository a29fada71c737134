package plannerrpc

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
)

// PlannerDNSName is the DNS name that a planner's certificate must contain. Forwarders accept no other
// certificate of their authority as that of a planner.
const PlannerDNSName = "jasperpin-planner"

const (
	// handshakeTimeout is the timeout of each of a forwarder's two steps: the dial with the TLS handshake, and
	// the exchange of Hellos. At a planner it is the timeout of the TLS handshake and the Hello together.
	handshakeTimeout = 2 * time.Second
	// writeTimeout is the timeout for writing one frame.
	writeTimeout = 2 * time.Second
	// readBufferBytes is the size of a connection's read buffer; one TLS record fits into it.
	readBufferBytes = 16 << 10
)

// keepAlive detects within 4 s that the other end has disappeared without closing the connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Errors of a connection.
var (
	errOutboxFull = errors.New("outbox full: the peer reads messages too slowly")
	errClosed     = errors.New("connection closed locally")
	errNameInUse  = errors.New("another forwarder has connected under this name: set a unique node.name")
	errWrongRole  = errors.New("forwarder sent a message that only planners send")
)

// readFrame reads the payload of one frame of at most limit bytes into buf, which it grows if necessary.
// For a longer frame it returns planner.ErrFrame.
func readFrame(r *bufio.Reader, buf []byte, limit int) ([]byte, error) {
	payload, err := lengthprefix.Read(r, buf, limit)
	if errors.Is(err, lengthprefix.ErrTooLong) {
		return nil, fmt.Errorf("%w: %w", planner.ErrFrame, err)
	}
	return payload, err
}

// writeFrame completes a frame that lengthprefix.Begin started, and writes it.
func writeFrame(conn net.Conn, frame []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write does
	if _, err := conn.Write(lengthprefix.Finish(frame)); err != nil {
		return fmt.Errorf("sending a frame: %w", err)
	}
	return nil
}

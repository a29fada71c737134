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

// PlannerDNSName is the DNS name that a planner's certificate must hold: forwarders accept no other
// certificate of their authority as a planner's.
const PlannerDNSName = "jasperpin-planner"

const (
	// handshakeTimeout bounds the dial, the TLS handshake and the exchange of Hellos, each.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds how long the other end may take nothing of what is sent.
	writeTimeout = 2 * time.Second
	// readBufferBytes is the size of a connection's read buffer, as of one TLS record.
	readBufferBytes = 16 << 10
)

// keepAlive finds ends that have vanished without closing their connection, within 4 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Errors of a connection.
var (
	errOutboxFull = errors.New("the other end takes messages more slowly than they come")
	errClosed     = errors.New("closed")
	errNameInUse  = errors.New("another forwarder has connected under this name: give each node of the tier its own")
	errWrongRole  = errors.New("a forwarder that speaks as a planner")
)

// readFrame reads the payload of one frame of at most limit bytes into buf, which it grows. A longer
// one is planner.ErrFrame.
func readFrame(r *bufio.Reader, buf []byte, limit int) ([]byte, error) {
	payload, err := lengthprefix.Read(r, buf, limit)
	if errors.Is(err, lengthprefix.ErrTooLong) {
		return nil, fmt.Errorf("%w: %w", planner.ErrFrame, err)
	}
	return payload, err
}

// writeFrame writes a frame begun by lengthprefix.Begin.
func writeFrame(conn net.Conn, frame []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write then does
	if _, err := conn.Write(lengthprefix.Finish(frame)); err != nil {
		return fmt.Errorf("sending a frame: %w", err)
	}
	return nil
}

package configsync

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/lengthprefix"
)

// RelayName is the DNS name that a relay's certificate must contain. Nodes reject any other server.
const RelayName = "jasperpin-relay"

const (
	// handshakeTimeout bounds the time for the handshake and the hello together.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds one write. A stream whose peer accepts no data for this time is closed.
	writeTimeout = 4 * time.Second
	// reportInterval is the maximum time between two reports of a node. After reportTimeout without a frame from
	// the node, the relay closes the stream.
	reportInterval = 20 * time.Second
	reportTimeout  = time.Minute
)

// Kinds of frames other than configlog's messages. They are sent on the wire.
const (
	kindHello     = 'h' // a node's first frame
	kindReport    = 't' // a node's current version and failed changes
	kindRejection = 'x' // a relay's last frame: the reason why it does not serve the node
)

// protocolVersion is the version of the frame protocol. A relay rejects any other version.
const protocolVersion = 1

const (
	// maxNodeFrame bounds a node's frame, in bytes.
	maxNodeFrame = 2 << 10
	// maxReusedBuffer is the size of the largest read buffer that is reused for the next frame, in bytes.
	maxReusedBuffer = 16 << 10
)

var (
	// errFrame is returned for a malformed frame of the other end.
	errFrame = errors.New("the frame cannot be read")
	// errRejected is returned if a relay has rejected this node.
	errRejected = errors.New("relay rejected the node")
)

// hello is a node's first frame.
type hello struct {
	Protocol int    `json:"Protocol"`
	Name     string `json:"Name"` // the name of the node
	Zone     string `json:"Zone,omitempty"`
}

// NodeReport is a node's report to its relay.
type NodeReport struct {
	Version       uint64 `json:"Version"`           // the current version
	FailedChanges uint64 `json:"Refused,omitempty"` // the number of changes that the node could not fully apply
	LastFailure   string `json:"Why,omitempty"`     // the error of the last such change
}

// writeFrames writes encoded frames. It fails if the other end does not accept them within writeTimeout.
func writeFrames(conn net.Conn, frames []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection; then Write fails too
	if _, err := conn.Write(frames); err != nil {
		return fmt.Errorf("sending frames: %w", err)
	}
	return nil
}

// readFrame reads the payload of one frame, which must not be empty or exceed limit bytes. It may reuse buf.
func readFrame(r io.Reader, buf []byte, limit int) ([]byte, error) {
	payload, err := lengthprefix.Read(r, buf, limit)
	if err == nil && len(payload) == 0 {
		err = fmt.Errorf("%w: empty payload", errFrame)
	}
	return payload, err
}

// encodeNodeFrame encodes a node's frame with JSON content.
func encodeNodeFrame(kind byte, content any) ([]byte, error) {
	text, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encoding a frame to a relay: %w", err)
	}
	if len(text) >= maxNodeFrame {
		return nil, fmt.Errorf("encoding a frame to a relay: content has %d bytes, want fewer than %d", len(text), maxNodeFrame)
	}
	return lengthprefix.Finish(append(append(lengthprefix.Begin(nil), kind), text...)), nil
}

// encodeRejection encodes the last frame of a relay that does not serve the node.
func encodeRejection(reason error) []byte {
	return lengthprefix.Finish(append(append(lengthprefix.Begin(nil), kindRejection), reason.Error()...))
}

// encodeMessage encodes a relay's message as a frame.
func encodeMessage(m configlog.Message) []byte {
	return lengthprefix.Finish(configlog.AppendMessage(lengthprefix.Begin(nil), m))
}

// decodeMessage decodes the payload of a relay's frame. For a rejection the error wraps errRejected.
func decodeMessage(payload []byte) (configlog.Message, error) {
	if payload[0] == kindRejection {
		return nil, fmt.Errorf("%w: %.200q", errRejected, payload[1:])
	}
	return configlog.DecodeMessage(payload)
}

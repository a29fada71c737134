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

// RelayName is the DNS name that a relay's certificate must hold: nodes accept no other server.
const RelayName = "jasperpin-relay"

const (
	// handshakeTimeout bounds the handshake and the hello together.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds one write: an end that takes nothing for so long is given up.
	writeTimeout = 4 * time.Second
	// reportInterval is the most time between two reports of a node, and reportTimeout the silence after
	// which the relay closes its stream.
	reportInterval = 20 * time.Second
	reportTimeout  = time.Minute
)

// Kinds of frames other than configlog's messages. They cross the wire.
const (
	kindHello     = 'h' // a node's first frame
	kindReport    = 't' // what a node has in force
	kindRejection = 'x' // a relay's last frame: why it does not serve the node
)

// protocolVersion is that of the frames. A relay rejects any other.
const protocolVersion = 1

const (
	// maxNodeFrame bounds a node's frame, in bytes.
	maxNodeFrame = 2 << 10
	// maxKeptBuffer is the largest read buffer that is kept for the next frame.
	maxKeptBuffer = 16 << 10
)

var (
	// errFrame says that a frame of the other end is malformed.
	errFrame = errors.New("the frame cannot be read")
	// errRejected says that a relay does not serve this node.
	errRejected = errors.New("the relay rejects the node")
)

// hello is a node's first frame.
type hello struct {
	Protocol int    `json:"Protocol"`
	Name     string `json:"Name"` // of the node
	Zone     string `json:"Zone,omitempty"`
}

// NodeReport is a node's report to its relay.
type NodeReport struct {
	Version         uint64 `json:"Version"`           // in force
	RejectedChanges uint64 `json:"Refused,omitempty"` // the number of changes that could not be put in force whole
	LastRejection   string `json:"Why,omitempty"`     // the error of the last of them
}

// writeFrames writes encoded frames, and fails where the other end does not take them in writeTimeout.
func writeFrames(conn net.Conn, frames []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on a closed connection the write fails as well
	if _, err := conn.Write(frames); err != nil {
		return fmt.Errorf("sending frames: %w", err)
	}
	return nil
}

// readFrame reads the payload of one frame, of up to limit bytes and not empty.
func readFrame(r io.Reader, buf []byte, limit int) ([]byte, error) {
	payload, err := lengthprefix.Read(r, buf, limit)
	if err == nil && len(payload) == 0 {
		err = fmt.Errorf("%w: it is empty", errFrame)
	}
	return payload, err
}

// encodeNodeFrame encodes a node's frame, whose content is JSON.
func encodeNodeFrame(kind byte, content any) ([]byte, error) {
	text, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encoding a frame to a relay: %w", err)
	}
	if len(text) >= maxNodeFrame {
		return nil, fmt.Errorf("encoding a frame to a relay: it has %d bytes, want fewer than %d", len(text), maxNodeFrame)
	}
	return lengthprefix.Finish(append(append(lengthprefix.Begin(nil), kind), text...)), nil
}

// encodeRejection encodes a relay's last frame.
func encodeRejection(reason error) []byte {
	return lengthprefix.Finish(append(append(lengthprefix.Begin(nil), kindRejection), reason.Error()...))
}

// encodeMessage encodes a relay's message as a frame.
func encodeMessage(m configlog.Message) []byte {
	return lengthprefix.Finish(configlog.AppendMessage(lengthprefix.Begin(nil), m))
}

// decodeMessage decodes the payload of a relay's frame.
func decodeMessage(payload []byte) (configlog.Message, error) {
	if payload[0] == kindRejection {
		return nil, fmt.Errorf("%w: %.200q", errRejected, payload[1:])
	}
	return configlog.DecodeMessage(payload)
}

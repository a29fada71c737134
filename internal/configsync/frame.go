// Package configsync carries the configuration from the group's voters to all nodes: a Relay follows
// the voters and serves streams, a Source is a node's end of one, with a verified copy on its disk.
// Which changes there are, and whom a node follows, package conf decides.
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

// RelayName is the DNS name that a relay's certificate must hold: nodes take no other certificate
// of their authority for a relay's.
const RelayName = "jasperpin-relay"

const (
	// shakeWithin bounds dialling, the handshake and the first words, each.
	shakeWithin = 2 * time.Second
	// writeWithin bounds how long the other end may take nothing of a frame.
	writeWithin = 4 * time.Second
	// tellEvery is between two words of a node that has no news, and quietFor how long it may say
	// nothing.
	tellEvery = 20 * time.Second
	quietFor  = time.Minute
)

// A frame is its payload's length in four bytes, and the payload, whose first byte says what it is. Beside
// conf's words - a relay's offers, changes and pieces, a node's resumption - a node says hello first of all,
// and what became of what it was sent; a refusal is a relay's last word.
const (
	sayHello   = 'h'
	sayTold    = 't'
	sayRefusal = 'x'
)

// protocol is that of the frames; another is refused.
const protocol = 1

var (
	// errFrame says that the other end's words cannot be read.
	errFrame = errors.New("the frame cannot be read")
	// errRefused says that a relay serves this node no more.
	errRefused = errors.New("the relay refuses")
)

const (
	// maxSaid bounds what a node says, in bytes.
	maxSaid = 2 << 10
	// keepBuffer is the largest buffer that stays for the next frame.
	keepBuffer = 16 << 10
)

// send writes frames, and fails where the other end doesn't take them in
// writeWithin.
func send(c net.Conn, frames []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := c.Write(frames); err != nil {
		return fmt.Errorf("sending frames: %w", err)
	}
	return nil
}

// read reads one frame's payload, which says what it is.
func read(r io.Reader, buf []byte, most int) ([]byte, error) {
	payload, err := lengthprefix.Read(r, buf, most)
	if err == nil && len(payload) == 0 {
		err = fmt.Errorf("%w: it is empty", errFrame)
	}
	return payload, err
}

// hello is a node's first word.
type hello struct {
	Protocol int    `json:"Protocol"`
	Name     string `json:"Name"` // of the node
	Zone     string `json:"Zone,omitempty"`
}

// Told is what a node says of itself: what it has in force, and of what it refused.
type Told struct {
	Version uint64 `json:"Version"`
	Refused uint64 `json:"Refused,omitempty"` // changes, of which it has refused records
	Why     string `json:"Why,omitempty"`     // it refused the last of them
}

// said makes a frame of what a node says in JSON.
func said(what byte, v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("a word to a relay: %w", err)
	}
	if len(text) >= maxSaid {
		return nil, fmt.Errorf("a word to a relay: it has %d bytes, fewer than %d are wanted", len(text), maxSaid)
	}
	return lengthprefix.End(append(append(lengthprefix.New(nil), what), text...)), nil
}

// parseWord reads what a relay says.
func parseWord(payload []byte) (configlog.Message, error) {
	if payload[0] == sayRefusal {
		return nil, fmt.Errorf("%w: %.200q", errRefused, payload[1:])
	}
	return configlog.DecodeMessage(payload)
}

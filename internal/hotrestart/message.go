package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"

	"jasperpin/internal/core"
	"jasperpin/internal/limit"
	"jasperpin/internal/requestid"
)

const (
	// protocolVersion is sent in each message. Messages of other versions are decoded as far as
	// their fields are the same; any field may be missing.
	protocolVersion = 1
	// maxMessageBytes is the maximum size of a message: enough for the snapshot of about 16,000
	// servers of 500 bytes each, and a limit on the data that a faulty peer can make this process
	// read.
	maxMessageBytes = 8 << 20
	// maxProcesses is the maximum number of processes of a node. Each gets a share of the memory
	// and descriptors; with more processes the shares would be too small to serve.
	maxProcesses = 8
)

// errInvalidMessage means that a line is not a message of another process of this node.
var errInvalidMessage = errors.New("invalid hot restart message")

// MaintenanceCall is an operator's call that takes a server out of rotation or puts it back.
type MaintenanceCall struct {
	Pool   string `json:"Pool"` // "" for the only pool of a node with the platform's configuration
	Server string `json:"Server"`
	Out    bool   `json:"Out"` // take the server out of rotation; false puts it back
}

// message is sent between two processes of a node, one per line. Each contains the version and one
// other field, except the snapshot, which answers a hello with several fields.
type message struct {
	Version int `json:"Version"`
	// Hello is the first message of a new process.
	Hello bool `json:"Hello,omitempty"`
	// ProcessCount is the number of processes from the sender on, in the direction away from the
	// receiver; 0 if the message does not contain it.
	ProcessCount int `json:"Of,omitempty"`
	// Drain is set if the sender drains.
	Drain *Drain `json:"Drain,omitempty"`
	// Snapshots contains the state of each pool, in a snapshot.
	Snapshots map[string]core.Snapshot `json:"Pools,omitempty"`
	// Call is a maintenance call that another process received.
	Call *MaintenanceCall `json:"Call,omitempty"`
	// RequestIDs contains the request IDs opened and closed, by pool.
	RequestIDs map[string]requestid.Update `json:"Names,omitempty"`
	// ListenAddresses contains the addresses of the listening sockets sent with a snapshot.
	ListenAddresses []string `json:"Listen,omitempty"`
}

// Drain is sent by a process that accepts no more clients.
type Drain struct {
	Held limit.ConnectionCounts `json:"Held"` // the connections that are still open
}

// encode encodes a message as one line.
func encode(m message) ([]byte, error) {
	m.Version = protocolVersion
	line, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encoding a hot restart message: %w", err)
	}
	if len(line) >= maxMessageBytes {
		return nil, fmt.Errorf("encoding a hot restart message: %d bytes, the limit is %d", len(line), maxMessageBytes)
	}
	return append(line, '\n'), nil
}

// decode decodes a line. The values have the right types but may be out of range, as the sender may
// be of another version. Errors wrap errInvalidMessage.
func decode(line []byte) (message, error) {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return message{}, fmt.Errorf("%w: %w", errInvalidMessage, err)
	}
	if m.Version < 1 || m.ProcessCount < 0 || m.ProcessCount > maxProcesses {
		return message{}, fmt.Errorf("%w: version %d, %d processes", errInvalidMessage, m.Version, m.ProcessCount)
	}
	if m.Drain != nil && (m.Drain.Held.Clients < 0 || m.Drain.Held.Servers < 0) {
		return message{}, fmt.Errorf("%w: draining with %d client and %d server connections", errInvalidMessage, m.Drain.Held.Clients, m.Drain.Held.Servers)
	}
	return m, nil
}

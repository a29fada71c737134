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
	// protocolVersion goes with each message. Messages of other versions are read as far as their
	// fields are the same; any field may be missing.
	protocolVersion = 1
	// maxMessageBytes bounds a message: room for the snapshot of some 16,000 servers of 500 bytes
	// each, and an end to what a broken peer can make this process read.
	maxMessageBytes = 8 << 20
	// maxProcesses bounds the number of processes of a node, since each gets its part of memory and
	// descriptors: more would have too little of either to serve.
	maxProcesses = 8
)

// errInvalidMessage marks a line that is not a message of another process of this node.
var errInvalidMessage = errors.New("invalid hot restart message")

// MaintenanceCall is an operator's call that takes a server out of rotation or puts it back.
type MaintenanceCall struct {
	Pool   string `json:"Pool"` // "" for the only pool of a node by the platform's configuration
	Server string `json:"Server"`
	Out    bool   `json:"Out"` // out of rotation; false puts the server back
}

// message is sent between two processes of a node, one a line. Each carries the version and one
// field, but for the snapshot, which answers a hello with several.
type message struct {
	Version int `json:"Version"`
	// Hello is the first message of a new process.
	Hello bool `json:"Hello,omitempty"`
	// ProcessCount is the number of processes from the sender on, away from the receiver; 0 if the
	// message does not say.
	ProcessCount int `json:"Of,omitempty"`
	// Drain says that the sender drains.
	Drain *Drain `json:"Drain,omitempty"`
	// Snapshots are the state of each pool, in a snapshot.
	Snapshots map[string]core.Snapshot `json:"Pools,omitempty"`
	// Call is an operator's call that another process received.
	Call *MaintenanceCall `json:"Call,omitempty"`
	// RequestIDs are those opened and closed, by pool.
	RequestIDs map[string]requestid.Update `json:"Names,omitempty"`
	// ListenAddresses are those of the listening sockets that go along with a snapshot.
	ListenAddresses []string `json:"Listen,omitempty"`
}

// Drain is sent by a process that accepts no more clients.
type Drain struct {
	Held limit.ConnectionCounts `json:"Held"` // the connections that it still has
}

// encode returns a message as one line.
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

// decode reads a line. The values have the right types and need not make sense: the sender may be
// of another version. Errors are errInvalidMessage.
func decode(line []byte) (message, error) {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return message{}, fmt.Errorf("%w: %w", errInvalidMessage, err)
	}
	if m.Version < 1 || m.ProcessCount < 0 || m.ProcessCount > maxProcesses {
		return message{}, fmt.Errorf("%w: version %d, %d processes", errInvalidMessage, m.Version, m.ProcessCount)
	}
	if m.Drain != nil && (m.Drain.Held.Clients < 0 || m.Drain.Held.Servers < 0) {
		return message{}, fmt.Errorf("%w: draining with %d clients and %d servers", errInvalidMessage, m.Drain.Held.Clients, m.Drain.Held.Servers)
	}
	return m, nil
}

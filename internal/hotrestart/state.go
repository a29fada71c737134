// Package hotrestart lets the processes of one node know each other while a new version
// takes over from the one that runs: what the first knows goes to the second, calls about
// servers go both ways, and each learns how many share the machine.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"

	"jasperpin/internal/core"
	"jasperpin/internal/limit"
	"jasperpin/internal/requestid"
)

// version is of the messages. Another version's are read as far as their fields are the
// same: all of them may be missing.
const version = 1

// maxMessage bounds a message, in bytes: a server takes some 500.
const maxMessage = 8 << 20

// MaintenanceCall is an operator's call about a server.
type MaintenanceCall struct {
	Pool   string `json:"Pool"`
	Server string `json:"Server"`
	Out    bool   `json:"Out"`
}

// message is what goes between two processes, one a line. Just one of its parts is there,
// but for the answer to a hello.
type message struct {
	Version int                         `json:"Version"`
	Hello   bool                        `json:"Hello,omitempty"` // the successor's first
	Of      int                         `json:"Of,omitempty"`    // how many processes there are
	Drain   *Drain                      `json:"Drain,omitempty"` // the sender drains
	Pools   map[string]core.Snapshot    `json:"Pools,omitempty"` // what is known, after a hello
	Call    *MaintenanceCall            `json:"Call,omitempty"`
	Names   map[string]requestid.Update `json:"Names,omitempty"`  // by pool
	Listen  []string                    `json:"Listen,omitempty"` // addresses whose listeners come along
}

// Drain is told by a process that takes no client any more.
type Drain struct {
	Held limit.Held `json:"Held"` // what it still has
}

var errMessage = errors.New("not a message of a process of this node")

// encode gives a message as one line.
func encode(m message) ([]byte, error) {
	m.Version = version
	b, err := json.Marshal(m)
	if err == nil && len(b) >= maxMessage {
		err = fmt.Errorf("a message of %d bytes", len(b))
	}
	if err != nil {
		return nil, fmt.Errorf("handing over: %w", err)
	}
	return append(b, '\n'), nil
}

// decode reads a line. What it holds has the right types and need not make sense.
func decode(line []byte) (message, error) {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return message{}, fmt.Errorf("%w: %w", errMessage, err)
	}
	if m.Version < 1 || m.Of < 0 || m.Of > maxProcesses || m.Drain != nil && (m.Drain.Held.Clients < 0 || m.Drain.Held.Servers < 0) {
		return message{}, fmt.Errorf("%w: version %d, %d processes", errMessage, m.Version, m.Of)
	}
	return m, nil
}

// maxProcesses bounds how many processes a node may have at a time.
const maxProcesses = 8

// Processes is what a process knows of those with which it has its machine.
type Processes struct {
	Of       int        // how many processes there are
	Waits    bool       // one before this has not begun to drain: clients are still its
	Draining bool       // the only other one drains, and
	Held     limit.Held // still has this
}

// kin is the processes of a node as one of them sees it. Each has at most one before it
// and one after it, and hears from these of all that lie beyond.
type kin struct {
	before, after int
	drain         *Drain // of the one before
}

// share is what follows for this process.
func (k kin) share() Processes {
	s := Processes{Of: min(1+k.before+k.after, maxProcesses), Waits: k.before > 0 && k.drain == nil}
	if k.before == 1 && k.after == 0 && k.drain != nil {
		s.Draining, s.Held = true, k.drain.Held
	}
	return s
}

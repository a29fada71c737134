package consensus

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"jasperpin/internal/consensus/fsm"
)

// maxSnapshot bounds what a snapshot is read into, in bytes: a full table and a full configuration,
// in base64, are some 160 MiB.
const maxSnapshot = 256 << 20

// entry is a command as it stands in the log.
type entry struct {
	Term uint64 `json:"Term"` // in which its time was measured
	fsm.Command
}

// machine feeds the log's entries to the state.
type machine struct {
	mu      sync.Mutex
	state   *fsm.State
	changed chan struct{} // closed with the next change
}

func newMachine() *machine { return &machine{state: fsm.New(), changed: make(chan struct{})} }

// Apply carries out one entry of the log, for raft.
func (m *machine) Apply(l *raft.Log) any {
	var e entry
	if err := json.Unmarshal(l.Data, &e); err != nil {
		e = entry{} // the same on every voter: a command without an operation
	}
	if e.Term != l.Term {
		e.Elapsed = 0 // another leader's log: its time has been counted there
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	was, version := m.state.Rev(), m.state.Conf().Version()
	r := m.state.Apply(e.Command)
	if m.state.Rev() != was || m.state.Conf().Version() != version {
		m.tell()
	}
	return r
}

// tell wakes those that watch. Called under the lock.
func (m *machine) tell() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot gives the state as it is now, for raft.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.state.Snapshot()
	return snapshot(text), err
}

// Restore replaces the state by a snapshot's, for raft.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxSnapshot))
	if err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	s, err := fsm.Restore(text)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.tell()
	return nil
}

// snapshot is a state's bytes on their way to the disk.
type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return sink.Close()
}

func (snapshot) Release() {}

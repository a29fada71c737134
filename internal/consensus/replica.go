package consensus

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"jasperpin/internal/consensus/fsm"
)

// maxSnapshotBytes bounds the snapshot that a replica reads. A state with the maximum of entries and a
// configuration of the maximum size takes about 160 MiB, in base64.
const maxSnapshotBytes = 256 << 20

// replica is this voter's copy of the state. It implements raft.FSM: raft applies the committed log entries to it.
type replica struct {
	mu      sync.Mutex
	state   *fsm.State
	changed chan struct{} // closed and replaced at each change
}

func newReplica() *replica { return &replica{state: fsm.New(), changed: make(chan struct{})} }

// read calls f with the state, which f must not change or retain. It returns a channel that is closed at the next
// change.
func (r *replica) read(f func(*fsm.State)) (changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
	return r.changed
}

// Apply implements raft.FSM. An entry that cannot be decoded is applied as a command without an operation, in the
// same way on every voter.
func (r *replica) Apply(l *raft.Log) any {
	var entry logEntry
	if err := json.Unmarshal(l.Data, &entry); err != nil {
		entry = logEntry{}
	}
	if entry.Term != l.Term {
		entry.Elapsed = 0 // measured in an earlier term: counting it here might count the time twice
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	revision, version := r.state.Revision(), r.state.Config().Version()
	result := r.state.Apply(entry.Command)
	if r.state.Revision() != revision || r.state.Config().Version() != version {
		r.notifyLocked()
	}
	return result
}

// notifyLocked notifies the readers that wait for a change. The caller must hold mu.
func (r *replica) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// encode returns the encoded state.
func (r *replica) encode() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Snapshot()
}

// Snapshot implements raft.FSM.
func (r *replica) Snapshot() (raft.FSMSnapshot, error) {
	text, err := r.encode()
	return fsmSnapshot(text), err
}

// Restore implements raft.FSM.
func (r *replica) Restore(source io.ReadCloser) error {
	defer source.Close()
	text, err := io.ReadAll(io.LimitReader(source, maxSnapshotBytes))
	if err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	s, err := fsm.Restore(text)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	r.notifyLocked()
	return nil
}

// fsmSnapshot is an encoded state that raft writes to disk.
type fsmSnapshot []byte

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel() // the error of the write is returned
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (fsmSnapshot) Release() {}

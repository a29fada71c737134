package fsm

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"jasperpin/internal/configlog"
)

// ErrSnapshot is wrapped by the errors of Restore and RestoreBackup for a snapshot that is damaged, incomplete or
// written by another program.
var ErrSnapshot = errors.New("invalid snapshot")

// Formats of snapshots; any other is rejected. A state with a configuration has its own format, so that a
// version of this program without configurations rejects the snapshot instead of dropping the configuration.
const (
	formatPlain      = 1
	formatConfigured = 2
)

// revisionGap is what RestoreBackup adds to the revision, and so to the fencing tokens granted later. A cluster
// makes fewer changes between a backup and the restore, so no token is granted twice.
const revisionGap = 1 << 32

// restoreLimit is the lowest revision that RestoreBackup rejects: a further increase could overflow.
const restoreLimit = 1 << 63

// snapshot is the stored form of a state.
type snapshot struct {
	Format    int                `json:"Format"`
	Now       time.Duration      `json:"Now"`
	Revision  uint64             `json:"Rev"`
	Compacted uint64             `json:"Forgot"`
	Leases    []Lease            `json:"Leases"`
	Entries   []Entry            `json:"Entries"`
	Sessions  map[string]session `json:"Sessions"`
	Events    []Event            `json:"Events"`
	Config    []byte             `json:"Conf,omitempty"` // the configuration, encoded by configlog's Snapshot.Encode
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{
		Format:    formatPlain,
		Now:       s.now,
		Revision:  s.revision,
		Compacted: s.compacted,
		Leases:    s.Leases(""),
		Entries:   s.Entries(""),
		Sessions:  s.sessions,
		Events:    s.events,
	}
	if s.config.Version() > 0 {
		snap.Format, snap.Config = formatConfigured, s.config.Snapshot().Encode()
	}
	text, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encoding a snapshot: %w", err)
	}
	return text, nil
}

// Restore decodes a state that Snapshot encoded. The error wraps ErrSnapshot if the snapshot is damaged or
// exceeds the bounds.
func Restore(text []byte) (*State, error) {
	var snap snapshot
	if err := json.Unmarshal(text, &snap); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if err := snap.checkFormat(); err != nil {
		return nil, err
	}
	state := New()
	if snap.Format == formatConfigured {
		config, err := configlog.Restore(snap.Config)
		if err != nil {
			return nil, fmt.Errorf("%w: decoding the configuration: %w", ErrSnapshot, err)
		}
		state.config = config
	}
	state.now, state.revision, state.compacted, state.events = snap.Now, snap.Revision, snap.Compacted, snap.Events
	if err := snap.checkBounds(); err != nil {
		return nil, err
	}
	if err := snap.checkEvents(); err != nil {
		return nil, err
	}
	if err := state.restoreLeases(snap.Leases); err != nil {
		return nil, err
	}
	if err := state.restoreEntries(snap.Entries); err != nil {
		return nil, err
	}
	maps.Copy(state.sessions, snap.Sessions)
	return state, nil
}

func (snap *snapshot) checkFormat() error {
	known := snap.Format == formatPlain || snap.Format == formatConfigured
	if !known || (snap.Format == formatConfigured) != (len(snap.Config) > 0) {
		return fmt.Errorf("%w: format %d, want %d, or %d with a configuration", ErrSnapshot, snap.Format, formatPlain, formatConfigured)
	}
	return nil
}

func (snap *snapshot) checkBounds() error {
	for _, bound := range []struct {
		elements     string
		count, limit int
	}{
		{"leases", len(snap.Leases), MaxLeases},
		{"entries", len(snap.Entries), MaxKeys},
		{"sessions", len(snap.Sessions), MaxSessions},
		{"events", len(snap.Events), maxEvents},
	} {
		if bound.count > bound.limit {
			return fmt.Errorf("%w: %d %s, at most %d allowed", ErrSnapshot, bound.count, bound.elements, bound.limit)
		}
	}
	if snap.Now < 0 {
		return fmt.Errorf("%w: negative clock %v", ErrSnapshot, snap.Now)
	}
	return nil
}

// checkEvents checks that the events have ascending revisions, all after the compacted revision.
func (snap *snapshot) checkEvents() error {
	last := snap.Compacted
	for _, e := range snap.Events {
		if e.Revision <= last || e.Revision > snap.Revision {
			return fmt.Errorf("%w: event with revision %d after revision %d in a state at revision %d", ErrSnapshot, e.Revision, last, snap.Revision)
		}
		last = e.Revision
	}
	return nil
}

func (s *State) restoreLeases(leases []Lease) error {
	for _, l := range leases {
		if _, twice := s.leases[l.Name]; twice || l.Name == "" || l.Holder == "" || l.FencingToken > s.revision {
			return fmt.Errorf("%w: malformed or duplicate lease %q", ErrSnapshot, l.Name)
		}
		s.leases[l.Name] = l
	}
	return nil
}

func (s *State) restoreEntries(entries []Entry) error {
	for _, e := range entries {
		if _, twice := s.entries[e.Key]; twice || e.Key == "" || e.Revision == 0 || e.Revision > s.revision {
			return fmt.Errorf("%w: malformed or duplicate entry %q", ErrSnapshot, e.Key)
		}
		s.entries[e.Key] = e
		s.entryBytes += e.size()
	}
	return nil
}

// RestoreBackup decodes the state of a backup for a cluster that may have made changes since the backup was
// taken. Entries and sessions are those of the backup. Leases are dropped, since they may have other holders
// when the backup is restored; every holder acquires its lease again under a greater token. The revision grows by revisionGap, and
// all watchers must read the whole state.
//
// The configuration is that of the backup, at a version greater than any that a node may have. If the backup has
// no configuration, the restored state has the cluster's current one.
func RestoreBackup(backup []byte, current *configlog.State) (*State, error) {
	state, err := Restore(backup)
	if err != nil {
		return nil, err
	}
	if state.revision >= restoreLimit {
		return nil, fmt.Errorf("%w: restored too many times: revision %d is too large", ErrSnapshot, state.revision)
	}
	state.revision += revisionGap
	state.compacted, state.events = state.revision, nil
	clear(state.leases)
	if state.config.Version() == 0 {
		if state.config, err = configlog.Restore(current.Snapshot().Encode()); err != nil {
			return nil, fmt.Errorf("copying the current configuration: %w", err)
		}
	}
	if state.config.Version() > 0 {
		if err := state.config.BumpVersion(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
	}
	return state, nil
}

package fsm

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"jasperpin/internal/configlog"
)

// ErrSnapshot says that a snapshot is not one of this program's, or not whole.
var ErrSnapshot = errors.New("the snapshot cannot be used")

// Formats of snapshots; one of another is refused. Those with a configuration have one of their own,
// so that no older program reads them and leaves it out.
const (
	plain      = 1
	configured = 2
)

// snapshot is a state as it is kept and sent.
type snapshot struct {
	Format   int                `json:"Format"`
	Now      time.Duration      `json:"Now"`
	Rev      uint64             `json:"Rev"`
	Forgot   uint64             `json:"Forgot"`
	Leases   []Lease            `json:"Leases"`
	Entries  []Entry            `json:"Entries"`
	Sessions map[string]session `json:"Sessions"`
	Events   []Event            `json:"Events"`
	Conf     []byte             `json:"Conf,omitempty"` // the configuration, as conf.Snapshot encodes it
}

// Snapshot gives the state as bytes, the same of the same state.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{plain, s.now, s.rev, s.forgot, s.Leases(""), s.Entries(""), s.sessions, s.events, nil}
	if s.conf.Version() > 0 {
		snap.Format, snap.Conf = configured, s.conf.Snapshot().Encode()
	}
	b, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("making a snapshot: %w", err)
	}
	return b, nil
}

// Restore makes the state that a snapshot holds, whole, or says what is wrong with it.
func Restore(b []byte) (*State, error) {
	var snap snapshot
	if err := json.Unmarshal(b, &snap); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if snap.Format != plain && snap.Format != configured || (snap.Format == configured) != (len(snap.Conf) > 0) {
		return nil, fmt.Errorf("%w: its format is %d, want %d, or %d with a configuration", ErrSnapshot, snap.Format, plain, configured)
	}
	s := New()
	if snap.Format == configured {
		c, err := configlog.Restore(snap.Conf)
		if err != nil {
			return nil, fmt.Errorf("%w: its configuration: %w", ErrSnapshot, err)
		}
		s.conf = c
	}
	s.now, s.rev, s.forgot, s.events = snap.Now, snap.Rev, snap.Forgot, snap.Events
	if s.now < 0 || len(snap.Leases) > MaxLeases || len(snap.Entries) > MaxKeys || len(snap.Sessions) > MaxSessions || len(s.events) > maxEvents {
		return nil, fmt.Errorf("%w: it is beyond the bounds", ErrSnapshot)
	}
	last := s.forgot
	for _, e := range s.events {
		if e.Rev <= last || e.Rev > s.rev {
			return nil, fmt.Errorf("%w: change %d stands behind %d of %d", ErrSnapshot, e.Rev, last, s.rev)
		}
		last = e.Rev
	}
	for _, l := range snap.Leases {
		if _, twice := s.leases[l.Name]; twice || l.Name == "" || l.Holder == "" || l.Fence > s.rev {
			return nil, fmt.Errorf("%w: lease %q", ErrSnapshot, l.Name)
		}
		s.leases[l.Name] = l
	}
	for _, e := range snap.Entries {
		if _, twice := s.entries[e.Key]; twice || e.Key == "" || e.Rev == 0 || e.Rev > s.rev {
			return nil, fmt.Errorf("%w: entry %q", ErrSnapshot, e.Key)
		}
		s.entries[e.Key] = e
		s.bytes += len(e.Key) + len(e.Value)
	}
	for name, x := range snap.Sessions {
		s.sessions[name] = x
	}
	return s, nil
}

// revived is how far a revived state's revision lies beyond its snapshot's: no group has
// come further since, so that no fencing number is given twice.
const revived = 1 << 32

// Revive makes the state of a back-up go on, in a group that may have come further since.
// Entries and sessions are as they were then. Leases are not: whoever held one then may not
// have it now, and takes it anew under a greater number. Who watches is to read all anew. The
// configuration is as it was then, at a version beyond any that a node may have; a back-up from before
// there was one leaves the group's own, which is now at hand, and the state takes that over.
func Revive(b []byte, now *configlog.State) (*State, error) {
	s, err := Restore(b)
	if err != nil {
		return nil, err
	}
	if s.rev >= 1<<63 {
		return nil, fmt.Errorf("%w: it has been revived too often", ErrSnapshot)
	}
	s.rev += revived
	s.forgot, s.events = s.rev, nil
	clear(s.leases)
	if s.conf.Version() == 0 {
		if s.conf, err = configlog.Restore(now.Snapshot().Encode()); err != nil {
			return nil, err
		}
	}
	if s.conf.Version() > 0 {
		if err := s.conf.Revive(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
	}
	return s, nil
}

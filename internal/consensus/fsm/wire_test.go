package fsm

import (
	"testing"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/golden"
)

// TestEncodingsAreUnchanged compares the JSON of commands, results and snapshots with golden files from an
// earlier version.
func TestEncodingsAreUnchanged(t *testing.T) {
	t.Parallel()
	golden.JSON[Command](t, "command")
	golden.JSON[Result](t, "result")
	golden.JSON[Lease](t, "lease")
	golden.JSON[Entry](t, "entry")
	golden.JSON[Event](t, "event")
	golden.JSON[snapshot](t, "snapshot-form")
}

// TestSnapshotsOfEarlierVersions decodes snapshots that an earlier version wrote, in both formats, with leases,
// entries, events, sessions and a configuration. Encoding them again must give the same bytes.
func TestSnapshotsOfEarlierVersions(t *testing.T) {
	t.Parallel()
	for _, configured := range []bool{false, true} {
		name := "snapshot-plain.json"
		if configured {
			name = "snapshot-configured.json"
		}
		if golden.Updating() {
			text, err := populated(t, configured).Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			golden.Bytes(t, name, text)
		}
		stored := golden.Read(t, name)
		s, err := Restore(stored)
		if err != nil {
			t.Fatalf("restoring the golden snapshot %s: %v", name, err)
		}
		text, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		golden.Bytes(t, name, text)
		fresh, err := populated(t, configured).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		golden.Bytes(t, name, fresh)
	}
}

// populated returns a state with an element of every kind that a snapshot can contain.
func populated(t *testing.T, configured bool) *State {
	t.Helper()
	state := New()
	apply := func(c Command) {
		t.Helper()
		c.Elapsed = time.Second
		if err := state.Apply(c).Err(); err != nil {
			t.Fatal(err)
		}
	}
	apply(Command{Op: Acquire, Name: "lease-1", Holder: "holder-1", TTL: time.Minute, Session: "session-1", Number: 1})
	apply(Command{Op: Acquire, Name: "lease-2", Holder: "holder-2", TTL: time.Hour, Session: "session-2", Number: 4})
	apply(Command{Op: Put, Name: "key-1", Value: []byte("value-1")})
	apply(Command{Op: Put, Name: "key-2", Value: []byte{0, 255, 10}, Session: "session-1", Number: 2})
	apply(Command{Op: Put, Name: "key-3", Value: []byte("gone")})
	apply(Command{Op: Delete, Name: "key-3", IfRevision: state.Revision()})
	if configured {
		change := configlog.Change{Author: "author", Note: "note", UnixMillis: 1764720000000, Records: []configlog.Record{
			{Key: configlog.PoolKey("pool-1"), Value: []byte(`{"discovery":"127.0.0.1:1"}`)},
			{Key: configlog.ServiceKey("service-1"), Value: []byte(`{}`)},
		}}
		apply(Command{Op: ProposeConfig, Session: "session-3", Number: 1, Change: configlog.AppendChange(nil, change)})
	}
	return state
}

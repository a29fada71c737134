package configlog

import (
	"reflect"
	"testing"
	"time"

	"jasperpin/internal/golden"
)

// TestEncodingsAreUnchanged compares the encodings of changes, messages and snapshots with golden files that an earlier
// version wrote, and decodes these files.
func TestEncodingsAreUnchanged(t *testing.T) {
	t.Parallel()
	change := Change{Version: 3, BaseVersion: 2, Reverts: 1, UnixMillis: -5, Author: "author", Note: "note", Stage: Stage{Zone: "zone"}, Digest: Digest{1, 2, 3},
		Records: []Record{{Key: PoolKey("pool-1"), Value: []byte("value")}, {Key: ServiceKey("service-1")}}}
	golden.Bytes(t, "change", AppendChange(nil, change))
	if got, err := DecodeChange(golden.Read(t, "change")); err != nil || !reflect.DeepEqual(got, change) {
		t.Errorf("the golden change is decoded as %+v, error %v; want the encoded change", got, err)
	}
	golden.Bytes(t, "entry", AppendEntry(nil, change))
	for name, message := range map[string]Message{
		"offer":   Heartbeat{Version: 9, Digest: Digest{4}, Age: 3 * time.Second, SnapshotQueued: true},
		"changes": Changes{change},
		"piece":   populatedState(t).Snapshot().Chunk(SnapshotChunk{}),
	} {
		golden.Bytes(t, name, AppendMessage(nil, message))
		if got, err := DecodeMessage(golden.Read(t, name)); err != nil || !reflect.DeepEqual(got, message) {
			t.Errorf("golden message %s is decoded as %+v, error %v; want the encoded message", name, got, err)
		}
	}
	resume := Resume{Version: 8, Digest: Digest{5}, WithLog: true}
	golden.Bytes(t, "resume", AppendResume(nil, resume))
	if got, err := DecodeResume(golden.Read(t, "resume")); err != nil || got != resume {
		t.Errorf("the golden Resume is decoded as %+v, error %v; want the encoded Resume", got, err)
	}
	s := populatedState(t)
	golden.Bytes(t, "snapshot", s.Snapshot().Encode())
	if got, err := Restore(golden.Read(t, "snapshot")); err != nil || got.Digest() != s.Digest() {
		t.Errorf("the golden snapshot is decoded as %+v, error %v; want the encoded state", got, err)
	}
}

func populatedState(t *testing.T) *State {
	t.Helper()
	s := New()
	for _, name := range []string{"a", "b", "c"} {
		if _, err := s.Propose(Change{Author: "author", UnixMillis: 17, Records: []Record{
			{Key: PoolKey(name), Value: []byte(`{"name":"` + name + `"}`)}, {Key: ServiceKey(name), Value: []byte(`{}`)}, {Key: RouteKey(name, "route"), Value: []byte(`{}`)}}}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

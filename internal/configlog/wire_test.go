package configlog

import (
	"reflect"
	"testing"
	"time"

	"jasperpin/internal/golden"
)

// TestEncodings holds the encodings of changes, words and snapshots to those of an earlier version, and
// reads these.
func TestEncodings(t *testing.T) {
	t.Parallel()
	change := Change{Version: 3, Base: 2, Reverts: 1, At: -5, Author: "author", Note: "note", Stage: Stage{Zone: "zone"}, Digest: Digest{1, 2, 3},
		Records: []Record{{Key: PoolKey("pool-1"), Value: []byte("value")}, {Key: ServiceKey("service-1")}}}
	golden.Bytes(t, "change", AppendChange(nil, change))
	if got, err := DecodeChange(golden.Read(t, "change")); err != nil || !reflect.DeepEqual(got, change) {
		t.Errorf("a change is read as %+v, %v", got, err)
	}
	golden.Bytes(t, "entry", AppendEntry(nil, change))
	for name, w := range map[string]Word{
		"offer":   Offer{Version: 9, Digest: Digest{4}, Age: 3 * time.Second, Busy: true},
		"changes": Changes{change},
		"piece":   populatedState(t).Snapshot().Piece(Piece{}),
	} {
		golden.Bytes(t, name, AppendWord(nil, w))
		if got, err := DecodeWord(golden.Read(t, name)); err != nil || !reflect.DeepEqual(got, w) {
			t.Errorf("%s is read as %+v, %v", name, got, err)
		}
	}
	resume := Resume{Version: 8, Digest: Digest{5}, Log: true}
	golden.Bytes(t, "resume", AppendResume(nil, resume))
	if got, err := DecodeResume(golden.Read(t, "resume")); err != nil || got != resume {
		t.Errorf("a resume is read as %+v, %v", got, err)
	}
	s := populatedState(t)
	golden.Bytes(t, "snapshot", s.Snapshot().Encode())
	if got, err := Restore(golden.Read(t, "snapshot")); err != nil || got.Digest() != s.Digest() {
		t.Errorf("a snapshot is read as %+v, %v", got, err)
	}
}

func populatedState(t *testing.T) *State {
	t.Helper()
	s := New()
	for _, name := range []string{"a", "b", "c"} {
		if _, err := s.Propose(Change{Author: "author", At: 17, Records: []Record{
			{Key: PoolKey(name), Value: []byte(`{"name":"` + name + `"}`)}, {Key: ServiceKey(name), Value: []byte(`{}`)}, {Key: RouteKey(name, "route"), Value: []byte(`{}`)}}}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

package gossip

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"jasperpin/internal/golden"
	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

// TestWireFormsAreUnchanged compares the JSON of messages and of members for operators, and members' names in
// memberlist, with golden files from an earlier version.
func TestWireFormsAreUnchanged(t *testing.T) {
	t.Parallel()
	golden.JSON[wireMessage](t, "word")
	golden.JSON[Member](t, "member")
	id := membership.ID{Identity: membership.Identity{Name: "node-1", DirectoryID: 7}, Incarnation: 9}
	record := membership.Record{ID: id, Seq: 3, Zone: "site-1", Weight: 1.5, State: membership.Serving, EndedUpTo: 8, Digest: 5}
	golden.Bytes(t, "record.json", encodeRecord(record, true))
	if m, err := decodeMessage(golden.Read(t, "record.json")); err != nil || !m.RequestRecord || !reflect.DeepEqual(m.record(), record) {
		t.Errorf("the golden record is decoded as %+v, error %v; want the encoded record", m, err)
	}
	note := nodestate.Note{Origin: id, Kind: "load", Seq: 4, Age: 1500 * time.Millisecond, Body: []byte("body")}
	golden.Bytes(t, "note.json", encodeNote(note))
	if m, err := decodeMessage(golden.Read(t, "note.json")); err != nil || !reflect.DeepEqual(m.note(), note) {
		t.Errorf("the golden note is decoded as %+v, error %v; want the encoded note", m, err)
	}
	golden.Bytes(t, "library-name", []byte(memberlistName(id)))
	if got, ok := parseMemberlistName(string(golden.Read(t, "library-name"))); !ok || got != id {
		t.Errorf("the golden memberlist name is parsed as %+v, want the encoded id", got)
	}
	for i, s := range []membership.MemberState{membership.Joining, membership.Serving, membership.Leaving} {
		if int(s) != i+1 {
			t.Errorf("member state %v is encoded as %d, want %d", s, s, i+1)
		}
	}
}

// TestDirectoryOfEarlierVersion starts an incarnation in a directory that an earlier version wrote. Its directory ID must
// be the same, and its number must be greater than that of the earlier incarnation.
func TestDirectoryOfEarlierVersion(t *testing.T) {
	t.Parallel()
	const directoryID, incarnation = "8589934593", "18446744073709000000"
	dir := t.TempDir()
	for name, text := range map[string]string{"place": directoryID, "life-" + incarnation: ""} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	next, err := BeginIncarnation(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Unlock()
	if next.DirectoryID != 8589934593 || next.Current != 18446744073709000001 || !next.HasEarlier {
		t.Errorf("the next incarnation is %+v, want the stored directory ID and the next number", next)
	}
	if _, err := os.Stat(filepath.Join(dir, "life-18446744073709000001")); err != nil {
		t.Error(err)
	}
}

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

// TestWordForm holds the members' words, and what operators are shown of members, to the form of an
// earlier version.
func TestWordForm(t *testing.T) {
	t.Parallel()
	golden.JSON[word](t, "word")
	golden.JSON[Member](t, "member")
	id := membership.ID{Identity: membership.Identity{Name: "node-1", Place: 7}, Incarnation: 9}
	record := membership.Record{ID: id, Seq: 3, Site: "site-1", Weight: 1.5, State: membership.Serving, Ended: 8, Digest: 5}
	golden.Bytes(t, "record.json", encode(record, true))
	if w, err := decode(golden.Read(t, "record.json")); err != nil || !w.Ask || !reflect.DeepEqual(w.record(), record) {
		t.Errorf("a record is read as %+v, %v", w, err)
	}
	note := nodestate.Note{Of: id, Kind: "load", Seq: 4, Age: 1500 * time.Millisecond, Body: []byte("body")}
	golden.Bytes(t, "note.json", encodeNote(note))
	if w, err := decode(golden.Read(t, "note.json")); err != nil || !reflect.DeepEqual(w.note(), note) {
		t.Errorf("a note is read as %+v, %v", w, err)
	}
	golden.Bytes(t, "library-name", []byte(libraryName(id)))
	if got, ok := parseName(string(golden.Read(t, "library-name"))); !ok || got != id {
		t.Errorf("a name is read as %+v", got)
	}
	for i, s := range []membership.MemberState{membership.Joining, membership.Serving, membership.Leaving} {
		if int(s) != i+1 {
			t.Errorf("state %v is told as %d, %d before", s, s, i+1)
		}
	}
}

// TestLivesForm goes on in a folder that an earlier version wrote: its number is the same, and the next
// life is greater than the one there.
func TestLivesForm(t *testing.T) {
	t.Parallel()
	const place, life = "8589934593", "18446744073709000000"
	dir := t.TempDir()
	for name, text := range map[string]string{"place": place, "life-" + life: ""} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	l, err := BeginIncarnation(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer l.End()
	if l.Place != 8589934593 || l.Own != 18446744073709000001 || !l.Again {
		t.Errorf("it goes on as %+v", l)
	}
	if _, err := os.Stat(filepath.Join(dir, "life-18446744073709000001")); err != nil {
		t.Error(err)
	}
}

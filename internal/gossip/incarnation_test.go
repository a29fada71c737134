package gossip

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"jasperpin/internal/emulator/check"
)

// TestFullDisk has the disk take nothing more: a member whose folder is whole begins, and goes by its
// number. One whose folder is new says why it does not.
func TestFullDisk(t *testing.T) {
	folder := t.TempDir()
	first := check.Must[*Incarnations](t)(BeginIncarnation(folder))
	first.End()
	defer func(was func(string, []byte) error) { writeWhole = was }(writeWhole)
	writeWhole = func(string, []byte) error { return syscall.ENOSPC }
	next, err := BeginIncarnation(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer next.End()
	if next.Place != first.Place || next.Own <= first.Own {
		t.Errorf("place %d and life %d, behind %d and %d", next.Place, next.Own, first.Place, first.Own)
	}
	if _, err := BeginIncarnation(t.TempDir()); err == nil {
		t.Error("a folder without a number is used")
	}
}

// TestEmptyPlace has a crash of the machine leave the file of the folder's number empty: the folder
// gets another one, the same for all that begin.
func TestEmptyPlace(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, placeName), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	first, err := BeginIncarnation(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer first.End()
	next := check.Must[*Incarnations](t)(BeginIncarnation(folder))
	defer next.End()
	if first.Place != next.Place {
		t.Errorf("places %d and %d of one folder", first.Place, next.Place)
	}
}

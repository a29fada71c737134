package gossip

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"jasperpin/internal/emulator/check"
)

// TestEndOfIncarnationIsKnownByItsLock starts and ends incarnations of one member in a directory. An incarnation
// knows that an earlier one has ended once that has dropped its lock, and not before. Another directory
// knows nothing of them, and a damaged one is rejected.
func TestEndOfIncarnationIsKnownByItsLock(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "incarnations")
	begin := func() *Incarnations { return check.Must[*Incarnations](t)(BeginIncarnation(dir)) }
	first := begin()
	if first.HasEarlier || first.EndedUpTo() >= first.Current {
		t.Errorf("the first incarnation: %+v, those up to %d ended", first, first.EndedUpTo())
	}
	second, third := begin(), begin()
	if !second.HasEarlier || first.Current >= second.Current || second.Current >= third.Current || second.DirectoryID != first.DirectoryID {
		t.Errorf("%+v, %+v, %+v", first, second, third)
	}
	for _, later := range []*Incarnations{second, third} {
		if got := later.EndedUpTo(); got >= first.Current {
			t.Errorf("%d knows that those up to %d have ended, but %d runs", later.Current, got, first.Current)
		}
	}
	second.Unlock()
	if got := third.EndedUpTo(); got >= first.Current {
		t.Errorf("those up to %d are said to have ended, but %d runs", got, first.Current)
	}
	first.Unlock()
	if got := third.EndedUpTo(); got < second.Current || got >= third.Current {
		t.Errorf("both have ended, but those up to %d are known to", got)
	}
	third.Unlock()
	if fourth := begin(); fourth.Current <= third.Current || fourth.EndedUpTo() < third.Current {
		t.Errorf("%+v after %+v", fourth, third)
	}
	if other := check.Must[*Incarnations](t)(BeginIncarnation(t.TempDir())); other.DirectoryID == first.DirectoryID || other.HasEarlier {
		t.Errorf("in another directory: %+v", other)
	}
	if err := os.WriteFile(filepath.Join(dir, directoryIDFile), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := BeginIncarnation(dir); err == nil {
		t.Error("a damaged directory ID file is accepted")
	}
}

// TestFullDiskStopsNewDirectoriesAlone starts incarnations while the disk is full. In a directory that has its
// directory ID file the next incarnation starts, with the same ID. In a new directory it fails.
func TestFullDiskStopsNewDirectoriesAlone(t *testing.T) {
	dir := t.TempDir()
	first := check.Must[*Incarnations](t)(BeginIncarnation(dir))
	first.Unlock()
	defer func(original func(string, []byte) error) { writeSynced = original }(writeSynced)
	writeSynced = func(string, []byte) error { return syscall.ENOSPC }
	next, err := BeginIncarnation(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Unlock()
	if next.DirectoryID != first.DirectoryID || next.Current <= first.Current {
		t.Errorf("directory ID %d and incarnation %d, after %d and %d", next.DirectoryID, next.Current, first.DirectoryID, first.Current)
	}
	if _, err := BeginIncarnation(t.TempDir()); err == nil {
		t.Error("a directory without a directory ID file is used")
	}
}

// TestEmptyDirectoryIDFileIsFilled starts incarnations in a directory whose directory ID file a crash of the machine has left
// empty. The first writes a new number, and the next uses the same.
func TestEmptyDirectoryIDFileIsFilled(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, directoryIDFile), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	first, err := BeginIncarnation(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Unlock()
	next := check.Must[*Incarnations](t)(BeginIncarnation(dir))
	defer next.Unlock()
	if first.DirectoryID != next.DirectoryID {
		t.Errorf("IDs %d and %d of one directory", first.DirectoryID, next.DirectoryID)
	}
}

package gossip

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"jasperpin/internal/emulator/check"
)

// TestReleasedLockProvesEndOfIncarnation starts and ends incarnations of one member in a directory. An incarnation must
// detect that an earlier one has ended after the earlier one has released its lock, and not before. Another directory
// must not have these incarnations, and a damaged directory ID file must be rejected.
func TestReleasedLockProvesEndOfIncarnation(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "incarnations")
	begin := func() *Incarnations { return check.Must[*Incarnations](t)(BeginIncarnation(dir)) }
	first := begin()
	if first.HasEarlier || first.EndedUpTo() >= first.Current {
		t.Errorf("the first incarnation %+v has EndedUpTo %d, want no earlier one and less than its own number", first, first.EndedUpTo())
	}
	second, third := begin(), begin()
	if !second.HasEarlier || first.Current >= second.Current || second.Current >= third.Current || second.DirectoryID != first.DirectoryID {
		t.Errorf("the first three incarnations are %+v, %+v and %+v; want increasing numbers and one directory ID", first, second, third)
	}
	for _, later := range []*Incarnations{second, third} {
		if got := later.EndedUpTo(); got >= first.Current {
			t.Errorf("incarnation %d has EndedUpTo %d, but incarnation %d is running", later.Current, got, first.Current)
		}
	}
	second.Unlock()
	if got := third.EndedUpTo(); got >= first.Current {
		t.Errorf("the third incarnation has EndedUpTo %d, but incarnation %d is running", got, first.Current)
	}
	first.Unlock()
	if got := third.EndedUpTo(); got < second.Current || got >= third.Current {
		t.Errorf("the first two incarnations have ended, but EndedUpTo is %d", got)
	}
	third.Unlock()
	if fourth := begin(); fourth.Current <= third.Current || fourth.EndedUpTo() < third.Current {
		t.Errorf("the fourth incarnation is %+v after %+v, want a greater number and all earlier ones ended", fourth, third)
	}
	if other := check.Must[*Incarnations](t)(BeginIncarnation(t.TempDir())); other.DirectoryID == first.DirectoryID || other.HasEarlier {
		t.Errorf("the incarnation in another directory is %+v, want another directory ID and no earlier incarnation", other)
	}
	if err := os.WriteFile(filepath.Join(dir, directoryIDFile), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := BeginIncarnation(dir); err == nil {
		t.Error("a damaged directory ID file was accepted, want an error")
	}
}

// TestFullDiskBlocksOnlyNewDirectories starts incarnations while the disk is full. In a directory with a directory ID
// file the next incarnation must start, with the same ID. In a new directory it must fail.
func TestFullDiskBlocksOnlyNewDirectories(t *testing.T) {
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
		t.Errorf("the next incarnation has directory ID %d and number %d, after %d and %d; want the same ID and a greater number", next.DirectoryID, next.Current, first.DirectoryID, first.Current)
	}
	if _, err := BeginIncarnation(t.TempDir()); err == nil {
		t.Error("an incarnation started in a new directory on a full disk, want an error")
	}
}

// TestEmptyDirectoryIDFileIsFilled starts incarnations in a directory whose directory ID file is empty after a crash of
// the machine. The first must write a new number, and the next must use the same number.
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
		t.Errorf("two incarnations of one directory have the directory IDs %d and %d, want equal ones", first.DirectoryID, next.DirectoryID)
	}
}

package configsync

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// TestUnreadableCopyIsNotDamaged makes the disk fail temporarily while a copy is read. The copy must not be renamed or
// truncated, and the next start must read all of it.
func TestUnreadableCopyIsNotDamaged(t *testing.T) {
	for _, name := range []string{snapshotFile, changesFile} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			state, _ := fillCopy(t, dir)
			path := filepath.Join(dir, name)
			openRead = func(opened string) (io.ReadCloser, error) {
				if opened == path {
					return failingFile{}, nil
				}
				return os.Open(opened)
			}
			_, logged := reopen(t, dir)
			openRead = func(at string) (io.ReadCloser, error) { return os.Open(at) }
			if logged == "" {
				t.Error("the disk error was not logged")
			}
			if got, logged := reopen(t, dir); got.Digest() != state.Digest() {
				t.Errorf("the next start has version %d, want %d: %s", got.Version(), state.Version(), logged)
			}
		})
	}
}

// failingFile is a file that a failing disk cannot read.
type failingFile struct{}

func (failingFile) Read([]byte) (int, error) {
	return 0, &os.PathError{Op: "read", Path: "copy", Err: syscall.EIO}
}
func (failingFile) Close() error { return nil }

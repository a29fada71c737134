package configsync

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// TestUnreadableCopyIsNotDamaged has the disk fail for a moment as a copy is read: nothing of it is renamed or
// truncated, and the next start reads all of it.
func TestUnreadableCopyIsNotDamaged(t *testing.T) {
	for _, name := range []string{snapshotFile, changesFile} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := fillCopy(t, dir)
			path := filepath.Join(dir, name)
			openRead = func(at string) (io.ReadCloser, error) {
				if at == path {
					return failingFile{}, nil
				}
				return os.Open(at)
			}
			_, logged := reopen(t, dir)
			openRead = func(at string) (io.ReadCloser, error) { return os.Open(at) }
			if logged == "" {
				t.Error("it is not logged")
			}
			if got, logged := reopen(t, dir); got.Digest() != s.Digest() {
				t.Errorf("the next start is at version %d of %d: %s", got.Version(), s.Version(), logged)
			}
		})
	}
}

// failingFile is a file on a disk that fails.
type failingFile struct{}

func (failingFile) Read([]byte) (int, error) {
	return 0, &os.PathError{Op: "read", Path: "copy", Err: syscall.EIO}
}
func (failingFile) Close() error { return nil }

package configsync

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// TestUnreadableCopyIsNotDamaged has the disk fail for a moment as a copy is read: nothing of it is
// put aside or cut, and the next start finds it whole.
func TestUnreadableCopyIsNotDamaged(t *testing.T) {
	for _, name := range []string{snapshotFile, changesFile} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := fill(t, dir)
			path := filepath.Join(dir, name)
			openRead = func(at string) (io.ReadCloser, error) {
				if at == path {
					return failing{}, nil
				}
				return os.Open(at)
			}
			_, said := kept(t, dir)
			openRead = func(at string) (io.ReadCloser, error) { return os.Open(at) }
			if said == "" {
				t.Error("nothing is told of it")
			}
			if got, said := kept(t, dir); got.Digest() != s.Digest() {
				t.Errorf("the next start is at version %d of %d: %s", got.Version(), s.Version(), said)
			}
		})
	}
}

// failing is a file on a disk that fails.
type failing struct{}

func (failing) Read([]byte) (int, error) {
	return 0, &os.PathError{Op: "read", Path: "copy", Err: syscall.EIO}
}
func (failing) Close() error { return nil }

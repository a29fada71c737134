package atomicfile

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// TestFailedWriteKeepsTheOldFile replaces a file, and then fails in the middle of the next write: the file must
// be unchanged, and the directory must contain no other file.
func TestFailedWriteKeepsTheOldFile(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "file")
	content := func(text string, err error) func(io.Writer) error {
		return func(w io.Writer) error {
			_, writeErr := io.WriteString(w, text)
			return errors.Join(writeErr, err)
		}
	}
	for _, text := range []string{"first", "second"} {
		if err := Write(path, content(text, nil)); err != nil {
			t.Fatal(err)
		}
	}
	broken := errors.New("broken")
	if err := Write(path, content("thi", broken)); !errors.Is(err, broken) {
		t.Errorf("failing write: %v, want %v", err, broken)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != "second" {
		t.Errorf("the file contains %q, %v", got, err)
	}
	if files, err := os.ReadDir(filepath.Dir(path)); err != nil || len(files) != 1 {
		t.Errorf("the directory contains %v, %v", files, err)
	}
}

// Package atomicfile replaces files atomically: after a crash each file has either its old or its new content,
// complete.
package atomicfile

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// Write replaces the file at path with the output of a function. The output is written to a temporary file in
// the same directory, whose name is that of the file with a random suffix; the temporary file is synced and
// renamed. After Write has returned nil, the new file survives a crash of the machine. After an error the file
// is unchanged, or is the new file if only the sync of the directory failed.
func Write(path string, write func(io.Writer) error) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // fails after success, as the file has been renamed
	if err := errors.Join(write(f), f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	return syncDir(dir)
}

// syncDir makes a rename in a directory durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

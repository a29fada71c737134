// Package atomicfile replaces files so that after a crash each of them is the old or the new one, whole.
package atomicfile

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// Write replaces the file at a path by what a function writes. The content is written to a temporary file in the
// same directory, named as the path with a suffix, synced, and renamed. Once Write has returned nil the new file
// survives a crash of the machine; after an error the file is the old one, or the new one where the directory
// could not be synced.
func Write(path string, write func(io.Writer) error) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // after success it has been renamed, and is not there
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

package gossip

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
)

// directoryIDFile contains the number that distinguishes a directory's member from others with the same name.
const directoryIDFile = "place"

// errEmptyDirectoryID is returned for an empty directory ID file. Earlier versions created the file under its final name
// before its content was on disk, so a crash of the machine could leave it empty.
var errEmptyDirectoryID = errors.New("directory ID file is empty")

// loadDirectoryID reads the directory's ID. If there is none, it writes the ID that BeginIncarnation has drawn.
func (i *Incarnations) loadDirectoryID() error {
	path := filepath.Join(i.dir, directoryIDFile)
	err := i.readDirectoryID(path)
	if errors.Is(err, os.ErrNotExist) {
		if err := i.createDirectoryID(path); err != nil {
			return err
		}
		err = i.readDirectoryID(path)
	}
	if errors.Is(err, errEmptyDirectoryID) {
		return i.fillDirectoryID(path)
	}
	return err
}

func (i *Incarnations) readDirectoryID(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if len(text) == 0 {
		return errEmptyDirectoryID
	}
	id, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return fmt.Errorf("%s is damaged: remove it after all processes of this member have ended: %w", path, err)
	}
	i.DirectoryID = id
	return nil
}

// createDirectoryID writes the drawn ID to a temporary file, and links the file to the path once it is on disk. If
// several processes do this, the first link wins.
func (i *Incarnations) createDirectoryID(path string) error {
	tempPath := path + strconv.FormatUint(i.DirectoryID, 36)
	if err := writeSynced(tempPath, []byte(strconv.FormatUint(i.DirectoryID, 10))); err != nil {
		return err
	}
	defer func() { _ = os.Remove(tempPath) }() // a file that remains after an error is never read
	if err := os.Link(tempPath, path); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

// fillDirectoryID writes the drawn ID to an empty file. If several processes do this, the first to lock the file writes.
func (i *Incarnations) fillDirectoryID(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		return fmt.Errorf("locking %s: %w", path, err)
	}
	if err := i.readDirectoryID(path); !errors.Is(err, errEmptyDirectoryID) {
		return err
	}
	if _, err := f.WriteString(strconv.FormatUint(i.DirectoryID, 10)); err != nil {
		return errors.Join(err, f.Truncate(0))
	}
	return f.Sync()
}

// writeSynced writes a file and syncs it to disk. It is a variable so that tests can replace it with one that fails.
var writeSynced = func(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Sync(), f.Close())
}

package gossip

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
)

// directoryIDFile holds the number by which a directory's member is told from another of its name.
const directoryIDFile = "place"

// errEmptyDirectoryID is of a directory ID file without a number: earlier versions gave it its name before its
// content was on disk, so that a crash of the machine left it empty.
var errEmptyDirectoryID = errors.New("the place file is empty")

// loadDirectoryID reads the directory's ID. Where there is none it writes the one that was drawn.
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
		return fmt.Errorf("%s is damaged: remove it once no process of this member runs: %w", path, err)
	}
	i.DirectoryID = id
	return nil
}

// createDirectoryID writes the drawn number to a file of its own, and links that to the path once it is on disk. Of
// several processes the first to link wins.
func (i *Incarnations) createDirectoryID(path string) error {
	draft := path + strconv.FormatUint(i.DirectoryID, 36)
	if err := writeSynced(draft, []byte(strconv.FormatUint(i.DirectoryID, 10))); err != nil {
		return err
	}
	defer func() { _ = os.Remove(draft) }() // what stays of it is never read
	if err := os.Link(draft, path); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

// fillDirectoryID writes the drawn number into an empty file. Of several processes the first to lock it writes.
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

// writeSynced writes a file and syncs it to disk. It is a variable so that tests can have it fail.
var writeSynced = func(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Sync(), f.Close())
}

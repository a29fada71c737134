// Package boltfile opens bbolt files that may be damaged by a crash, a full disk or a manual edit. It returns a
// typed error where bbolt itself would panic or fault, and checks the whole file before it is used. A new file
// appears under its name only once it is complete and on the disk.
package boltfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	// fileMode keeps other users from the file: it holds answers to clients.
	fileMode = 0o600
	// draftSuffix is appended to the name of a file that is being created.
	draftSuffix = ".new"
)

// Why a file cannot be opened.
var (
	// ErrDamaged says that the file cannot be used. Opening it again does not help.
	ErrDamaged = errors.New("the file is damaged")
	// ErrBusy says that another process has the file open.
	ErrBusy = errors.New("another process has the file open")
	// ErrUnavailable says that the disk or the system failed. It may pass, and says nothing against the file.
	ErrUnavailable = errors.New("the file cannot be opened for now")
)

// OpenFile opens a file as os.OpenFile does. Tests replace it to have the disk fail.
type OpenFile func(path string, flag int, mode os.FileMode) (*os.File, error)

// Check checks a file, which is created where there is none. It waits for another process to release the file,
// for timeout at most. Its errors are those of Open.
func Check(path string, timeout time.Duration) error {
	db, err := Open(path, timeout, nil)
	if err != nil {
		return err
	}
	return db.Close()
}

// Open opens a file, which is created where there is none, and checks all of it. It waits for another process to
// release the file, for timeout at most. A nil openFile stands for os.OpenFile. Its error wraps ErrDamaged,
// ErrBusy, ErrUnavailable, os.ErrPermission or os.ErrNotExist.
func Open(path string, timeout time.Duration, openFile OpenFile) (db *bbolt.DB, err error) {
	// bbolt maps the file into memory: reading a page that is missing is a memory fault, which is to be a
	// panic that openSafely recovers and not the end of the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	opt := &bbolt.Options{Timeout: timeout, OpenFile: openFile}
	if err := create(path, opt); err != nil {
		return nil, classify(path, err)
	}
	if db, err = openSafely(path, opt); err != nil {
		return nil, classify(path, err)
	}
	return db, nil
}

// classify wraps an error in the one of this package that says what to do about it.
func classify(path string, err error) error {
	var errno syscall.Errno
	switch {
	case errors.Is(err, ErrDamaged): // openSafely has wrapped it
		return err
	case errors.Is(err, bolterrors.ErrTimeout):
		return fmt.Errorf("%w: %s", ErrBusy, path)
	case errors.Is(err, os.ErrPermission) || errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("opening %s: %w", path, err)
	case errors.As(err, &errno):
		return fmt.Errorf("%w: %s: %w", ErrUnavailable, path, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrDamaged, path, err)
}

// create creates a file where there is none. bbolt writes a new file in place, and a kill meanwhile would leave
// one that no process can open. So a draft is written, and linked to the name once it is complete.
func create(path string, opt *bbolt.Options) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	draft := path + draftSuffix
	db, err := openDraft(draft, opt)
	if err != nil {
		return err
	}
	if err := db.Close(); err != nil {
		return err
	}
	if err := os.Link(draft, path); err != nil && !errors.Is(err, os.ErrExist) { // another process created it
		return err
	}
	if err := os.Remove(draft); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// openDraft opens the draft of a new file. It removes what a process has left that was killed over it. A process
// that still writes the draft holds its lock, and opening fails with a time-out.
func openDraft(draft string, opt *bbolt.Options) (db *bbolt.DB, err error) {
	if db, err = openSafely(draft, opt); err == nil || !isDamaged(err) {
		return db, err
	}
	if err := os.Remove(draft); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return openSafely(draft, opt)
}

// openSafely opens and checks a file, and returns bbolt's panics as errors that wrap ErrDamaged.
func openSafely(path string, opt *bbolt.Options) (db *bbolt.DB, err error) {
	defer func() {
		if p := recover(); p != nil {
			db, err = nil, fmt.Errorf("%w: %s: %v", ErrDamaged, path, p)
		}
	}()
	if db, err = bbolt.Open(path, fileMode, opt); err != nil {
		return nil, err
	}
	if err := db.View(checkPages); err != nil {
		_ = db.Close() // the error found matters more than one of closing
		return nil, err
	}
	return db, nil
}

// isDamaged reports whether an error is due to the contents of a file, and not to the disk or another process.
func isDamaged(err error) bool {
	return errors.Is(classify("", err), ErrDamaged)
}

// syncDir writes the entries of a directory to the disk.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// checkPages checks that the file is as long as it should be, and that every page of it is sound.
func checkPages(tx *bbolt.Tx) error {
	info, err := os.Stat(tx.DB().Path())
	if err != nil {
		return err
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("the file has %d bytes of %d", info.Size(), tx.Size())
	}
	var faults error
	for fault := range tx.Check() { // to its end, or bbolt's goroutine would stay
		faults = errors.Join(faults, fault)
	}
	return faults
}

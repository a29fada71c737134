// Package boltfile opens bbolt files that may be damaged by a crash, a full disk or a manual edit. It returns a
// typed error where bbolt itself would panic or fault, and checks the whole file before it is used. A new file
// appears under its name only once it is complete and durable.
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
	// fileMode denies access to other users: the file contains answers to clients.
	fileMode = 0o600
	// draftSuffix is appended to the name of a file while it is being created.
	draftSuffix = ".new"
)

// Errors of Open and Check.
var (
	// ErrDamaged means that the contents of the file are invalid. Opening it again does not help.
	ErrDamaged = errors.New("the file is damaged")
	// ErrBusy means that another process has the file open.
	ErrBusy = errors.New("another process has the file open")
	// ErrUnavailable means that the disk or the operating system failed. The failure may be temporary, and the
	// file may be intact.
	ErrUnavailable = errors.New("the file is temporarily unavailable")
)

// OpenFile opens a file as os.OpenFile does. Tests replace it to simulate disk failures.
type OpenFile func(path string, flag int, mode os.FileMode) (*os.File, error)

// Check checks a file, and creates it if it does not exist. It waits at most timeout for another process to
// release the file. Its errors are those of Open.
func Check(path string, timeout time.Duration) error {
	db, err := Open(path, timeout, nil)
	if err != nil {
		return err
	}
	return db.Close()
}

// Open opens a file, creates it if it does not exist, and checks all of it. It waits at most timeout for
// another process to release the file. A nil openFile means os.OpenFile. The error wraps ErrDamaged, ErrBusy,
// ErrUnavailable, os.ErrPermission or os.ErrNotExist.
func Open(path string, timeout time.Duration, openFile OpenFile) (db *bbolt.DB, err error) {
	// bbolt maps the file into memory: a read of a missing page is a memory fault. It must cause a panic, which
	// openSafely recovers, instead of a crash of the process.
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

// classify wraps an error in the error of this package that indicates how to handle it.
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

// create creates a file if it does not exist. bbolt writes a new file in place, so a process killed while it
// does so would leave a file that no process can open. Therefore create writes a draft and links it to the name
// once it is complete.
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

// openDraft opens the draft of a new file. It removes a damaged draft, which a process left when it was killed
// while writing it. If another process is still writing the draft, it holds the lock, and opening fails with a
// timeout.
func openDraft(draft string, opt *bbolt.Options) (db *bbolt.DB, err error) {
	if db, err = openSafely(draft, opt); err == nil || !isDamaged(err) {
		return db, err
	}
	if err := os.Remove(draft); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return openSafely(draft, opt)
}

// openSafely opens and checks a file, and converts panics of bbolt to errors that wrap ErrDamaged.
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
		_ = db.Close() // err is more useful than an error of Close
		return nil, err
	}
	return db, nil
}

// isDamaged reports whether an error is due to the contents of a file, and not to the disk or another process.
func isDamaged(err error) bool {
	return errors.Is(classify("", err), ErrDamaged)
}

// syncDir makes the entries of a directory durable.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// checkPages checks that the file has its full length and that every page is valid.
func checkPages(tx *bbolt.Tx) error {
	info, err := os.Stat(tx.DB().Path())
	if err != nil {
		return err
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("file has %d bytes, want %d", info.Size(), tx.Size())
	}
	var faults error
	for fault := range tx.Check() { // read to the end, or the goroutine of bbolt would leak
		faults = errors.Join(faults, fault)
	}
	return faults
}

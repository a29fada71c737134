package boltfile

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// openTimeout is how long these tests wait for a file that another process has open.
const openTimeout = time.Second

// TestNewFileIsCompleteUnderItsName simulates a process that is killed while it creates a file, after each of
// the first pages of a new file. The partial file must never have the final name, and must not prevent the next
// process from creating the file.
func TestNewFileIsCompleteUnderItsName(t *testing.T) {
	complete := filepath.Join(t.TempDir(), "file.db")
	if err := Check(complete, openTimeout); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(complete)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "file.db")
	var opened []string
	db, err := Open(path, openTimeout, func(name string, flag int, mode os.FileMode) (*os.File, error) {
		if _, err := os.Stat(path); name == path && err != nil {
			t.Error("the file was created in place")
		}
		opened = append(opened, name)
		return os.OpenFile(name, flag, mode)
	})
	if err != nil {
		t.Fatal(err)
	}
	db.Close()
	for _, n := range []int{0, 1, 4096, 8192, 12288} { // boundaries of the first pages of a new file
		path := filepath.Join(t.TempDir(), "file.db")
		draft := filepath.Join(filepath.Dir(path), filepath.Base(opened[0]))
		if err := os.WriteFile(draft, text[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if err := Check(path, openTimeout); err != nil {
			t.Errorf("after a kill at %d bytes: %v", n, err)
		}
		left, err := os.ReadDir(filepath.Dir(path))
		if err != nil || len(left) != 1 {
			t.Errorf("the directory contains %v, %v; want only the file", left, err)
		}
	}
}

// TestOpenErrorsAreDistinguished opens a file that is in use, a file on a failing disk and a truncated file.
// Each must return a different error.
func TestOpenErrorsAreDistinguished(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file.db")
	db, err := Open(path, openTimeout, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(path, time.Millisecond); !errors.Is(err, ErrBusy) {
		t.Errorf("opening a file in use: %v, want %v", err, ErrBusy)
	}
	if err := db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucket([]byte("b"))
		return err
	}); err != nil {
		t.Fatal(err)
	}
	db.Close()
	for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EMFILE, syscall.EINTR} {
		_, err := Open(path, openTimeout, func(string, int, os.FileMode) (*os.File, error) { return nil, errno })
		if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrDamaged) || !errors.Is(err, errno) {
			t.Errorf("opening a file with %v: %v, want %v", errno, err, ErrUnavailable)
		}
	}
	if err := os.Truncate(path, 4096); err != nil {
		t.Fatal(err)
	}
	if err := Check(path, openTimeout); !errors.Is(err, ErrDamaged) || errors.Is(err, ErrUnavailable) {
		t.Errorf("opening a truncated file: %v, want %v", err, ErrDamaged)
	}
}

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

// openTimeout is how long these tests wait for a file that is in use.
const openTimeout = time.Second

// TestNewFileIsCompleteUnderItsName: a process is killed while it creates a file, after each of the pages that
// a new file begins with. What it leaves is never under the file's name, and does not keep the next process
// from creating the file.
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
			t.Error("the file is created under its name")
		}
		opened = append(opened, name)
		return os.OpenFile(name, flag, mode)
	})
	if err != nil {
		t.Fatal(err)
	}
	db.Close()
	for _, n := range []int{0, 1, 4096, 8192, 12288} { // of the pages that a new file begins with
		path := filepath.Join(t.TempDir(), "file.db")
		draft := filepath.Join(filepath.Dir(path), filepath.Base(opened[0]))
		if err := os.WriteFile(draft, text[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if err := Check(path, openTimeout); err != nil {
			t.Errorf("after a kill within the first %d bytes: %v", n, err)
		}
		left, err := os.ReadDir(filepath.Dir(path))
		if err != nil || len(left) != 1 {
			t.Errorf("the directory has %v, %v; want the file alone", left, err)
		}
	}
}

// TestOpenErrorsAreDistinguished: a file is in use, on a disk that fails, and cut short. Each is an error of its
// own.
func TestOpenErrorsAreDistinguished(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file.db")
	db, err := Open(path, openTimeout, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(path, time.Millisecond); !errors.Is(err, ErrBusy) {
		t.Errorf("a file in use: %v, want %v", err, ErrBusy)
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
			t.Errorf("%v: %v", errno, err)
		}
	}
	if err := os.Truncate(path, 4096); err != nil {
		t.Fatal(err)
	}
	if err := Check(path, openTimeout); !errors.Is(err, ErrDamaged) || errors.Is(err, ErrUnavailable) {
		t.Errorf("a file cut short: %v, want %v", err, ErrDamaged)
	}
}

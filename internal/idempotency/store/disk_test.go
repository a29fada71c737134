package store

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"jasperpin/internal/emulator/check"
	"jasperpin/internal/idempotency"
)

// TestKeysReturnAfterDiskFailure makes the disk fail while a process opens the key file, at its start or after
// its predecessor has released the file. Keyed requests must be rejected in the meantime. Once the disk has
// recovered, the key of the predecessor must be available.
func TestKeysReturnAfterDiskFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EMFILE, syscall.EROFS} {
		for _, busy := range []bool{false, true} {
			opt := durableOptions(filepath.Join(t.TempDir(), "keys.db"))
			key, digest := idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}
			first := check.Must[*KeyStore](t)(New(opt))
			first.Begin(key, digest).Claim.Settle(idempotency.Answered, Answer{Code: 201})
			if !busy {
				first.Close()
			}
			var failing atomic.Bool
			var failed atomic.Int64
			failing.Store(!busy)
			opt.OpenFile = func(path string, flag int, mode os.FileMode) (*os.File, error) {
				if failing.Load() {
					failed.Add(1)
					return nil, &os.PathError{Op: "open", Path: path, Err: errno}
				}
				return os.OpenFile(path, flag, mode)
			}
			next, err := New(opt)
			if err != nil {
				t.Errorf("opening the file fails with %v: New returned error %v, want none", errno, err)
				continue
			}
			if busy {
				failing.Store(true)
				first.Close()
			}
			check.Eventually(t, "opening the file fails twice", func() bool { return failed.Load() > 1 })
			if decision := next.Begin(key, digest); decision.Verdict != idempotency.Full {
				t.Errorf("opening the file fails with %v: a keyed request got %+v, want verdict Full", errno, decision)
			}
			failing.Store(false)
			check.Eventually(t, "the key is restored", func() bool { return next.Begin(key, digest).Verdict == idempotency.Replay })
			next.Close()
		}
	}
}

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

// TestDiskFailsForAWhile has the disk fail as the file is opened, at the start and behind a process
// that still had it: the holder turns keys away meanwhile, and has them once the disk is well.
func TestDiskFailsForAWhile(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EMFILE, syscall.EROFS} {
		for _, held := range []bool{false, true} {
			opt := durable(filepath.Join(t.TempDir(), "keys.db"))
			key, digest := idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}
			first := check.Must[*Holder](t)(New(opt))
			first.Arrive(key, digest).Claim.Settle(idempotency.Answered, Answer{Code: 201})
			if !held {
				first.Close()
			}
			var failing atomic.Bool
			var failed atomic.Int64
			failing.Store(!held)
			opt.OpenFile = func(path string, flag int, mode os.FileMode) (*os.File, error) {
				if failing.Load() {
					failed.Add(1)
					return nil, &os.PathError{Op: "open", Path: path, Err: errno}
				}
				return os.OpenFile(path, flag, mode)
			}
			next, err := New(opt)
			if err != nil {
				t.Errorf("%v: it does not start: %v", errno, err)
				continue
			}
			if held {
				failing.Store(true)
				first.Close()
			}
			check.Eventually(t, "the disk has failed", func() bool { return failed.Load() > 1 })
			if turn := next.Arrive(key, digest); turn.Verdict != idempotency.Full {
				t.Errorf("%v: without its file a key gets %+v", errno, turn)
			}
			failing.Store(false)
			check.Eventually(t, "the key is known", func() bool { return next.Arrive(key, digest).Verdict == idempotency.Replay })
			next.Close()
		}
	}
}

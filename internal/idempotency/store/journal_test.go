package store

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"jasperpin/internal/boltfile"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/idempotency"
)

// durableOptions are those of a holder with a file.
func durableOptions(file string) Options {
	return Options{
		File: file, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Settings: idempotency.Settings{
			MaxKeys: 1000, MaxBytes: 1 << 20, TenantShare: 1, MaxAnswerBytes: 1 << 10, MaxWaiters: 4,
			Classes: map[string]idempotency.Class{"c": {Retention: time.Hour, MaxRunTime: time.Hour}, "brief": {Retention: time.Second, MaxRunTime: time.Hour}, "pass": {Retention: time.Hour, MaxRunTime: time.Hour, RunWhenFull: true}},
		},
	}
}

// crashCopy copies the file as a crash at this moment would leave it, and returns the path.
func crashCopy(t *testing.T, h *KeyStore) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys.db")
	if err := h.journal.db.View(func(tx *bbolt.Tx) error { return tx.CopyFile(path, 0o600) }); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestCrashedProcessLeavesItsKeys: a process crashes with three keys: one whose request was running, one that
// was answered, and one whose request never ran. For the next process the first may have run, the second has its
// answer, and the third runs. The process after that one says the same.
func TestCrashedProcessLeavesItsKeys(t *testing.T) {
	digest := idempotency.NewDigester("POST", "/c").Sum()
	key := func(text string) idempotency.Key { return idempotency.Key{Tenant: "t", Class: "c", Text: text} }
	h := check.Must[*KeyStore](t)(New(durableOptions(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	for _, k := range []string{"runs", "answered", "never"} {
		decision := h.Begin(key(k), digest)
		switch k {
		case "answered":
			decision.Claim.Settle(idempotency.Answered, Answer{Code: 200, Body: []byte("done")})
		case "never":
			decision.Claim.Settle(idempotency.NeverRan, Answer{})
			h.Begin(key("last"), digest) // its write is after the one that nobody waits for
		}
	}
	file := crashCopy(t, h)
	for range 2 {
		next := check.Must[*KeyStore](t)(New(durableOptions(file)))
		if decision := next.Begin(key("runs"), digest); decision.Verdict != idempotency.Replay || decision.Answer.Code != 502 {
			t.Errorf("a repeat of the running request gets %+v", decision)
		}
		if decision := next.Begin(key("answered"), digest); decision.Verdict != idempotency.Replay || decision.Answer.Code != 200 || string(decision.Answer.Body) != "done" {
			t.Errorf("a repeat of the answered request gets %+v", decision)
		}
		if decision := next.Begin(key("answered"), idempotency.Digest{1}); decision.Verdict != idempotency.Mismatch {
			t.Errorf("another request under the key gets %+v", decision)
		}
		decision := next.Begin(key("never"), digest)
		if decision.Verdict != idempotency.Run {
			t.Fatalf("a repeat of the request that never ran gets %+v", decision)
		}
		decision.Claim.Settle(idempotency.NeverRan, Answer{})
		next.Close()
	}
}

// TestConcurrentWritesShareCommits: many keys run concurrently. Each is on the disk before it runs, and writes
// that come together are committed together.
func TestConcurrentWritesShareCommits(t *testing.T) {
	h := check.Must[*KeyStore](t)(New(durableOptions(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	var requests sync.WaitGroup
	const keys = 200
	for i := range keys {
		requests.Go(func() {
			decision := h.Begin(idempotency.Key{Class: "c", Text: fmt.Sprint(i)}, idempotency.Digest{1})
			if decision.Verdict != idempotency.Run {
				t.Errorf("key %d: %+v", i, decision)
				return
			}
			decision.Claim.Settle(idempotency.Answered, Answer{Code: 200})
		})
	}
	requests.Wait()
	if n := h.Commits(); n == 0 || n > keys { // each alone would be two a key
		t.Errorf("%d keys took %d commits", keys, n)
	}
}

// TestUnwritableKeyDoesNotRun: the file fails while a request runs. A request under a new key is refused, since
// its key cannot be written. The one that runs ends as it would have, and its repeat gets the answer.
func TestUnwritableKeyDoesNotRun(t *testing.T) {
	h := check.Must[*KeyStore](t)(New(durableOptions(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	runs := h.Begin(idempotency.Key{Class: "c", Text: "before"}, idempotency.Digest{1})
	if err := h.journal.db.Close(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if decision := h.Begin(idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}); decision.Verdict != idempotency.Full || decision.RetryAfter == 0 {
			t.Errorf("a new key without a disk gets %+v", decision)
		}
	}
	runs.Claim.Settle(idempotency.Answered, Answer{Code: 200})
	if decision := h.Begin(idempotency.Key{Class: "c", Text: "before"}, idempotency.Digest{1}); decision.Verdict != idempotency.Replay || decision.Answer.Code != 200 {
		t.Errorf("the repeat of the one that ran gets %+v", decision)
	}
}

// TestFileOfAnotherProcess: another process has the file open. Keyed requests are refused, or run unprotected
// where their class allows that, until that process closes it. A damaged file is an error at the start.
func TestFileOfAnotherProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.db")
	first := check.Must[*KeyStore](t)(New(durableOptions(file)))
	first.Begin(idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}).Claim.Settle(idempotency.Answered, Answer{Code: 201})
	second := check.Must[*KeyStore](t)(New(durableOptions(file)))
	defer second.Close()
	if decision := second.Begin(idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}); decision.Verdict != idempotency.Full {
		t.Errorf("while another process has the file: %+v", decision)
	}
	if decision := second.Begin(idempotency.Key{Class: "pass", Text: "k"}, idempotency.Digest{1}); decision.Verdict != idempotency.RunUnprotected {
		t.Errorf("while another process has the file, in a class that may run unprotected: %+v", decision)
	}
	first.Close()
	check.Eventually(t, "the second has the file", func() bool {
		decision := second.Begin(idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1})
		return decision.Verdict == idempotency.Replay && decision.Answer.Code == 201
	})

	damaged := filepath.Join(t.TempDir(), "keys.db")
	if err := os.WriteFile(damaged, []byte("no keys"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(durableOptions(damaged)); !errors.Is(err, boltfile.ErrDamaged) {
		t.Errorf("a damaged file: %v, want %v", err, boltfile.ErrDamaged)
	}
}

// TestExpiredRecordsAreDeleted: of two records, the one whose retention ends is deleted from the file, and the
// other stays.
func TestExpiredRecordsAreDeleted(t *testing.T) {
	h := check.Must[*KeyStore](t)(New(durableOptions(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	for _, class := range []string{"brief", "c"} {
		h.Begin(idempotency.Key{Class: class, Text: "k"}, idempotency.Digest{1}).Claim.Settle(idempotency.Answered, Answer{Code: 200})
	}
	records := func() (n int) {
		_ = h.journal.db.View(func(tx *bbolt.Tx) error {
			n = tx.Bucket(bucketName).Stats().KeyN
			return nil
		})
		return n
	}
	if n := records(); n != 2 {
		t.Errorf("%d records, want 2", n)
	}
	check.Eventually(t, "the expired record is deleted", func() bool { return records() == 1 })
}

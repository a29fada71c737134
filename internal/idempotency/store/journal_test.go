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

func durable(file string) Options {
	return Options{
		File: file, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Bounds: idempotency.Settings{
			Entries: 1000, Bytes: 1 << 20, TenantShare: 1, LongAnswer: 1 << 10, Waiters: 4,
			Classes: map[string]idempotency.Class{"c": {Keep: time.Hour, RunMost: time.Hour}, "brief": {Keep: time.Second, RunMost: time.Hour}, "pass": {Keep: time.Hour, RunMost: time.Hour, MayPass: true}},
		},
	}
}

// copied gives the file as a crash at this moment would leave it.
func copied(t *testing.T, h *Holder) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "keys.db")
	if err := h.journal.db.View(func(tx *bbolt.Tx) error { return tx.CopyFile(to, 0o600) }); err != nil {
		t.Fatal(err)
	}
	return to
}

// TestCrash ends a process at three moments of three keys' lives: what was under way may
// have run, what was answered has its answer, and what never ran runs. A process after that
// one says the same.
func TestCrash(t *testing.T) {
	digest := idempotency.NewDigester("POST", "/c").Sum()
	key := func(text string) idempotency.Key { return idempotency.Key{Tenant: "t", Class: "c", Text: text} }
	h := check.Must[*Holder](t)(New(durable(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	for _, k := range []string{"runs", "answered", "never"} {
		turn := h.Arrive(key(k), digest)
		switch k {
		case "answered":
			turn.Claim.Settle(idempotency.Answered, Answer{Code: 200, Body: []byte("done")})
		case "never":
			turn.Claim.Settle(idempotency.NeverRan, Answer{})
			h.Arrive(key("last"), digest) // behind what nobody waited for
		}
	}
	file := copied(t, h)
	for range 2 {
		next := check.Must[*Holder](t)(New(durable(file)))
		if turn := next.Arrive(key("runs"), digest); turn.Verdict != idempotency.Replay || turn.Answer.Code != 502 {
			t.Errorf("what ran gets %+v", turn)
		}
		if turn := next.Arrive(key("answered"), digest); turn.Verdict != idempotency.Replay || turn.Answer.Code != 200 || string(turn.Answer.Body) != "done" {
			t.Errorf("what was answered gets %+v", turn)
		}
		if turn := next.Arrive(key("answered"), idempotency.Digest{1}); turn.Verdict != idempotency.Mismatch {
			t.Errorf("another request under the key gets %+v", turn)
		}
		turn := next.Arrive(key("never"), digest)
		if turn.Verdict != idempotency.Run {
			t.Fatalf("what never ran gets %+v", turn)
		}
		turn.Claim.Settle(idempotency.NeverRan, Answer{})
		next.Close()
	}
}

// TestTogether has many keys run at a time: each is on the disk before it runs, and they go
// there together.
func TestTogether(t *testing.T) {
	h := check.Must[*Holder](t)(New(durable(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	var all sync.WaitGroup
	const many = 200
	for i := range many {
		all.Go(func() {
			turn := h.Arrive(idempotency.Key{Class: "c", Text: fmt.Sprint(i)}, idempotency.Digest{1})
			if turn.Verdict != idempotency.Run {
				t.Errorf("key %d: %+v", i, turn)
				return
			}
			turn.Claim.Settle(idempotency.Answered, Answer{Code: 200})
		})
	}
	all.Wait()
	if n := h.Commits(); n == 0 || n > many { // twice as many where each goes alone
		t.Errorf("%d keys took %d commits", many, n)
	}
}

// TestDiskTakesNothing has the file fail: a key that cannot be written does not run, and one
// that runs ends as it would have.
func TestDiskTakesNothing(t *testing.T) {
	h := check.Must[*Holder](t)(New(durable(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	runs := h.Arrive(idempotency.Key{Class: "c", Text: "before"}, idempotency.Digest{1})
	if err := h.journal.db.Close(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if turn := h.Arrive(idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}); turn.Verdict != idempotency.Full || turn.Retry == 0 {
			t.Errorf("with no disk: %+v", turn)
		}
	}
	runs.Claim.Settle(idempotency.Answered, Answer{Code: 200})
	if turn := h.Arrive(idempotency.Key{Class: "c", Text: "before"}, idempotency.Digest{1}); turn.Verdict != idempotency.Replay || turn.Answer.Code != 200 {
		t.Errorf("its repeat: %+v", turn)
	}
}

// TestFileElsewhere has another process hold the file: keys are turned away, or pass where
// their class may, until it lets go. A file that is damaged is told.
func TestFileElsewhere(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.db")
	first := check.Must[*Holder](t)(New(durable(file)))
	first.Arrive(idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}).Claim.Settle(idempotency.Answered, Answer{Code: 201})
	second := check.Must[*Holder](t)(New(durable(file)))
	defer second.Close()
	if turn := second.Arrive(idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}); turn.Verdict != idempotency.Full {
		t.Errorf("beside another process: %+v", turn)
	}
	if turn := second.Arrive(idempotency.Key{Class: "pass", Text: "k"}, idempotency.Digest{1}); turn.Verdict != idempotency.Pass {
		t.Errorf("beside another process, of a class that may pass: %+v", turn)
	}
	first.Close()
	check.Eventually(t, "the second has the file", func() bool {
		turn := second.Arrive(idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1})
		return turn.Verdict == idempotency.Replay && turn.Answer.Code == 201
	})

	torn := filepath.Join(t.TempDir(), "keys.db")
	if err := os.WriteFile(torn, []byte("no keys"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(durable(torn)); !errors.Is(err, boltfile.ErrDamaged) {
		t.Errorf("a damaged file: %v", err)
	}
}

// TestSwept has a record leave the file when its time is over, and one that stays stay.
func TestSwept(t *testing.T) {
	h := check.Must[*Holder](t)(New(durable(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	for _, class := range []string{"brief", "c"} {
		h.Arrive(idempotency.Key{Class: class, Text: "k"}, idempotency.Digest{1}).Claim.Settle(idempotency.Answered, Answer{Code: 200})
	}
	records := func() (n int) {
		_ = h.journal.db.View(func(tx *bbolt.Tx) error {
			n = tx.Bucket(bucket).Stats().KeyN
			return nil
		})
		return n
	}
	if n := records(); n != 2 {
		t.Errorf("%d records", n)
	}
	check.Eventually(t, "the brief one is gone", func() bool { return records() == 1 })
}

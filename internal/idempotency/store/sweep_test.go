package store

import (
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"jasperpin/internal/bootclock"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/idempotency"
)

// hasRecord reports whether a key has a record in the file.
func hasRecord(j *journal, k idempotency.Key) (found bool) {
	_ = j.db.View(func(tx *bbolt.Tx) error {
		found = tx.Bucket(bucketName).Get(recordName(k)) != nil
		return nil
	})
	return found
}

// TestSweepSparesRecordOfNewRun begins a new run under the same key after a sweep has found an expired record
// and before its deletion is committed. The record of the new run must remain, or the next process would run
// the request a second time after a crash.
func TestSweepSparesRecordOfNewRun(t *testing.T) {
	keyStore := check.Must[*KeyStore](t)(New(durableOptions(filepath.Join(t.TempDir(), "keys.db"))))
	defer keyStore.Close()
	journal, key := keyStore.journal, idempotency.Key{Class: "c", Text: "k"}
	if err := <-journal.put(idempotency.Record{Key: key, Remaining: -time.Second}); err != nil {
		t.Fatal(err)
	}
	journal.mu.Lock() // blocks enqueue
	reads := journal.db.Stats().TxN
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		journal.sweep(nil)
	}()
	check.Eventually(t, "the sweep has read the file", func() bool {
		s := journal.db.Stats()
		return s.TxN > reads && s.OpenTxN == 0
	})
	// Enqueue the record of the run between the read and the deletion of the sweep.
	run := check.Must[[]byte](t)(encodeRecord(idempotency.Record{Key: key, Running: true, Remaining: time.Hour}, journal.clock()))
	journal.queue = append(journal.queue, change{name: recordName(key), value: run})
	journal.changed.Signal()
	journal.mu.Unlock()
	<-swept
	sweepAndCommit(t, journal)
	if !hasRecord(journal, key) {
		t.Error("the record of a new run was deleted")
	}
}

// TestWallClockStepForgetsNoKey steps the wall clock by an hour, forwards or backwards. A key with a retention
// of one hour must stay in the file, and the next process that opens the file must have it. Once one hour has
// actually passed, the record must be deleted regardless of the wall clock.
func TestWallClockStepForgetsNoKey(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		var stepped, passed atomic.Int64
		opt := durableOptions(filepath.Join(t.TempDir(), "keys.db"))
		opt.Clock = func() bootclock.Reading {
			now := bootclock.Now()
			now.Wall = now.Wall.Add(time.Duration(stepped.Load() + passed.Load()))
			now.SinceBoot += time.Duration(passed.Load())
			return now
		}
		keyStore := check.Must[*KeyStore](t)(New(opt))
		key, digest := idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}
		keyStore.Begin(key, digest).Claim.Settle(idempotency.Answered, Answer{Code: 201})
		stepped.Store(int64(step))
		sweepAndCommit(t, keyStore.journal)
		if !hasRecord(keyStore.journal, key) {
			t.Errorf("after a clock step of %v the record of the key is deleted, want it retained", step)
		}
		keyStore.Close()
		next := check.Must[*KeyStore](t)(New(opt))
		if decision := next.Begin(key, digest); decision.Verdict != idempotency.Replay || decision.Answer.Code != 201 {
			t.Errorf("after a clock step of %v a repeat at the next process got %+v, want the replayed 201", step, decision)
		}
		passed.Store(int64(time.Hour))
		sweepAndCommit(t, next.journal)
		if hasRecord(next.journal, key) {
			t.Errorf("after a clock step of %v the expired record is not deleted", step)
		}
		next.Close()
	}
}

// sweepAndCommit sweeps the file and waits until the deletions are durable.
func sweepAndCommit(t *testing.T, j *journal) {
	t.Helper()
	j.sweep(nil)
	if err := <-j.put(idempotency.Record{Key: idempotency.Key{Class: "c", Text: "behind"}, Remaining: time.Hour}); err != nil {
		t.Fatal(err)
	}
}

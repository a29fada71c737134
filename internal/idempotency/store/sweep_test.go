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
func hasRecord(j *journal, k idempotency.Key) (there bool) {
	_ = j.db.View(func(tx *bbolt.Tx) error {
		there = tx.Bucket(bucketName).Get(recordName(k)) != nil
		return nil
	})
	return there
}

// TestSweepSparesRecordOfNewRun: a sweep finds an expired record. Before its deletion is committed a new run
// begins under the same key and writes its own record. That record must stay, or after a crash the next process
// would run the request a second time.
func TestSweepSparesRecordOfNewRun(t *testing.T) {
	h := check.Must[*KeyStore](t)(New(durableOptions(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	j, key := h.journal, idempotency.Key{Class: "c", Text: "k"}
	if err := <-j.put(idempotency.Record{Key: key, TimeLeft: -time.Second}); err != nil {
		t.Fatal(err)
	}
	j.mu.Lock() // nothing can be enqueued meanwhile
	reads := j.db.Stats().TxN
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		j.sweep(nil)
	}()
	check.Eventually(t, "the sweep has read the file", func() bool {
		s := j.db.Stats()
		return s.TxN > reads && s.OpenTxN == 0
	})
	// The record of the run is enqueued between the sweep's read and its deletion.
	run := check.Must[[]byte](t)(encodeRecord(idempotency.Record{Key: key, Running: true, TimeLeft: time.Hour}, j.clock()))
	j.queue = append(j.queue, change{name: recordName(key), value: run})
	j.changed.Signal()
	j.mu.Unlock()
	<-swept
	sweepAndCommit(t, j)
	if !hasRecord(j, key) {
		t.Error("the record of a new run was deleted")
	}
}

// TestWallClockStepForgetsNoKey: the wall clock is stepped by an hour, forwards or backwards. A key that is
// retained for an hour stays in the file, and the process that opens the file next knows it. Once that time has
// really passed the record is deleted, whatever the wall clock says.
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
		h := check.Must[*KeyStore](t)(New(opt))
		key, digest := idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}
		h.Begin(key, digest).Claim.Settle(idempotency.Answered, Answer{Code: 201})
		stepped.Store(int64(step))
		sweepAndCommit(t, h.journal)
		if !hasRecord(h.journal, key) {
			t.Errorf("after a step of %v the key was forgotten", step)
		}
		h.Close()
		next := check.Must[*KeyStore](t)(New(opt))
		if decision := next.Begin(key, digest); decision.Verdict != idempotency.Replay || decision.Answer.Code != 201 {
			t.Errorf("after a step of %v the next process has %+v", step, decision)
		}
		passed.Store(int64(time.Hour))
		sweepAndCommit(t, next.journal)
		if hasRecord(next.journal, key) {
			t.Errorf("after a step of %v the expired key stays", step)
		}
		next.Close()
	}
}

// sweepAndCommit sweeps the file, and waits until the deletions are on the disk.
func sweepAndCommit(t *testing.T, j *journal) {
	t.Helper()
	j.sweep(nil)
	if err := <-j.put(idempotency.Record{Key: idempotency.Key{Class: "c", Text: "behind"}, TimeLeft: time.Hour}); err != nil {
		t.Fatal(err)
	}
}

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

// stands says whether a key has a record in the file.
func stands(j *journal, k idempotency.Key) (there bool) {
	_ = j.db.View(func(tx *bbolt.Tx) error {
		there = tx.Bucket(bucket).Get(name(k)) != nil
		return nil
	})
	return there
}

// TestSweepSparesARunThatHasBegun has a run begin under a key between the sweep's look at the
// key's old record, whose time is over, and the deletion: the run's own record stays, or its
// successor would run it a second time.
func TestSweepSparesARunThatHasBegun(t *testing.T) {
	h := check.Must[*Holder](t)(New(durable(filepath.Join(t.TempDir(), "keys.db"))))
	defer h.Close()
	j, key := h.journal, idempotency.Key{Class: "c", Text: "k"}
	if err := <-j.put(idempotency.Record{Key: key, Left: -time.Second}); err != nil {
		t.Fatal(err)
	}
	j.mu.Lock() // nothing is queued meanwhile
	reads := j.db.Stats().TxN
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		j.expire(nil)
	}()
	check.Eventually(t, "the sweep has looked", func() bool {
		s := j.db.Stats()
		return s.TxN > reads && s.OpenTxN == 0
	})
	// The run's record is queued while the sweep holds what it has read.
	run := check.Must[[]byte](t)(encode(idempotency.Record{Key: key, Running: true, Left: time.Hour}, j.clock()))
	j.todo = append(j.todo, change{key: name(key), value: run})
	j.some.Signal()
	j.mu.Unlock()
	<-swept
	sweep(t, j)
	if !stands(j, key) {
		t.Error("the record of a run that has begun is gone")
	}
}

// TestStepOfTheWallClockForgetsNoKey has the wall clock stepped by an hour, forward and back: a key
// that is owed for ten minutes stays in the file, and the process that opens it next knows it. Once
// ten minutes of real time have passed it goes, whatever the wall clock says.
func TestStepOfTheWallClockForgetsNoKey(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		var stepped, passed atomic.Int64
		opt := durable(filepath.Join(t.TempDir(), "keys.db"))
		opt.Clock = func() bootclock.Reading {
			now := bootclock.Now()
			now.Wall = now.Wall.Add(time.Duration(stepped.Load() + passed.Load()))
			now.Since += time.Duration(passed.Load())
			return now
		}
		h := check.Must[*Holder](t)(New(opt))
		key, digest := idempotency.Key{Class: "c", Text: "k"}, idempotency.Digest{1}
		h.Arrive(key, digest).Claim.Settle(idempotency.Answered, Answer{Code: 201})
		stepped.Store(int64(step))
		sweep(t, h.journal)
		if !stands(h.journal, key) {
			t.Errorf("after a step of %v the key is forgotten", step)
		}
		h.Close()
		next := check.Must[*Holder](t)(New(opt))
		if turn := next.Arrive(key, digest); turn.Verdict != idempotency.Replay || turn.Answer.Code != 201 {
			t.Errorf("after a step of %v the next process has %+v", step, turn)
		}
		passed.Store(int64(time.Hour))
		sweep(t, next.journal)
		if stands(next.journal, key) {
			t.Errorf("after a step of %v the key stays for ever", step)
		}
		next.Close()
	}
}

// sweep looks through the file, and waits until what follows is on the disk.
func sweep(t *testing.T, j *journal) {
	t.Helper()
	j.expire(nil)
	if err := <-j.put(idempotency.Record{Key: idempotency.Key{Class: "c", Text: "behind"}, Left: time.Hour}); err != nil {
		t.Fatal(err)
	}
}

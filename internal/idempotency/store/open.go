package store

import (
	"cmp"
	"errors"
	"time"

	"jasperpin/internal/boltfile"
	"jasperpin/internal/bootclock"
	"jasperpin/internal/idempotency"
)

const (
	// openTimeout is how long one call waits for another process to release the file. It delays the start
	// of the process, so it is short.
	openTimeout = 50 * time.Millisecond
	// busyRetryInterval is how often a file is tried again that another process has: keyed requests are
	// refused meanwhile, and the other process is about to end.
	busyRetryInterval = 100 * time.Millisecond
	// diskRetryInterval is how often a file is tried again that the disk does not give: such faults last
	// longer, and each call costs I/O.
	diskRetryInterval = 500 * time.Millisecond
	// lostRunStatus is the HTTP status that repeats get of a run whose process has ended: 502, as of any run
	// that failed and may have run.
	lostRunStatus = 502
)

// isTemporary reports whether a file that could not be opened may be opened later.
func isTemporary(err error) bool {
	return errors.Is(err, boltfile.ErrBusy) || errors.Is(err, boltfile.ErrUnavailable)
}

// openLater opens the file as soon as no other process has it and the disk gives it. It never gives up, as a
// disk may recover and a file may be put back. Close ends it.
func (h *KeyStore) openLater() {
	logged := "" // the last error that was logged: the same error is logged once in a row
	for interval := busyRetryInterval; ; {
		select {
		case <-h.stop:
			return
		case <-time.After(interval):
		}
		err := h.open()
		switch {
		case err == nil:
			h.log.Info("idempotency keys opened their file", "file", h.file)
			return
		case errors.Is(err, boltfile.ErrBusy):
			interval = busyRetryInterval
		default:
			interval = diskRetryInterval
			if text := err.Error(); text != logged {
				h.log.Error("idempotency keys cannot open their file, retrying", "file", h.file, "err", err)
				logged = text
			}
		}
	}
}

// open opens the file and takes its records over. Its error is that of boltfile.Open.
func (h *KeyStore) open() error {
	j, records, err := openJournal(h.file, openTimeout, h.openFile, h.clock)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	for i := range records {
		record, changed := h.restore(&records[i], now)
		if record.TimeLeft <= 0 {
			j.remove(record.Key)
			continue
		}
		if changed {
			// Or its retention would begin anew with each start. Nobody waits for the write: where it fails
			// the next start does the same.
			j.put(record)
		}
		h.store.Import(h.now(), record)
	}
	h.journal = j
	return nil
}

// restore returns a record of the process before as it counts from now on, and reports whether it differs
// from the one in the file: a run that was under way may have run, and the age of a record that has only a
// wall-clock time is not known, so its retention begins now.
func (h *KeyStore) restore(stored *storedRecord, now bootclock.Reading) (record idempotency.Record, changed bool) {
	record = idempotency.Record{
		Key: stored.Key, Digest: stored.Digest, MayHaveRun: stored.MayHaveRun, Answer: stored.Answer,
		TimeLeft: now.Remaining(stored.Deadline),
	}
	if stored.Running {
		record.MayHaveRun = true
		record.Answer = idempotency.Answer{Status: lostRunStatus, Trimmed: true}
	}
	if changed = stored.Running || stored.Span == 0; changed {
		record.TimeLeft = cmp.Or(h.settings.Classes[stored.Key.Class].Retention, stored.Span, record.TimeLeft)
	}
	return record, changed
}

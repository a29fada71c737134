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
	// openTimeout is the maximum time that one attempt waits for another process to release the file. It is
	// short, as it delays the start of the process.
	openTimeout = 50 * time.Millisecond
	// busyRetryInterval is the time between attempts to open a file that another process has open. It is short,
	// as keyed requests are rejected in the meantime and the other process is about to exit.
	busyRetryInterval = 100 * time.Millisecond
	// diskRetryInterval is the time between attempts to open a file while the disk fails: such faults last
	// longer, and each attempt costs I/O.
	diskRetryInterval = 500 * time.Millisecond
	// lostRunStatus is the HTTP status that repeats receive if the process of the run has exited: 502, as for
	// any request that failed and may have run.
	lostRunStatus = 502
)

// isTemporary reports whether a file that could not be opened may become available.
func isTemporary(err error) bool {
	return errors.Is(err, boltfile.ErrBusy) || errors.Is(err, boltfile.ErrUnavailable)
}

// retryOpen retries to open the file until no other process has it open and the disk works. It retries without
// limit, as a disk may recover and a file may be restored. Close stops it.
func (s *KeyStore) retryOpen() {
	lastLogged := "" // last logged error; consecutive equal errors are logged once
	for interval := busyRetryInterval; ; {
		select {
		case <-s.stop:
			return
		case <-time.After(interval):
		}
		err := s.open()
		switch {
		case err == nil:
			s.log.Info("idempotency key file opened", "file", s.file)
			return
		case errors.Is(err, boltfile.ErrBusy):
			interval = busyRetryInterval
		default:
			interval = diskRetryInterval
			if text := err.Error(); text != lastLogged {
				s.log.Error("opening the idempotency key file failed, retrying", "file", s.file, "err", err)
				lastLogged = text
			}
		}
	}
}

// open opens the file and imports its records. Its error is that of boltfile.Open.
func (s *KeyStore) open() error {
	journal, records, err := openJournal(s.file, openTimeout, s.openFile, s.clock)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for i := range records {
		record, changed := s.restore(&records[i], now)
		if record.Remaining <= 0 {
			journal.remove(record.Key)
			continue
		}
		if changed {
			// Without this write the retention would restart at each start of a process. No caller waits for
			// the write: if it fails, the next start repeats it.
			journal.put(record)
		}
		s.store.Import(s.now(), record)
	}
	s.journal = journal
	return nil
}

// restore converts a record of the previous process to its state at the current time, and reports whether the
// result differs from the record in the file. A run that was in progress may have run. The age of a record that
// has only a wall-clock time is unknown, so its retention starts now.
func (s *KeyStore) restore(stored *storedRecord, now bootclock.Reading) (record idempotency.Record, changed bool) {
	record = idempotency.Record{
		Key: stored.Key, Digest: stored.Digest, MayHaveRun: stored.MayHaveRun, Answer: stored.Answer,
		Remaining: now.Remaining(stored.Deadline), Retention: stored.Retention,
	}
	if stored.Running {
		record.MayHaveRun = true
		record.Answer = idempotency.Answer{Status: lostRunStatus, Trimmed: true}
	}
	if changed = stored.Running || stored.Span == 0; changed {
		record.Remaining = cmp.Or(stored.Retention, s.settings.Classes[stored.Key.Class].Retention, stored.Span, record.Remaining)
	}
	return record, changed
}

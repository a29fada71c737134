package store

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"

	"jasperpin/internal/boltfile"
	"jasperpin/internal/bootclock"
	"jasperpin/internal/idempotency"
)

const (
	// sweepInterval is the time between two sweeps. A sweep deletes the expired records in a part of the file;
	// until then they only cost disk space and start-up time.
	sweepInterval = time.Second
	// sweepRecords is the maximum number of records read in one sweep. It limits the duration of the
	// transaction.
	sweepRecords = 2000
)

// errJournalClosed means that the journal accepts no more writes.
var errJournalClosed = errors.New("the idempotency key file is closed")

// journal is the file of keys, whose records outlive the process. Writes that arrive while a transaction is in
// progress are committed together in the next one.
//
// It does not use Batch of bbolt, which does not define the order of two writes under one key.
type journal struct {
	db         *bbolt.DB
	clock      func() bootclock.Reading
	commits    atomic.Uint64  // number of transactions
	goroutines sync.WaitGroup // commitLoop and sweepLoop, which end after close
	stop       chan struct{}  // closed by close

	mu       sync.Mutex
	changed  *sync.Cond // signalled when queue or isClosed changes
	queue    []change   // in order of arrival
	isClosed bool
}

// change is one write to the file.
type change struct {
	name  []byte
	value []byte // nil to delete the record
	// onlyExpired deletes the record only if it is expired when the deletion is committed: a newer record may
	// have replaced it by then.
	onlyExpired bool
	done        chan error // has a buffer of one; nil if no caller waits
}

// openJournal opens a file and returns its records. It waits at most timeout for another process to release the
// file. Its error is that of boltfile.Open, or wraps boltfile.ErrDamaged.
func openJournal(path string, timeout time.Duration, openFile boltfile.OpenFile, clock func() bootclock.Reading) (*journal, []storedRecord, error) {
	db, err := boltfile.Open(path, timeout, openFile)
	if err != nil {
		return nil, nil, err
	}
	records, err := readRecords(db)
	if err != nil {
		_ = db.Close() // err is more useful than an error of Close
		return nil, nil, fmt.Errorf("reading idempotency keys from %s: %w", path, err)
	}
	j := &journal{db: db, clock: clock, stop: make(chan struct{})}
	j.changed = sync.NewCond(&j.mu)
	j.goroutines.Go(j.commitLoop)
	j.goroutines.Go(j.sweepLoop)
	return j, records, nil
}

// readRecords reads all records, and creates their bucket in a new file.
func readRecords(db *bbolt.DB) (records []storedRecord, err error) {
	err = db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return err
		}
		return b.ForEach(func(name, text []byte) error {
			r, err := decodeRecord(name, text)
			if err != nil {
				return fmt.Errorf("%w: %w", boltfile.ErrDamaged, err)
			}
			records = append(records, r)
			return nil
		})
	})
	return records, err
}

// put enqueues the write of a record. The channel receives the result once the record is durable or the write
// has failed.
func (j *journal) put(r idempotency.Record) <-chan error {
	done := make(chan error, 1)
	text, err := encodeRecord(r, j.clock())
	if err != nil {
		done <- fmt.Errorf("encoding the record of an idempotency key: %w", err)
		return done
	}
	j.enqueue(change{name: recordName(r.Key), value: text, done: done})
	return done
}

// remove enqueues the deletion of a record. No caller waits for it: if the record is not deleted, the key is
// only retained for longer.
func (j *journal) remove(k idempotency.Key) { j.enqueue(change{name: recordName(k)}) }

// enqueue adds a change to the queue. After close it fails the change with errJournalClosed.
func (j *journal) enqueue(c change) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.isClosed {
		if c.done != nil {
			c.done <- errJournalClosed
		}
		return
	}
	j.queue = append(j.queue, c)
	j.changed.Signal()
}

// commitLoop commits all enqueued changes in one transaction, in order, and repeats this until the journal is
// closed and the queue is empty.
func (j *journal) commitLoop() {
	for {
		changes := j.takeQueue()
		if len(changes) == 0 {
			return
		}
		err := j.commit(changes)
		j.commits.Add(1)
		for _, c := range changes {
			if c.done != nil {
				c.done <- err
			}
		}
	}
}

// takeQueue waits until the queue has changes, and removes and returns all of them. It returns none once the
// journal is closed and the queue is empty.
func (j *journal) takeQueue() []change {
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(j.queue) == 0 && !j.isClosed {
		j.changed.Wait()
	}
	changes := j.queue
	j.queue = nil
	return changes
}

// commit applies changes in one transaction.
func (j *journal) commit(changes []change) error {
	err := j.db.Update(func(tx *bbolt.Tx) error {
		b, now := tx.Bucket(bucketName), j.clock()
		for _, c := range changes {
			if err := c.apply(b, now); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("committing idempotency keys: %w", err)
	}
	return nil
}

// apply writes or deletes the record. Its error is that of bbolt.
func (c *change) apply(b *bbolt.Bucket, now bootclock.Reading) error {
	switch {
	case c.value != nil:
		return b.Put(c.name, c.value)
	case c.onlyExpired && !isExpired(b.Get(c.name), now):
		return nil
	}
	return b.Delete(c.name)
}

// sweepLoop deletes expired records, one part of the file at a time, until the journal is closed.
func (j *journal) sweepLoop() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	var from []byte
	for {
		select {
		case <-j.stop:
			return
		case <-t.C:
			from = j.sweep(from)
		}
	}
}

// sweep enqueues the deletion of expired records, starting at a record name. It returns the name at which the
// next sweep starts; nil means the beginning of the file.
func (j *journal) sweep(from []byte) (next []byte) {
	var deletions []change
	now := j.clock()
	// View fails only if the file is closed. A record that cannot be decoded counts as not expired and is not
	// deleted.
	_ = j.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketName).Cursor()
		count := 0
		for name, text := c.Seek(from); name != nil; name, text = c.Next() {
			if count++; count > sweepRecords {
				next = append(next, name...)
				break
			}
			if isExpired(text, now) {
				deletions = append(deletions, change{name: append([]byte(nil), name...), onlyExpired: true})
			}
		}
		return nil
	})
	for _, c := range deletions {
		j.enqueue(c)
	}
	return next
}

// close commits the enqueued changes, stops the goroutines and releases the file.
func (j *journal) close() {
	j.mu.Lock()
	j.isClosed = true
	j.changed.Signal()
	j.mu.Unlock()
	close(j.stop)
	j.goroutines.Wait()
	_ = j.db.Close() // every write that a caller waits for is durable
}

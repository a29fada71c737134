package store

import (
	"encoding/json"
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
	// sweepInterval is how often a part of the file is searched for expired records: they cost disk space
	// and start-up time, and nothing else.
	sweepInterval = time.Second
	// sweepRecords is the most records that one sweep reads, which bounds how long it holds a transaction.
	sweepRecords = 2000
)

// errJournalClosed says that the journal takes no further writes.
var errJournalClosed = errors.New("the file of idempotency keys is closed")

// journal is the file of keys: what is written to it outlives the process. Writes that come while another
// transaction is under way are committed together.
//
// Not bbolt's own Batch: it says nothing about the order of two writes under one key.
type journal struct {
	db         *bbolt.DB
	clock      func() bootclock.Reading
	commits    atomic.Uint64  // transactions
	goroutines sync.WaitGroup // commitLoop and sweepLoop, which end after close
	stop       chan struct{}  // closed by close

	mu       sync.Mutex
	changed  *sync.Cond // signalled as queue or closed changes
	queue    []change   // in the order in which they came
	isClosed bool
}

// change is one write to the file.
type change struct {
	name  []byte
	value []byte // nil to delete the record
	// onlyExpired deletes the record only if it is expired when its turn comes: another one may have taken
	// its place by then.
	onlyExpired bool
	done        chan error // has a buffer of one; nil where nobody waits
}

// openJournal opens a file and returns its records. It waits for another process to release the file, for
// timeout at most. Its error is that of boltfile.Open, or wraps boltfile.ErrDamaged.
func openJournal(path string, timeout time.Duration, openFile boltfile.OpenFile, clock func() bootclock.Reading) (*journal, []storedRecord, error) {
	db, err := boltfile.Open(path, timeout, openFile)
	if err != nil {
		return nil, nil, err
	}
	records, err := readRecords(db)
	if err != nil {
		_ = db.Close() // the error found matters more than one of closing
		return nil, nil, fmt.Errorf("reading the idempotency keys of %s: %w", path, err)
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
		return b.ForEach(func(_, text []byte) error {
			var r storedRecord
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("%w: %w", boltfile.ErrDamaged, err)
			}
			records = append(records, r)
			return nil
		})
	})
	return records, err
}

// put writes a record. The channel brings the result once the record is on the disk.
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

// remove deletes the record of a key. Nobody waits for it: a record that is found again is only remembered
// for longer.
func (j *journal) remove(k idempotency.Key) { j.enqueue(change{name: recordName(k)}) }

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

// commitLoop commits what has been enqueued meanwhile, in one transaction and in order, until the journal is
// closed and the queue empty.
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

// takeQueue waits for changes and takes them all. It returns none once the journal is closed.
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

// apply writes or deletes the record. Its error is bbolt's.
func (c *change) apply(b *bbolt.Bucket, now bootclock.Reading) error {
	switch {
	case c.value != nil:
		return b.Put(c.name, c.value)
	case c.onlyExpired && !isExpired(b.Get(c.name), now):
		return nil
	}
	return b.Delete(c.name)
}

// sweepLoop deletes expired records, a part of the file at a time, until the journal is closed.
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

// sweep enqueues the deletion of expired records, beginning at a name. It returns the name at which to go
// on; nil for the beginning of the file.
func (j *journal) sweep(from []byte) (next []byte) {
	var deletions []change
	now := j.clock()
	// View fails on a closed file alone; a record that cannot be decoded is not expired, and stays.
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

// close commits what is enqueued, ends the goroutines and releases the file.
func (j *journal) close() {
	j.mu.Lock()
	j.isClosed = true
	j.changed.Signal()
	j.mu.Unlock()
	close(j.stop)
	j.goroutines.Wait()
	_ = j.db.Close() // all that anybody waits for is on the disk
}

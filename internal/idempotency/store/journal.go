package store

import (
	"crypto/sha256"
	"encoding/binary"
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
	// sweepEvery and sweepMost are how often, and how many records at a time, the file is
	// looked through for those whose time is over.
	sweepEvery = time.Second
	sweepMost  = 2000
)

var (
	bucket = []byte("keys-1") // of this form of records
	// errClosed says that the file takes nothing any more.
	errClosed = errors.New("the file of keys is closed")
)

// kept is a key as it stands in the file.
type kept struct {
	Key     idempotency.Key    `json:"Key"`
	Digest  idempotency.Digest `json:"Digest"`
	Running bool               `json:"Running,omitempty"`
	Unknown bool               `json:"Unknown,omitempty"`
	Answer  idempotency.Answer `json:"Answer,omitzero"`
	bootclock.Deadline
}

// over says whether a record's time has passed. One that runs may take longer than its class
// keeps answers, and one that knows the wall clock alone is written anew as the file is opened.
func (k *kept) over(now bootclock.Reading) bool {
	return !k.Running && k.Span > 0 && now.Left(k.Deadline) <= 0
}

// journal is the file of keys: what is written to it outlives the process. Writes of one
// moment go to the disk together.
type journal struct {
	db      *bbolt.DB
	clock   func() bootclock.Reading
	commits atomic.Uint64
	ended   sync.WaitGroup
	stop    chan struct{}

	mu     sync.Mutex
	some   *sync.Cond
	todo   []change
	closed bool
}

// change is one write, in the order in which they came; one without a value deletes, and one
// that expires deletes only a record whose time is over when its turn comes: another may stand
// there by then.
type change struct {
	key, value []byte
	expires    bool
	done       chan error // nil where nobody waits
}

// openJournal opens a file that no other process has, and gives what is in it.
func openJournal(path string, wait time.Duration, openFile boltfile.OpenFile, clock func() bootclock.Reading) (*journal, []kept, error) {
	db, err := boltfile.Open(path, wait, openFile)
	if err != nil {
		return nil, nil, err
	}
	j := &journal{db: db, clock: clock, stop: make(chan struct{})}
	j.some = sync.NewCond(&j.mu)
	var all []kept
	err = db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		return b.ForEach(func(_, text []byte) error {
			var k kept
			if err := json.Unmarshal(text, &k); err != nil {
				return fmt.Errorf("%w: %w", boltfile.ErrDamaged, err)
			}
			all = append(all, k)
			return nil
		})
	})
	if err != nil {
		_ = db.Close() // the error found goes before one of closing
		return nil, nil, fmt.Errorf("reading the file of keys: %w", err)
	}
	j.ended.Go(j.commit)
	j.ended.Go(j.sweep)
	return j, all, nil
}

// name is a key's in the file.
func name(k idempotency.Key) []byte {
	h := sha256.New()
	for _, s := range []string{k.Tenant, k.Class, k.Text} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return h.Sum(nil)
}

// encode gives a record as it stands in the file.
func encode(r idempotency.Record, now bootclock.Reading) ([]byte, error) {
	return json.Marshal(kept{r.Key, r.Digest, r.Running, r.Unknown, r.Answer, now.In(r.Left)})
}

// put has a key written; the channel brings what became of it once it is on the disk.
func (j *journal) put(r idempotency.Record) <-chan error {
	done := make(chan error, 1)
	text, err := encode(r, j.clock())
	if err != nil {
		done <- err
		return done
	}
	j.add(change{key: name(r.Key), value: text, done: done})
	return done
}

// forget has a key deleted. Nobody waits: one that is found again is only remembered for
// longer.
func (j *journal) forget(k idempotency.Key) { j.add(change{key: name(k)}) }

func (j *journal) add(c change) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		if c.done != nil {
			c.done <- errClosed
		}
		return
	}
	j.todo = append(j.todo, c)
	j.some.Signal()
}

// commit writes what has come meanwhile, at once and in order, over and over.
func (j *journal) commit() {
	for {
		j.mu.Lock()
		for len(j.todo) == 0 && !j.closed {
			j.some.Wait()
		}
		todo := j.todo
		j.todo = nil
		j.mu.Unlock()
		if len(todo) == 0 {
			return
		}
		err := j.db.Update(func(tx *bbolt.Tx) error {
			b, now := tx.Bucket(bucket), j.clock()
			for _, c := range todo {
				if err := write(b, c, now); err != nil {
					return err
				}
			}
			return nil
		})
		j.commits.Add(1)
		for _, c := range todo {
			if c.done != nil {
				c.done <- err
			}
		}
	}
}

func write(b *bbolt.Bucket, c change, now bootclock.Reading) error {
	switch {
	case c.value != nil:
		return b.Put(c.key, c.value)
	case c.expires && !over(b.Get(c.key), now):
		return nil
	}
	return b.Delete(c.key)
}

// over says whether there is a record whose time has passed.
func over(text []byte, now bootclock.Reading) bool {
	var k kept
	return text != nil && json.Unmarshal(text, &k) == nil && k.over(now)
}

// sweep deletes the records whose time is over, a part of the file at a time.
func (j *journal) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	var from []byte
	for {
		select {
		case <-j.stop:
			return
		case <-t.C:
			from = j.expire(from)
		}
	}
}

// expire has records deleted from a place on, and says where to go on.
func (j *journal) expire(from []byte) (next []byte) {
	var old []change
	now := j.clock()
	_ = j.db.View(func(tx *bbolt.Tx) error { // what cannot be read now is read again
		c := tx.Bucket(bucket).Cursor()
		n := 0
		for k, text := c.Seek(from); k != nil; k, text = c.Next() {
			if n++; n > sweepMost {
				next = append(next, k...)
				break
			}
			if over(text, now) {
				old = append(old, change{key: append([]byte(nil), k...), expires: true})
			}
		}
		return nil
	})
	for _, c := range old {
		j.add(c)
	}
	return next
}

// close writes what is left, and lets go of the file.
func (j *journal) close() {
	j.mu.Lock()
	j.closed = true
	j.some.Signal()
	j.mu.Unlock()
	close(j.stop)
	j.ended.Wait()
	_ = j.db.Close() // all that was waited for is on the disk
}

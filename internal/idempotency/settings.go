package idempotency

import (
	"errors"
	"fmt"
	"time"
)

// Class is how the keys of one class of requests are treated.
type Class struct {
	Retention        time.Duration // how long an answer is retained: the promise to clients
	MaxRunTime       time.Duration // how long a run may take; after it its process counts as gone
	RejectConcurrent bool          // a repeat during the run is Busy, and does not wait
	RunWhenFull      bool          // where there is no room the request runs unprotected
}

// Settings bound a Store.
type Settings struct {
	MaxKeys  int   // most keys
	MaxBytes int64 // most bytes of keys and answers, as the Store counts them
	// TenantShare is the part of either that one tenant may have, above 0 and up to 1.
	TenantShare    float64
	MaxAnswerBytes int              // most bytes of an answer whose body is kept
	MaxWaiters     int              // most requests that wait for one run
	FirstTicket    Ticket           // the ticket before the first one; see New
	Classes        map[string]Class // by name
}

// entryOverheadBytes is what an entry takes in memory besides its texts and answer: the entry itself, its
// places in the maps and the expiry queue.
const entryOverheadBytes = 512

// Why settings cannot be used.
var (
	errBadBounds = errors.New("want at least one key and its bytes, a tenant's share above 0 and up to 1, no bound below 0")
	errBadClass  = errors.New("want a retention and a longest run above 0")
)

// check says why settings cannot be used. Its error wraps errBadBounds or errBadClass.
func (set *Settings) check() error {
	badShare := set.TenantShare <= 0 || set.TenantShare > 1
	if set.MaxKeys < 1 || set.MaxBytes < entryOverheadBytes || badShare || set.MaxAnswerBytes < 0 || set.MaxWaiters < 0 {
		return fmt.Errorf("idempotency: %w", errBadBounds)
	}
	for name, c := range set.Classes {
		if c.Retention <= 0 || c.MaxRunTime <= 0 {
			return fmt.Errorf("idempotency: class %q with retention %v and longest run %v: %w", name, c.Retention, c.MaxRunTime, errBadClass)
		}
	}
	return nil
}

package idempotency

import (
	"errors"
	"fmt"
	"time"
)

// Class configures the keys of one class of requests.
type Class struct {
	Retention        time.Duration // how long an answer is retained, as promised to clients
	MaxRunTime       time.Duration // maximum duration of a run; its process is considered failed after that
	RejectConcurrent bool          // a repeat during the run is Busy and does not wait
	RunWhenFull      bool          // a request runs unprotected if there is no room for its key
}

// Settings configure a Store.
type Settings struct {
	MaxKeys  int   // maximum number of keys
	MaxBytes int64 // maximum size of all keys and answers, as the Store counts it
	// TenantShare is the fraction of MaxKeys and of MaxBytes that one tenant may use: above 0, at most 1.
	TenantShare    float64
	MaxAnswerBytes int              // maximum size of a stored answer body
	MaxWaiters     int              // maximum number of requests that wait for one run
	FirstTicket    Ticket           // number before the first ticket; see New
	Classes        map[string]Class // by name
}

// entryOverheadBytes is the memory that an entry uses besides its texts and answer: the entry itself, and its
// slots in the maps and the expiry heap.
const entryOverheadBytes = 512

// Errors of Settings.check.
var (
	errInvalidLimits = errors.New("want room for at least one key, a tenant share above 0 and at most 1, and no negative limit")
	errInvalidClass  = errors.New("want a positive retention and maximum run time")
)

// check returns an error that wraps errInvalidLimits or errInvalidClass if the settings are invalid.
func (set *Settings) check() error {
	badShare := set.TenantShare <= 0 || set.TenantShare > 1
	if set.MaxKeys < 1 || set.MaxBytes < entryOverheadBytes || badShare || set.MaxAnswerBytes < 0 || set.MaxWaiters < 0 {
		return fmt.Errorf("idempotency: %w", errInvalidLimits)
	}
	for name, c := range set.Classes {
		if c.Retention <= 0 || c.MaxRunTime <= 0 {
			return fmt.Errorf("idempotency: class %q with retention %v and maximum run time %v: %w", name, c.Retention, c.MaxRunTime, errInvalidClass)
		}
	}
	return nil
}

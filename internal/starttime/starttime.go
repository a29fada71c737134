// Package starttime converts the start times of servers to the caller's clock. Endpoint lists contain
// start times by the wall clock of another machine, which may be ahead or behind by any amount. The
// package does no I/O and reads no clock.
package starttime

import "time"

// ListDelay is the maximum delay of an endpoint list.
const ListDelay = 6 * time.Second

// Tracker stores the start times of the servers of an endpoint list. The zero value is an empty Tracker.
// It is not safe for concurrent use.
type Tracker struct {
	starts    map[string]start // by server name
	confirmed time.Duration    // when the last update from discovery was applied; 0 for none yet
}

// start is the start time of one server, as listed and as converted.
type start struct {
	listedMS  float64 // Unix time, in milliseconds
	startedAt time.Duration
}

// StartedAt returns the start time of a listed server on the caller's clock, whose origin is the Unix
// epoch. A listed time of 0 means that the server started long ago; the result is then 0. The first
// result for a listed time is stored, so that a later list does not change it.
//
// The result is never after now. It is also never earlier than ListDelay before the last confirmed list
// that did not contain the start: if the listed time is, one of the clocks is wrong, and the server
// counts as started now. A server that was already running before it was listed then gets little load for
// the duration of a slow start. Before the first confirmed list, StartedAt relies on the clocks alone.
func (t *Tracker) StartedAt(now time.Duration, name string, listedMS float64) time.Duration {
	if listedMS == 0 {
		delete(t.starts, name)
		return 0
	}
	if known, ok := t.starts[name]; ok && known.listedMS == listedMS {
		return known.startedAt
	}
	startedAt := min(now, time.Duration(listedMS*float64(time.Millisecond)))
	if t.confirmed > 0 && startedAt < t.confirmed-ListDelay {
		startedAt = now
	}
	t.set(name, listedMS, startedAt)
	return startedAt
}

// Restore stores a server's start time as a previous process of this node had stored it.
func (t *Tracker) Restore(name string, listedMS float64, startedAt time.Duration) {
	t.set(name, listedMS, startedAt)
}

func (t *Tracker) set(name string, listedMS float64, startedAt time.Duration) {
	if t.starts == nil {
		t.starts = make(map[string]start)
	}
	t.starts[name] = start{listedMS, startedAt}
}

// ConfirmList records that an update from discovery, a complete list or a delta, has been applied in full at now.
// Servers that the endpoint list does not contain after the update had not started ListDelay before.
func (t *Tracker) ConfirmList(now time.Duration) { t.confirmed = max(t.confirmed, now) }

// Forget deletes a server's start time.
func (t *Tracker) Forget(name string) { delete(t.starts, name) }

// Package starttime says when servers started, on the clock of the caller. Endpoint lists give it by the
// wall clock of another machine, which may be ahead or behind by any amount. The package is pure.
package starttime

import "time"

// ListDelay is by how much an endpoint list may be behind what it describes.
const ListDelay = 6 * time.Second

// Tracker holds when the servers of an endpoint list started. The zero Book knows none. It is not safe for
// concurrent use.
type Tracker struct {
	starts    map[string]start // by the server's name
	confirmed time.Duration    // when the newest list from discovery was taken over; 0 for none yet
}

// start is the start of one server, as the list gives it and as it counts.
type start struct {
	listedMS  float64 // Unix time, in milliseconds
	startedAt time.Duration
}

// StartedAt returns when a server that is listed now started, on the caller's clock, whose origin is the Unix
// epoch. The result is 0 for a server that started long ago, which the list gives as 0. The first result
// for a start stands, so that a later list does not move it.
//
// The result is never after now. Nor is it before the lists that did not have the start yet, but for their
// delay: where the listed time says so one of the clocks is wrong, and the server counts as started now.
// One that had been running before it was listed then gets little load for as long as a slow start takes.
// Before the first confirmed list there is nothing but the clocks to go by.
func (b *Tracker) StartedAt(now time.Duration, name string, listedMS float64) time.Duration {
	if listedMS == 0 {
		delete(b.starts, name)
		return 0
	}
	if s, ok := b.starts[name]; ok && s.listedMS == listedMS {
		return s.startedAt
	}
	startedAt := min(now, time.Duration(listedMS*float64(time.Millisecond)))
	if b.confirmed > 0 && startedAt < b.confirmed-ListDelay {
		startedAt = now
	}
	b.set(name, listedMS, startedAt)
	return startedAt
}

// Restore takes over when a server started, as a former process of this node knew it.
func (b *Tracker) Restore(name string, listedMS float64, startedAt time.Duration) {
	b.set(name, listedMS, startedAt)
}

func (b *Tracker) set(name string, listedMS float64, startedAt time.Duration) {
	if b.starts == nil {
		b.starts = make(map[string]start)
	}
	b.starts[name] = start{listedMS, startedAt}
}

// ConfirmList notes that a list from discovery has been taken over completely: what it did not have had not
// started, but for the list's delay.
func (b *Tracker) ConfirmList(now time.Duration) { b.confirmed = max(b.confirmed, now) }

// Forget forgets a server.
func (b *Tracker) Forget(name string) { delete(b.starts, name) }

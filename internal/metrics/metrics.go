// Package metrics counts what a process has done, by class of request, and writes the
// counts in the form that operators read.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/acceptor"
	"jasperpin/internal/invariant"
)

// Class counts one class of requests. Its fields are counted up where the thing
// happens: a request when its answer has gone out, an attempt when its last byte is
// written.
type Class struct {
	Fulfilled, Throttled, Faulted, Relayed atomic.Uint64
}

// maxClasses bounds the classes kept over all configurations.
const maxClasses = 1024

// Registry is the figures of a process. A class stays once it is named, so that what a
// retuning drops stays in the totals.
type Registry struct {
	Open              atomic.Int64 // requests taken and not ended
	Accepted, Invalid atomic.Uint64
	Repeats           Repeats
	Broken            *invariant.Counts // of promises; nil for none

	keys    atomic.Pointer[KeyUsage]
	mu      sync.RWMutex
	classes map[string]*Class
	rest    Class // of classes beyond the bound
}

// Repeats counts the requests that came under a key of another: those that got its answer
// and, of them, those that waited for it; those that were another request, that could not
// wait, for whose key there was no room, and that ran without one for that.
type Repeats struct {
	Answered, Waited, Mismatched, Busy, Full, Passed atomic.Uint64
}

// KeyUsage tells how many keys are held, the bytes that they count for, and how often their file
// has been written.
type KeyUsage interface {
	Held() (entries int, bytes int64)
	Commits() uint64
}

// Keys has the board tell of keys, from the first call on.
func (b *Registry) Keys(h KeyUsage) { b.keys.CompareAndSwap(nil, &h) }

// New makes a board on which nothing is counted yet.
func New() *Registry { return &Registry{classes: make(map[string]*Class)} }

// Class gives a class's counters by its name.
func (b *Registry) Class(name string) *Class {
	b.mu.RLock()
	c := b.classes[name]
	b.mu.RUnlock()
	if c != nil {
		return c
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c = b.classes[name]; c != nil {
		return c
	}
	if len(b.classes) >= maxClasses {
		return &b.rest
	}
	c = &Class{}
	b.classes[name] = c
	return c
}

// Ended is how many requests have had their answer, of whatever kind.
func (b *Registry) Ended() (n uint64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, c := range b.classes {
		n += c.Fulfilled.Load() + c.Throttled.Load() + c.Faulted.Load()
	}
	return n
}

// Servers are the figures about the lists of servers, and what the pools that have them were held up by.
type Servers struct {
	Listed, Out int
	// LongestHold is the longest that a pool's lock was held, LatestTimer by how much a timer ran
	// late. They are written from delayTold on.
	LongestHold, LatestTimer time.Duration
}

// delayTold is the shortest delay that is written.
const delayTold = 10 * time.Millisecond

// Write writes all figures, one a line.
func (b *Registry) Write(w io.Writer, s Servers) error {
	b.mu.RLock()
	names := slices.Sorted(maps.Keys(b.classes))
	classes := make([]*Class, len(names))
	for i, n := range names {
		classes[i] = b.classes[n]
	}
	b.mu.RUnlock()
	for i, c := range classes {
		for _, f := range []struct {
			name string
			n    uint64
		}{{"fulfilled", c.Fulfilled.Load()}, {"throttled", c.Throttled.Load()}, {"faulted", c.Faulted.Load()}, {"relayed", c.Relayed.Load()}} {
			if _, err := fmt.Fprintf(w, "svc.%s.%s=%d\n", f.name, names[i], f.n); err != nil {
				return fmt.Errorf("writing figures: %w", err)
			}
		}
	}
	_, err := fmt.Fprintf(w, "svc.open_requests=%d\nsvc.registry_entries=%d\nsvc.out_of_rotation=%d\nsvc.cfg_accepted=%d\nsvc.cfg_invalid=%d\n",
		b.Open.Load(), s.Listed, s.Out, b.Accepted.Load(), b.Invalid.Load())
	for _, d := range []struct {
		name string
		span time.Duration
	}{{"longest_hold_ms", s.LongestHold}, {"latest_timer_ms", s.LatestTimer}} {
		if d.span >= delayTold && err == nil {
			_, err = fmt.Fprintf(w, "node.%s=%d\n", d.name, d.span.Milliseconds())
		}
	}
	if h := b.keys.Load(); h != nil && err == nil {
		entries, bytes := (*h).Held()
		r := &b.Repeats
		_, err = fmt.Fprintf(w, "keys.held=%d\nkeys.bytes=%d\nkeys.answered=%d\nkeys.waited=%d\nkeys.mismatched=%d\nkeys.busy=%d\nkeys.full=%d\nkeys.passed=%d\nkeys.commits=%d\n",
			entries, bytes, r.Answered.Load(), r.Waited.Load(), r.Mismatched.Load(), r.Busy.Load(), r.Full.Load(), r.Passed.Load(), (*h).Commits())
	}
	if err == nil {
		err = b.Broken.Write(w)
	}
	if n := acceptor.Failures(); n > 0 && err == nil {
		_, err = fmt.Fprintf(w, "node.accept_failures=%d\n", n)
	}
	if err != nil {
		return fmt.Errorf("writing figures: %w", err)
	}
	return nil
}

// Package metrics counts what a process has done, by class of request, and writes the counts in the form that
// operators read: one "name=number" a line. The names in that form are fixed; operators' tools read them.
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

// Class counts one class of requests: a request when its answer has been written, an attempt when its last byte
// is. Any goroutine may count.
type Class struct {
	Served    atomic.Uint64 // requests answered by a server
	Rejected  atomic.Uint64 // requests rejected
	Failed    atomic.Uint64 // requests failed
	Forwarded atomic.Uint64 // attempts forwarded
}

// maxClasses bounds the classes counted by name over all configurations: a process may live through any number
// of reloads.
const maxClasses = 1024

// Registry is the metrics of a process. A class stays once it is named, so that what a reload drops stays in the
// totals.
type Registry struct {
	OpenRequests                    atomic.Int64  // requests received and not ended
	ConfigsAccepted, ConfigsInvalid atomic.Uint64 // configurations that were applied, or rejected
	Repeats                         Repeats
	Violations                      *invariant.Counts // nil for none

	keys atomic.Pointer[KeyUsage] // nil until set

	mu      sync.RWMutex // guards classes
	classes map[string]*Class
	rest    Class // of classes beyond maxClasses
}

// Repeats counts the requests that came under an idempotency key of an earlier one.
type Repeats struct {
	Answered      atomic.Uint64 // got the earlier one's answer
	Waited        atomic.Uint64 // of these, waited for it
	Mismatched    atomic.Uint64 // were another request under the same key
	Busy          atomic.Uint64 // could not wait
	StoreFull     atomic.Uint64 // were rejected, as there was no capacity for their key
	RanWithoutKey atomic.Uint64 // ran without a key, as there was no capacity for it
}

// KeyUsage says how many idempotency keys are held, the bytes that they count for, and how often their file has
// been written.
type KeyUsage interface {
	Usage() (entries int, bytes int64)
	Commits() uint64
}

// New makes a registry that has counted nothing.
func New() *Registry { return &Registry{classes: make(map[string]*Class)} }

// SetKeyUsage has the registry report a key store. Only the first call counts.
func (r *Registry) SetKeyUsage(usage KeyUsage) { r.keys.CompareAndSwap(nil, &usage) }

// Class gives a class's counters by its name.
func (r *Registry) Class(name string) *Class {
	r.mu.RLock()
	c := r.classes[name]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c = r.classes[name]; c != nil {
		return c
	}
	if len(r.classes) >= maxClasses {
		return &r.rest
	}
	c = &Class{}
	r.classes[name] = c
	return c
}

// EndedRequests is how many requests have had their answer, of whatever kind.
func (r *Registry) EndedRequests() (n uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, c := range r.classes {
		n += c.Served.Load() + c.Rejected.Load() + c.Failed.Load()
	}
	return n
}

// Servers are the metrics of the endpoint lists, and the delays of the pools that have them.
type Servers struct {
	Listed, Avoided int
	// LongestLockHold is the longest that a pool's lock was held, LongestTimerDelay by how much a timer ran late.
	// They are written from minDelayWritten on.
	LongestLockHold, LongestTimerDelay time.Duration
}

// minDelayWritten is the shortest delay that is written: shorter ones are usual on a busy machine. It is the
// same as delayLogThreshold in core.
const minDelayWritten = 10 * time.Millisecond

// Write writes all metrics, one a line.
func (r *Registry) Write(w io.Writer, servers Servers) error {
	for _, write := range []func(io.Writer) error{
		r.writeClasses,
		func(w io.Writer) error { return r.writeProcess(w, servers) },
		servers.writeDelays,
		r.writeKeys,
		r.Violations.Write,
		writeAcceptFailures,
	} {
		if err := write(w); err != nil {
			return fmt.Errorf("writing metrics: %w", err)
		}
	}
	return nil
}

func (r *Registry) writeClasses(w io.Writer) error {
	r.mu.RLock()
	names := slices.Sorted(maps.Keys(r.classes))
	classes := make([]*Class, len(names))
	for i, name := range names {
		classes[i] = r.classes[name]
	}
	r.mu.RUnlock()
	for i, c := range classes {
		_, err := fmt.Fprintf(w, "svc.fulfilled.%[1]s=%[2]d\nsvc.throttled.%[1]s=%[3]d\nsvc.faulted.%[1]s=%[4]d\nsvc.relayed.%[1]s=%[5]d\n",
			names[i], c.Served.Load(), c.Rejected.Load(), c.Failed.Load(), c.Forwarded.Load())
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Registry) writeProcess(w io.Writer, servers Servers) error {
	_, err := fmt.Fprintf(w, "svc.open_requests=%d\nsvc.registry_entries=%d\nsvc.out_of_rotation=%d\nsvc.cfg_accepted=%d\nsvc.cfg_invalid=%d\n",
		r.OpenRequests.Load(), servers.Listed, servers.Avoided, r.ConfigsAccepted.Load(), r.ConfigsInvalid.Load())
	return err
}

func (s Servers) writeDelays(w io.Writer) error {
	for _, delay := range []struct {
		name     string
		duration time.Duration
	}{{"longest_hold_ms", s.LongestLockHold}, {"latest_timer_ms", s.LongestTimerDelay}} {
		if delay.duration < minDelayWritten {
			continue
		}
		if _, err := fmt.Fprintf(w, "node.%s=%d\n", delay.name, delay.duration.Milliseconds()); err != nil {
			return err
		}
	}
	return nil
}

func (r *Registry) writeKeys(w io.Writer) error {
	usage := r.keys.Load()
	if usage == nil {
		return nil
	}
	entries, bytes := (*usage).Usage()
	n := &r.Repeats
	_, err := fmt.Fprintf(w, "keys.held=%d\nkeys.bytes=%d\nkeys.answered=%d\nkeys.waited=%d\nkeys.mismatched=%d\nkeys.busy=%d\nkeys.full=%d\nkeys.passed=%d\nkeys.commits=%d\n",
		entries, bytes, n.Answered.Load(), n.Waited.Load(), n.Mismatched.Load(), n.Busy.Load(), n.StoreFull.Load(), n.RanWithoutKey.Load(), (*usage).Commits())
	return err
}

func writeAcceptFailures(w io.Writer) error {
	n := acceptor.Failures()
	if n == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "node.accept_failures=%d\n", n)
	return err
}

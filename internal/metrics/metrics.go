// Package metrics counts the requests and attempts of a process by class of request, and writes the counts in
// the format that operators read: one "name=number" per line. The names are part of the operators' interface
// and must not change.
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

// Class contains the counters of one class of requests. A request is counted when its answer has been written, an
// attempt when its last byte has been written. The counters may be used from any goroutine.
type Class struct {
	Served    atomic.Uint64 // requests answered by a server
	Rejected  atomic.Uint64 // requests rejected
	Failed    atomic.Uint64 // requests failed
	Forwarded atomic.Uint64 // attempts forwarded
}

// maxClasses limits the number of classes counted by name over all configurations: a process may go through any
// number of reloads.
const maxClasses = 1024

// Registry holds the metrics of a process. A class is never removed, so that classes that a reload removes
// remain in the totals. Create it with New. Its methods may be called from any goroutine.
type Registry struct {
	OpenRequests                    atomic.Int64  // requests received and not yet answered
	ConfigsAccepted, ConfigsInvalid atomic.Uint64 // configurations applied, and rejected
	Repeats                         Repeats
	Admission                       Admission
	Violations                      *invariant.Counts // nil if violations are not counted

	keys atomic.Pointer[KeyUsage] // nil until set

	mu       sync.RWMutex // guards classes
	classes  map[string]*Class
	overflow Class // all classes beyond maxClasses
}

// Repeats counts the requests whose idempotency key had been used by an earlier request, or could not be
// stored.
type Repeats struct {
	Answered      atomic.Uint64 // repeats answered with the answer to the first request
	Waited        atomic.Uint64 // those of Answered that waited for it
	Mismatched    atomic.Uint64 // different requests with the same key
	Busy          atomic.Uint64 // repeats that could not wait
	StoreFull     atomic.Uint64 // requests rejected because there was no capacity for their key
	RanWithoutKey atomic.Uint64 // requests that ran without a key because there was no capacity for it
}

// Admission counts what a node had no room for, and what it ended to make room.
type Admission struct {
	HeadsRejected    atomic.Uint64 // requests rejected as there was no memory for their long head
	BodiesRejected   atomic.Uint64 // requests rejected as there was no memory for their body
	UploadsRejected  atomic.Uint64 // requests rejected as there was no room to stream their body
	AnswersDropped   atomic.Uint64 // answers of servers that there was no room to forward
	AnswersBrokenOff atomic.Uint64 // answers that were broken off for others, as their clients accepted nothing
	ConnsEvicted     atomic.Uint64 // connections closed for new ones
	AnswersNotStored atomic.Uint64 // short answers forwarded as they arrived, as there was no memory to store them
	ReserveUsed      atomic.Uint64 // descriptors in reserve that were closed for connections
}

// write writes the counts that are not 0.
func (a *Admission) write(w io.Writer) error {
	for _, count := range []struct {
		name  string
		value *atomic.Uint64
	}{
		{"rejected_heads", &a.HeadsRejected}, {"rejected_bodies", &a.BodiesRejected}, {"rejected_uploads", &a.UploadsRejected},
		{"dropped_answers", &a.AnswersDropped}, {"broken_off_answers", &a.AnswersBrokenOff}, {"evicted_connections", &a.ConnsEvicted},
		{"unstored_answers", &a.AnswersNotStored}, {"reserve_descriptors", &a.ReserveUsed},
	} {
		n := count.value.Load()
		if n == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "node.%s=%d\n", count.name, n); err != nil {
			return err
		}
	}
	return nil
}

// KeyUsage reports the number of stored idempotency keys, their size in bytes, and the number of commits to
// their file.
type KeyUsage interface {
	Usage() (entries int, bytes int64)
	Commits() uint64
}

// New returns a registry in which all counts are 0.
func New() *Registry { return &Registry{classes: make(map[string]*Class)} }

// SetKeyUsage makes the registry report the usage of a key store. Only the first call has an effect.
func (r *Registry) SetKeyUsage(usage KeyUsage) { r.keys.CompareAndSwap(nil, &usage) }

// Class returns the counters of a class by its name. All classes beyond maxClasses share one set of counters,
// which is not written.
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
		return &r.overflow
	}
	c = &Class{}
	r.classes[name] = c
	return c
}

// AnsweredRequests returns the number of requests that have been answered, with any result.
func (r *Registry) AnsweredRequests() (n uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, c := range r.classes {
		n += c.Served.Load() + c.Rejected.Load() + c.Failed.Load()
	}
	return n
}

// Servers contains the metrics of the endpoint lists and the delays of the pools that use them.
type Servers struct {
	Listed, OutOfRotation int
	// LongestLockHold is the longest time for which a pool's lock was held, and LongestTimerDelay the longest
	// delay of a timer. Delays below minDelayWritten are not written.
	LongestLockHold, LongestTimerDelay time.Duration
}

// minDelayWritten is the shortest delay that is written: shorter ones are usual on a busy machine. It equals
// delayLogThreshold in core.
const minDelayWritten = 10 * time.Millisecond

// Write writes all metrics, one per line. Its error wraps the error of w.
func (r *Registry) Write(w io.Writer, servers Servers) error {
	for _, write := range []func(io.Writer) error{
		r.writeClasses,
		func(w io.Writer) error { return r.writeProcess(w, servers) },
		servers.writeDelays,
		r.writeKeys,
		r.Admission.write,
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
		r.OpenRequests.Load(), servers.Listed, servers.OutOfRotation, r.ConfigsAccepted.Load(), r.ConfigsInvalid.Load())
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

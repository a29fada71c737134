package httpserver

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/limit"
)

const (
	// memoryWait is how long a part of a request waits for its memory. It keeps its connection meanwhile.
	memoryWait = time.Second
	// crowdedMemoryWait is that time while all connections are in use: other clients wait for one.
	crowdedMemoryWait = 100 * time.Millisecond
	// unknownClientTime is how long a client is assumed to wait whose timeout has not been read.
	unknownClientTime = 250 * time.Millisecond
)

// requestMemory admits what requests need beyond their connections: limit.RequestMemory with a lock, and with requests
// that wait.
type requestMemory struct {
	mu      sync.Mutex
	budget  *limit.RequestMemory
	waiters []*memoryWaiter // in order of arrival
	crowded func() bool     // reports whether all connections are in use
	ending  <-chan struct{} // closed when all waits have to end; nil for never
}

// wait returns how long a part of a request may wait whose client waits for clientTime at least: the request is rejected
// before that time is over.
func (m *requestMemory) wait(clientTime time.Duration) time.Duration {
	if m.crowded() {
		return min(crowdedMemoryWait, clientTime)
	}
	return min(memoryWait, clientTime)
}

// memoryHold is what the parts of one request, or an answer, have taken from a requestMemory. It is released once all of
// its holders have ended.
type memoryHold struct {
	memory  *requestMemory
	need    limit.RequestNeed
	holders atomic.Int32
}

// begin begins the hold of one holder, which has taken a need.
func (h *memoryHold) begin(memory *requestMemory, need limit.RequestNeed) {
	h.memory, h.need = memory, need
	h.holders.Store(1)
}

// share adds a holder. It must not be called after the last holder has ended.
func (h *memoryHold) share() { h.holders.Add(1) }

// end ends one holder.
func (h *memoryHold) end() {
	if h.holders.Add(-1) == 0 {
		h.memory.release(h.need)
	}
}

// answerMemory is the memory of one answer. It implements core.AnswerMemory.
type answerMemory struct {
	memory  *requestMemory
	refused *atomic.Uint64 // counts the answers that found no memory
	taken   limit.RequestNeed
}

// Take takes memory for n more bytes of the answer.
func (a *answerMemory) Take(n int) bool {
	need := limit.AnswerNeed(n)
	if !a.memory.take(need) {
		a.refused.Add(1) // the answer is stored no further
		return false
	}
	a.taken = a.taken.Add(need)
	return true
}

// Release releases all that has been taken.
func (a *answerMemory) Release() {
	a.memory.release(a.taken)
	a.taken = limit.RequestNeed{}
}

// memoryWaiter is a request that waits for a need.
type memoryWaiter struct {
	need    limit.RequestNeed
	granted chan struct{} // closed when the need has been taken
}

// resize derives the totals from the machine. What is in use stays in use.
func (m *requestMemory) resize(machine limit.Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Resize(machine)
	m.grantWaiters()
}

// take takes a need, and reports whether it has.
func (m *requestMemory) take(need limit.RequestNeed) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Take(need)
}

// acquire takes a need, and waits for it until timeout has passed, or ended or ending is closed. It reports whether it has
// taken the need.
func (m *requestMemory) acquire(need limit.RequestNeed, timeout time.Duration, ended <-chan struct{}) bool {
	waiter := m.enqueue(need)
	if waiter == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-waiter.granted:
		return true
	case <-timer.C:
	case <-ended:
	case <-m.ending:
	}
	return !m.cancelWait(waiter)
}

// isEnding reports whether all waits have to end.
func (m *requestMemory) isEnding() bool {
	select {
	case <-m.ending:
		return true
	default:
		return false
	}
}

// enqueue takes a need and returns nil, or returns a waiter for it.
func (m *requestMemory) enqueue(need limit.RequestNeed) *memoryWaiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget.Take(need) {
		return nil
	}
	waiter := &memoryWaiter{need, make(chan struct{})}
	m.waiters = append(m.waiters, waiter)
	return waiter
}

// cancelWait removes a waiter. It returns false if the waiter has already been granted its need.
func (m *requestMemory) cancelWait(waiter *memoryWaiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.Index(m.waiters, waiter)
	if i < 0 {
		return false
	}
	m.waiters = slices.Delete(m.waiters, i, i+1)
	return true
}

// grow takes n more bytes for a body that may be streamed and has already taken held bytes.
func (m *requestMemory) grow(held, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Grow(held, n)
}

// release releases what has been taken.
func (m *requestMemory) release(need limit.RequestNeed) {
	if need == (limit.RequestNeed{}) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(need)
	m.grantWaiters()
}

// grantWaiters grants what is free to waiters in order. One whose need does not fit does not block later ones. The
// caller holds mu.
func (m *requestMemory) grantWaiters() {
	m.waiters = slices.DeleteFunc(m.waiters, func(waiter *memoryWaiter) bool {
		if !m.budget.Take(waiter.need) {
			return false
		}
		close(waiter.granted)
		return true
	})
}

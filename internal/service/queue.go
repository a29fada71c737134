package service

import (
	"context"
	"maps"
	"sync"
	"time"

	"jasperpin/internal/limit"
)

// queueTimeDivisor divides a request's remaining time: the request waits in a queue for at most the quotient.
// The other half is for the work, or for a rejection that arrives before the client's deadline.
const queueTimeDivisor = 2

// admissionQueue is a limit.Gate with the requests that wait at it. Each service and each pool has one.
type admissionQueue struct {
	mu      sync.Mutex // guards the following fields
	gate    *limit.Gate
	waiting map[uint64]chan struct{} // channels by ticket; a channel is closed once its request is admitted
}

func newAdmissionQueue(settings limit.GateSettings) *admissionQueue {
	return &admissionQueue{gate: limit.NewGate(settings), waiting: make(map[uint64]chan struct{})}
}

// enter admits a request and returns the name under which its tenant is counted. A queued request waits until it
// is admitted, for the gate's QueueWait, for 1/queueTimeDivisor of the remaining time, or until ctx or ending is done,
// whichever is first. The error is a *Rejection or ctx's cause.
func (q *admissionQueue) enter(ctx, ending context.Context, now time.Duration, tenant string, deadline time.Time) (string, error) {
	q.mu.Lock()
	tenant = q.gate.TenantKey(tenant)
	verdict, ticket, retryAfter := q.gate.Arrive(now, tenant)
	maxWait := q.gate.QueueWait()
	if verdict != limit.Queued {
		q.mu.Unlock()
		return tenant, gateError(verdict, retryAfter, maxWait)
	}
	admitted := make(chan struct{})
	q.waiting[ticket] = admitted
	q.mu.Unlock()
	timer := time.NewTimer(min(maxWait, time.Until(deadline)/queueTimeDivisor))
	defer timer.Stop()
	var err error
	select {
	case <-admitted:
		return tenant, nil
	case <-timer.C:
		err = &Rejection{Reason: ReasonQueueTimeout, RetryAfter: maxWait}
	case <-ending.Done():
		err = &Rejection{Reason: ReasonShutdown}
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.gate.CancelTicket(ticket) {
		return tenant, nil // the request was admitted while its wait ended
	}
	delete(q.waiting, ticket)
	return "", err
}

// gateError returns the rejection for a verdict, or nil if the request is admitted. If the gate does not know
// when a slot will be free (retryAfter is 0), RetryAfter is maxWait.
func gateError(verdict limit.Verdict, retryAfter, maxWait time.Duration) error {
	if retryAfter == 0 {
		retryAfter = maxWait
	}
	switch verdict {
	case limit.Admitted:
		return nil
	case limit.TenantLimited:
		return &Rejection{TenantLimited: true, Reason: ReasonTenantLimit, RetryAfter: retryAfter}
	}
	return &Rejection{Reason: ReasonAtCapacity, RetryAfter: retryAfter}
}

// leave releases a slot of a tenant, under the name that enter returned.
func (q *admissionQueue) leave(tenant string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(q.gate.Release(tenant))
}

// configure changes the limits. Requests that are admitted or queued stay so.
func (q *admissionQueue) configure(settings limit.GateSettings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(q.gate.Configure(settings))
}

// wake wakes the queued requests that the gate has admitted. It is called with mu held.
func (q *admissionQueue) wake(tickets []uint64) {
	for _, ticket := range tickets {
		close(q.waiting[ticket])
		delete(q.waiting, ticket)
	}
}

// idle reports whether no request uses the queue.
func (q *admissionQueue) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Idle()
}

// removedQueues are the queues of pools or services that are not configured any more, by name, while their requests use
// slots. The slots are still in use if the name is configured again.
type removedQueues map[string]*admissionQueue

// take returns the queue for a pool or service that is configured anew.
func (r removedQueues) take(name string, settings limit.GateSettings) *admissionQueue {
	queue := r[name]
	if queue == nil {
		return newAdmissionQueue(settings)
	}
	delete(r, name)
	queue.configure(settings)
	return queue
}

// removeIdle removes the queues that no request uses.
func (r removedQueues) removeIdle() {
	maps.DeleteFunc(r, func(_ string, queue *admissionQueue) bool { return queue.idle() })
}

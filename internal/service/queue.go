package service

import (
	"context"
	"sync"
	"time"

	"jasperpin/internal/limit"
)

// queueTimeDivisor is the divisor of the time that a client has left: no more than the quotient is spent
// in a queue. The other half is for the work, and for a rejection while the client still listens.
const queueTimeDivisor = 2

// admissionQueue is a gate with the requests that wait at it. It is one for each service, and one for each
// pool.
type admissionQueue struct {
	mu      sync.Mutex // guards what follows
	gate    *limit.Gate
	waiting map[uint64]chan struct{} // by ticket; closed once admitted
}

func newAdmissionQueue(settings limit.GateSettings) *admissionQueue {
	return &admissionQueue{gate: limit.NewGate(settings), waiting: make(map[uint64]chan struct{})}
}

// enter admits a request and returns the name that its tenant is counted under. Where it has to wait, it
// does so until it is admitted, for the gate's longest wait, for 1/queueTimeDivisor of the time that is left
// until the deadline, or until ctx ends, whichever is first. The error is a *Rejection or ctx's cause.
func (q *admissionQueue) enter(ctx context.Context, now time.Duration, tenant string, deadline time.Time) (string, error) {
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
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.gate.CancelTicket(ticket) {
		return tenant, nil // admitted at the last moment
	}
	delete(q.waiting, ticket)
	return "", err
}

// gateError is the rejection for a verdict, or nil where the request is admitted. Where the gate cannot
// say when there will be a place, the longest wait stands for it.
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
	return &Rejection{Reason: ReasonQueueFull, RetryAfter: retryAfter}
}

// leave gives back the place of a tenant, under the name that enter returned.
func (q *admissionQueue) leave(tenant string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(q.gate.Release(tenant))
}

// configure changes the limits. Requests that are admitted or wait stay so.
func (q *admissionQueue) configure(settings limit.GateSettings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(q.gate.Configure(settings))
}

// wake wakes the requests that the gate has admitted. Called under the lock.
func (q *admissionQueue) wake(tickets []uint64) {
	for _, ticket := range tickets {
		close(q.waiting[ticket])
		delete(q.waiting, ticket)
	}
}

package service

import (
	"context"
	"sync"
	"time"

	"jasperpin/internal/limit"
)

// line is a gate with those that wait at it.
type line struct {
	mu      sync.Mutex
	gate    *limit.Gate
	waiting map[uint64]chan struct{} // by ticket; closed when let in
}

func newLine(set limit.GateSettings) *line {
	return &line{gate: limit.NewGate(set), waiting: make(map[uint64]chan struct{})}
}

// enter passes the gate and returns the name that the tenant is counted under. Who
// has to wait does so for half of the time left until due at the most: the other
// half is for the work, and for saying no while somebody listens.
func (l *line) enter(ctx context.Context, now time.Duration, tenant string, due time.Time) (string, error) {
	l.mu.Lock()
	tenant = l.gate.Tenant(tenant)
	verdict, ticket, wait := l.gate.Arrive(now, tenant)
	if verdict == limit.Admitted {
		l.mu.Unlock()
		return tenant, nil
	}
	most := l.gate.QueueWait()
	if verdict != limit.Queued {
		l.mu.Unlock()
		if wait == 0 {
			wait = most
		}
		if verdict == limit.TooMany {
			return "", &Refusal{Tenant: true, Reason: ReasonTenant, RetryAfter: wait}
		}
		return "", &Refusal{Reason: ReasonCrowded, RetryAfter: wait}
	}
	in := make(chan struct{})
	l.waiting[ticket] = in
	l.mu.Unlock()
	t := time.NewTimer(min(most, time.Until(due)/2))
	defer t.Stop()
	var err error
	select {
	case <-in:
		return tenant, nil
	case <-t.C:
		err = &Refusal{Reason: ReasonWaited, RetryAfter: most}
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.gate.Leave(ticket) {
		return tenant, nil // let in at the last moment
	}
	delete(l.waiting, ticket)
	return "", err
}

// leave gives back the place of a tenant, under the name that enter gave.
func (l *line) leave(tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admit(l.gate.Done(tenant))
}

// configure changes the limits. Who is in and who waits stay.
func (l *line) configure(set limit.GateSettings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admit(l.gate.Configure(set))
}

// admit wakes those that have been let in. Called under the lock.
func (l *line) admit(tickets []uint64) {
	for _, ticket := range tickets {
		close(l.waiting[ticket])
		delete(l.waiting, ticket)
	}
}

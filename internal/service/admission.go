package service

import (
	"context"
	"errors"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/limit"
)

// Rejection says that a request was not admitted, and when to come back, if that is known.
type Rejection struct {
	TenantLimited bool // the tenant asks for more than it may
	Reason        RejectionReason
	RetryAfter    time.Duration // 0 if unknown
}

// RejectionReason says, for the log, why a request was not admitted.
type RejectionReason string

// Why a request may not be admitted. The names of the budgets' resources are reasons of their own.
const (
	ReasonTenantLimit RejectionReason = "the tenant's limits"
	// ReasonQueueFull stands also for an exceeded rate (limit.AtCapacity).
	ReasonQueueFull    RejectionReason = "the limits of the service or the pool: the admission queue is full"
	ReasonQueueTimeout RejectionReason = "the limits of the service or the pool: the longest wait in the admission queue is over"
	ReasonKeyCapacity  RejectionReason = "no capacity for its idempotency key"
	ReasonShutdown     RejectionReason = "the node is shutting down"
)

func (r *Rejection) Error() string { return "request rejected: " + string(r.Reason) }

// AdmissionRequest is what a request needs to be admitted.
type AdmissionRequest struct {
	Tenant    string    // as its client names it
	BodyBytes int       // of its body, held in memory
	Deadline  time.Time // when its client gives up
}

// Admission is what an admitted request holds: its places and its part of the budgets. Whoever got it gives it
// back by one call of Release.
type Admission struct {
	set    *Set
	target Target
	tenant string // the name that it is counted under
	need   resources
}

// Admit is the one place where requests are admitted or rejected. They pass, in this order,
//
//  1. the service's queue: its rates, its places and its tenants' fair shares;
//  2. the budgets of what pools share: requests, bytes of bodies, and goroutines. They come before the
//     pool's queue, as whoever waits there holds a body. A request takes the goroutines of all its
//     attempts and the bytes of a buffered answer as well, so that none fails for want of them later;
//  3. the pool's queue: its rate and its places.
//
// A request may wait in both queues for as long as these allow, or until ctx ends; the budgets reject at
// once. The error is a *Rejection, whose RetryAfter is within what the pool's settings allow, or ctx's cause.
// A node without budgets admits everything here.
func (s *Set) Admit(ctx context.Context, t Target, request AdmissionRequest) (*Admission, error) {
	a := &Admission{set: s, target: t}
	if s.budgets == nil {
		return a, nil
	}
	tenant, err := t.Service.queue.enter(ctx, s.clock(), request.Tenant, request.Deadline)
	if err != nil {
		return nil, t.capRetryAfter(err)
	}
	a.tenant = tenant
	a.need = resources{
		resourceRequests:   1,
		resourceBodyBytes:  request.BodyBytes + core.MaxBufferedAnswer,
		resourceGoroutines: 1 + t.runtime.maxAttempts,
	}
	if short, ok := s.budgets.take(t.Pool.Name, a.need); !ok {
		t.Service.queue.leave(tenant)
		return nil, t.capRetryAfter(&Rejection{Reason: short, RetryAfter: t.runtime.maxRetryAfter})
	}
	if _, err := t.Pool.queue.enter(ctx, s.clock(), limit.OtherTenants, request.Deadline); err != nil {
		s.budgets.release(t.Pool.Name, a.need)
		t.Service.queue.leave(tenant)
		return nil, t.capRetryAfter(err)
	}
	return a, nil
}

// KeyRejection rejects a request for want of capacity for its idempotency key, with a wait within what the
// pool's settings allow.
func (t Target) KeyRejection(wait time.Duration) *Rejection {
	return &Rejection{Reason: ReasonKeyCapacity, RetryAfter: min(wait, t.runtime.maxRetryAfter)}
}

// capRetryAfter keeps a rejection's wait within what the pool's settings allow.
func (t Target) capRetryAfter(err error) error {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		rejection.RetryAfter = min(rejection.RetryAfter, t.runtime.maxRetryAfter)
	}
	return err
}

// Outcome says how a request ended, as far as it tells something of its pool.
type Outcome uint8

// How a request ended.
const (
	OutcomeNeutral Outcome = iota // tells nothing: the client was at fault, or did not wait
	OutcomeServed                 // the pool answered it
	OutcomeFailed                 // the pool did not
)

// Release gives back what an admitted request holds.
func (a *Admission) Release(end Outcome) {
	if a.set.budgets == nil {
		return
	}
	a.target.Pool.queue.leave(limit.OtherTenants)
	a.set.budgets.release(a.target.Pool.Name, a.need)
	a.target.Service.queue.leave(a.tenant)
	if end != OutcomeNeutral {
		a.set.recordEnd(a.target.runtime, end == OutcomeServed)
	}
}

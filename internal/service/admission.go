package service

import (
	"context"
	"errors"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/limit"
)

// Rejection is the error for a request that was not admitted.
type Rejection struct {
	TenantLimited bool // the tenant exceeds its own limits (429)
	Reason        RejectionReason
	RetryAfter    time.Duration // when the client may retry; 0 if unknown
}

// RejectionReason is why a request was not admitted, for the log.
type RejectionReason string

// The reasons to reject a request. The names of the shared resources (resourceNames) are further reasons.
const (
	ReasonTenantLimit RejectionReason = "the tenant's limits"
	// ReasonAtCapacity is also used for an exceeded rate (limit.AtCapacity).
	ReasonAtCapacity   RejectionReason = "the limits of the service or the pool: the admission queue is full"
	ReasonQueueTimeout RejectionReason = "the limits of the service or the pool: the wait in the admission queue timed out"
	ReasonKeyCapacity  RejectionReason = "no capacity for its idempotency key"
	ReasonShutdown     RejectionReason = "the node is shutting down"
)

func (r *Rejection) Error() string { return "request rejected: " + string(r.Reason) }

// AdmissionRequest describes a request to be admitted.
type AdmissionRequest struct {
	Tenant    string    // the tenant's name as the client sends it
	BodyBytes int       // bytes of the body that are stored in memory
	Deadline  time.Time // the client's deadline
}

// Admission is the slots and the part of the budgets that an admitted request uses. The caller of Admit must
// call Release once.
type Admission struct {
	set    *Set
	target Target
	tenant string // the name under which the request is counted
	need   resources
}

// Admit admits a request or rejects it. It is the only function that applies the limits of services, pools and
// the machine to a request. A request passes, in this order,
//
//  1. the service's queue: its rates, its slots and the fair shares of its tenants;
//  2. the budgets of the resources that pools share: requests, bytes of bodies, and goroutines. They are
//     checked before the pool's queue, as a request that waits there holds a body. A request reserves the
//     goroutines of all its attempts and the bytes of a buffered answer too, so that it can't run out of
//     them later;
//  3. the pool's queue: its rate and its slots.
//
// A request may wait in both queues for as long as they allow, or until ctx is done; the budgets reject
// immediately. The error is a *Rejection, whose RetryAfter is at most the pool's maximum, or ctx's cause.
// A node without budgets admits every request.
func (s *Set) Admit(ctx context.Context, t Target, request AdmissionRequest) (*Admission, error) {
	admission := &Admission{set: s, target: t}
	if s.budgets == nil {
		return admission, nil
	}
	tenant, err := t.Service.queue.enter(ctx, s.ending, s.clock(), request.Tenant, request.Deadline)
	if err != nil {
		return nil, t.capRetryAfter(err)
	}
	admission.tenant = tenant
	admission.need = resources{
		resourceRequests:   1,
		resourceBodyBytes:  request.BodyBytes + core.MaxBufferedAnswer,
		resourceGoroutines: 1 + t.runtime.maxAttempts,
	}
	if exhausted, ok := s.budgets.take(t.Pool.Name, admission.need); !ok {
		t.Service.queue.leave(tenant)
		return nil, t.capRetryAfter(&Rejection{Reason: exhausted, RetryAfter: t.runtime.maxRetryAfter})
	}
	if _, err := t.Pool.queue.enter(ctx, s.ending, s.clock(), limit.OtherTenantsKey, request.Deadline); err != nil {
		s.budgets.release(t.Pool.Name, admission.need)
		t.Service.queue.leave(tenant)
		return nil, t.capRetryAfter(err)
	}
	return admission, nil
}

// KeyRejection returns the rejection of a request for whose idempotency key there is no capacity. Its RetryAfter
// is wait, at most the pool's maximum.
func (t Target) KeyRejection(wait time.Duration) *Rejection {
	return &Rejection{Reason: ReasonKeyCapacity, RetryAfter: min(wait, t.runtime.maxRetryAfter)}
}

// capRetryAfter limits the RetryAfter of a *Rejection to the pool's maximum. It returns err.
func (t Target) capRetryAfter(err error) error {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		rejection.RetryAfter = min(rejection.RetryAfter, t.runtime.maxRetryAfter)
	}
	return err
}

// Outcome is how a request ended, as evidence of its pool's health.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomeNeutral Outcome = iota // no evidence: the client was at fault, or disconnected
	OutcomeServed                 // the pool answered the request
	OutcomeFailed                 // the pool did not answer the request
)

// Release releases the slots and the part of the budgets of an admitted request, and records the request's
// outcome.
func (a *Admission) Release(outcome Outcome) {
	if a.set.budgets == nil {
		return
	}
	a.target.Pool.queue.leave(limit.OtherTenantsKey)
	a.set.budgets.release(a.target.Pool.Name, a.need)
	a.target.Service.queue.leave(a.tenant)
	if outcome != OutcomeNeutral {
		a.set.recordOutcome(a.target.runtime, outcome == OutcomeServed)
	}
}

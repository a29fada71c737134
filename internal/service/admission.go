package service

import (
	"context"
	"errors"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/limit"
)

// Refusal says that a request was not admitted, and when to come back, if that is known.
type Refusal struct {
	Tenant     bool // the tenant asks for more than it may
	Reason     Reason
	RetryAfter time.Duration // 0 if unknown
}

// Reason says, for the log, why a request was not admitted.
type Reason string

// Why a request may not be admitted. The names of the budgets' resources are reasons of their own.
const (
	ReasonTenant  Reason = "the tenant's limits"
	ReasonCrowded Reason = "the limits of the service or the pool: the admission queue is full"
	ReasonWaited  Reason = "the limits of the service or the pool: the longest wait in the admission queue is over"
	ReasonKeys    Reason = "no capacity for its idempotency key"
	ReasonEnding  Reason = "the node is shutting down"
)

func (r *Refusal) Error() string { return "request rejected: " + string(r.Reason) }

// Ask is what a request needs to be admitted.
type Ask struct {
	Tenant string    // as its client names it
	Bytes  int       // of its body, held in memory
	Due    time.Time // when its client gives up
}

// Pass is what an admitted request holds: its places and its part of the budgets. Whoever got it gives it
// back by one call of Leave.
type Pass struct {
	set    *Set
	target Target
	tenant string // the name that it is counted under
	need   resources
}

// Enter is the one place where requests are admitted or rejected. They pass, in this order,
//
//  1. the service's queue: its rates, its places and its tenants' fair shares;
//  2. the budgets of what pools share: requests, bytes of bodies, and goroutines. They come before the
//     pool's queue, as whoever waits there holds a body. A request takes the goroutines of all its
//     attempts and the bytes of a buffered answer as well, so that none fails for want of them later;
//  3. the pool's queue: its rate and its places.
//
// A request may wait in both queues for as long as these allow, or until ctx ends; the budgets reject at
// once. The error is a *Refusal, whose RetryAfter is within what the pool's settings allow, or ctx's cause.
// A node without budgets admits everything here.
func (s *Set) Enter(ctx context.Context, t Target, ask Ask) (*Pass, error) {
	p := &Pass{set: s, target: t}
	if s.budgets == nil {
		return p, nil
	}
	tenant, err := t.Service.queue.enter(ctx, s.clock(), ask.Tenant, ask.Due)
	if err != nil {
		return nil, t.capRetryAfter(err)
	}
	p.tenant = tenant
	p.need = resources{
		resourceRequests:   1,
		resourceBodyBytes:  ask.Bytes + core.ShortAnswer,
		resourceGoroutines: 1 + t.runtime.maxAttempts,
	}
	if short, ok := s.budgets.take(t.Pool.Name, p.need); !ok {
		t.Service.queue.leave(tenant)
		return nil, t.capRetryAfter(&Refusal{Reason: short, RetryAfter: t.runtime.maxRetryAfter})
	}
	if _, err := t.Pool.queue.enter(ctx, s.clock(), limit.Others, ask.Due); err != nil {
		s.budgets.release(t.Pool.Name, p.need)
		t.Service.queue.leave(tenant)
		return nil, t.capRetryAfter(err)
	}
	return p, nil
}

// Refusal rejects a request for want of capacity for its idempotency key, with a wait within what the
// pool's settings allow.
func (t Target) Refusal(wait time.Duration) *Refusal {
	return &Refusal{Reason: ReasonKeys, RetryAfter: min(wait, t.runtime.maxRetryAfter)}
}

// capRetryAfter keeps a rejection's wait within what the pool's settings allow.
func (t Target) capRetryAfter(err error) error {
	var rejection *Refusal
	if errors.As(err, &rejection) {
		rejection.RetryAfter = min(rejection.RetryAfter, t.runtime.maxRetryAfter)
	}
	return err
}

// End says how a request ended, as far as it tells something of its pool.
type End uint8

// How a request ended.
const (
	Void     End = iota // tells nothing: the client was at fault, or did not wait
	Served              // the pool answered it
	Unserved            // the pool did not
)

// Leave gives back what an admitted request holds.
func (p *Pass) Leave(end End) {
	if p.set.budgets == nil {
		return
	}
	p.target.Pool.queue.leave(limit.Others)
	p.set.budgets.release(p.target.Pool.Name, p.need)
	p.target.Service.queue.leave(p.tenant)
	if end != Void {
		p.set.recordEnd(p.target.runtime, end == Served)
	}
}

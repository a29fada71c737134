package service

import (
	"fmt"
	"sync"

	"jasperpin/internal/limit"
)

// The resources that pools share, besides connections to servers, which a ConnectionLimiter counts.
const (
	resourceRequests   = iota
	resourceBodyBytes  // of bodies held in memory
	resourceGoroutines // beyond the one that each client's connection has
	resourceCount
)

// resources is an amount of each resource.
type resources [resourceCount]int

// resourceNames say what a budget is of, in errors and as reasons of rejections.
var resourceNames = [resourceCount]RejectionReason{
	resourceRequests:   "requests",
	resourceBodyBytes:  "bytes held",
	resourceGoroutines: "goroutines",
}

// budgets divide the shared resources among the pools.
type budgets struct {
	mu         sync.Mutex // one lock over all, as a request takes all that it needs or nothing
	byResource [resourceCount]*limit.Budget
}

// newBudgets makes budgets of nothing, which configure fills.
func newBudgets() *budgets {
	b := &budgets{}
	for i := range b.byResource {
		b.byResource[i], _ = limit.NewBudget(0, nil) // no error: no guarantee exceeds a total of 0
	}
	return b
}

// take reserves all that a request needs, or nothing, and says then which resource there is too little of.
func (b *budgets) take(pool string, need resources) (short RejectionReason, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, budget := range b.byResource {
		if budget.Take(pool, need[i]) {
			continue
		}
		for taken := range i {
			b.byResource[taken].Release(pool, need[taken])
		}
		return resourceNames[i], false
	}
	return "", true
}

// release gives back what take has reserved.
func (b *budgets) release(pool string, need resources) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, budget := range b.byResource {
		budget.Release(pool, need[i])
	}
}

// setFaulty marks a pool as faulty or not. A faulty one borrows nothing, but for one request
// where it has none (limit.Budget.Take).
func (b *budgets) setFaulty(pool string, faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, budget := range b.byResource {
		budget.SetFaulty(pool, faulty)
	}
}

// configure changes the totals and guarantees. It fails before it has changed anything: guarantees are
// fractions of each total, and so fit all of them or none.
func (b *budgets) configure(machine limit.Machine, guarantees func(total int) map[string]int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	totals := resources{
		resourceRequests:   machine.ServerConnections(),
		resourceBodyBytes:  machine.BodyBytes(),
		resourceGoroutines: machine.Goroutines(),
	}
	for i, total := range totals {
		if err := b.byResource[i].Configure(total, guarantees(total)); err != nil {
			return fmt.Errorf("configuring the budget of %s: %w", resourceNames[i], err)
		}
	}
	return nil
}

package service

import (
	"fmt"
	"sync"

	"jasperpin/internal/limit"
)

// The resources that pools share, except for connections to servers, which a ConnectionLimiter counts.
const (
	resourceRequests   = iota
	resourceBodyBytes  // bytes of bodies stored in memory
	resourceGoroutines // goroutines besides the one of each client connection
	resourceCount
)

// resources is an amount of each resource.
type resources [resourceCount]int

// resourceNames are the names of the resources in errors and as reasons of rejections.
var resourceNames = [resourceCount]RejectionReason{
	resourceRequests:   "requests",
	resourceBodyBytes:  "bytes held",
	resourceGoroutines: "goroutines",
}

// budgets divide the shared resources among the pools.
type budgets struct {
	mu         sync.Mutex // guards all budgets, as a request reserves all that it needs or nothing
	byResource [resourceCount]*limit.Budget
}

// newBudgets returns budgets with totals of 0; configure sets the totals.
func newBudgets() *budgets {
	b := &budgets{}
	for i := range b.byResource {
		b.byResource[i], _ = limit.NewBudget(0, nil) // NewBudget cannot fail without guarantees
	}
	return b
}

// take reserves all that a request needs. If a resource does not suffice, it reserves nothing and returns the name
// of that resource.
func (b *budgets) take(pool string, need resources) (exhausted RejectionReason, ok bool) {
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

// release releases what take has reserved.
func (b *budgets) release(pool string, need resources) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, budget := range b.byResource {
		budget.Release(pool, need[i])
	}
}

// setFaulty marks a pool as faulty or healthy. A faulty pool borrows nothing, except for one request if it has
// none (limit.Budget.Take).
func (b *budgets) setFaulty(pool string, faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, budget := range b.byResource {
		budget.SetFaulty(pool, faulty)
	}
}

// configure changes the totals and guarantees. If it fails, it has changed nothing: the guarantees are fractions
// of each total, so that they fit either all totals or none.
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

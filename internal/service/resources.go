package service

import (
	"fmt"
	"sync"

	"jasperpin/internal/limit"
)

// What the pools share besides connections, which the Room counts.
const (
	requests   = iota
	held       // bytes of bodies
	goroutines // beyond the one that each client's connection has
	kinds
)

// need is how much of each kind a request takes.
type need [kinds]int

// budgets are what the pools share, all under one lock, since a request takes
// either all it needs or nothing.
type budgets struct {
	mu sync.Mutex
	of [kinds]*limit.Budget
}

func newBudgets() *budgets {
	b := &budgets{}
	for i := range b.of {
		b.of[i], _ = limit.NewBudget(0, nil) // nothing is too much of nothing
	}
	return b
}

// kindNames say what a budget is of.
var kindNames = [kinds]Reason{requests: "requests", held: "bytes held", goroutines: "goroutines"}

// take takes all that a request needs, or nothing, and says then what there is too little of.
func (b *budgets) take(pool string, n need) (short Reason, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, budget := range b.of {
		if budget.Take(pool, n[i]) {
			continue
		}
		for j := range i {
			b.of[j].Give(pool, n[j])
		}
		return kindNames[i], false
	}
	return "", true
}

func (b *budgets) give(pool string, n need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, budget := range b.of {
		budget.Give(pool, n[i])
	}
}

func (b *budgets) trouble(pool string, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, budget := range b.of {
		budget.Trouble(pool, on)
	}
}

// configure lays the limits out anew. It fails before it has changed anything: the
// guarantees are parts of each total and fit all of them or none.
func (b *budgets) configure(m limit.Machine, guarantees func(total int) map[string]int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, total := range [kinds]int{requests: m.Conns(), held: m.Held(), goroutines: m.Goroutines()} {
		if err := b.of[i].Configure(total, guarantees(total)); err != nil {
			return fmt.Errorf("%s: %w", kindNames[i], err)
		}
	}
	return nil
}

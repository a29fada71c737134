// Package limit decides who may hold what is scarce: budgets that pools share
// out, rates by token bucket, and a service's places with a fair queue among its
// tenants. It is pure: the caller brings the time and keeps the lock.
package limit

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrBudget marks guarantees that do not fit their budget.
var ErrBudget = errors.New("budget")

// Budget shares a number of units (descriptors, bytes, requests) out among
// holders. Each has a guaranteed part that nobody else can take, and may borrow
// of what is guaranteed to nobody. A holder in trouble borrows nothing more, so
// that what it gives back goes to the others; one that holds nothing may, or it
// could never show that its trouble is over.
type Budget struct {
	total, used int
	owed        int // guaranteed and not in use, over all holders
	holders     map[string]*holder
}

type holder struct {
	guarantee, used int
	trouble         bool
}

// owed is the part of the guarantee that is not in use.
func (h *holder) owed() int { return max(0, h.guarantee-h.used) }

// NewBudget makes a budget of so many units. Each holder's guarantee is at least
// 0 and all of them together are at most the total.
func NewBudget(total int, guarantees map[string]int) (*Budget, error) {
	b := &Budget{holders: make(map[string]*holder)}
	return b, b.Configure(total, guarantees)
}

// Configure changes the total and the guarantees. What is held stays held: a
// holder that is no longer named keeps its units until it gives them back, and a
// guarantee that others have borrowed of is whole again once they have.
func (b *Budget) Configure(total int, guarantees map[string]int) error {
	sum := 0
	var below []string
	for name, g := range guarantees {
		if sum += g; g < 0 {
			below = append(below, name)
		}
	}
	if len(below) > 0 {
		name := slices.Min(below)
		return fmt.Errorf("%w: guarantee of %q is %d, want 0 or more", ErrBudget, name, guarantees[name])
	}
	if total < 0 || sum > total {
		return fmt.Errorf("%w: guarantees of %d exceed the %d there are", ErrBudget, sum, total)
	}
	b.total = total
	for name, h := range b.holders {
		h.guarantee = 0
		if _, named := guarantees[name]; !named && h.used == 0 {
			delete(b.holders, name)
		}
	}
	b.owed = 0
	for name, g := range guarantees {
		h := b.holders[name]
		if h == nil {
			h = &holder{}
			b.holders[name] = h
		}
		h.guarantee = g
		b.owed += h.owed()
	}
	return nil
}

// Take takes n units for a holder, all or none.
func (b *Budget) Take(name string, n int) bool {
	h := b.holders[name]
	if h == nil || n < 0 || b.used+n > b.total {
		return false
	}
	if n > h.owed() && (h.trouble && h.used > 0 || b.total-b.used-n < b.owed-h.owed()) {
		return false
	}
	b.owed -= h.owed()
	h.used += n
	b.used += n
	b.owed += h.owed()
	return true
}

// Give gives n units back. Giving back more than is held is a fault of the caller.
func (b *Budget) Give(name string, n int) {
	h := b.holders[name]
	if h == nil || n < 0 || n > h.used {
		panic(fmt.Sprintf("limit: %q gives back %d units that it does not hold", name, n))
	}
	b.owed -= h.owed()
	h.used -= n
	b.used -= n
	b.owed += h.owed()
}

// Trouble says whether a holder is in trouble.
func (b *Budget) Trouble(name string, on bool) {
	if h := b.holders[name]; h != nil {
		h.trouble = on
	}
}

// Used is how much a holder holds, Free what nobody does.
func (b *Budget) Used(name string) int {
	if h := b.holders[name]; h != nil {
		return h.used
	}
	return 0
}

// Held is how much all holders hold.
func (b *Budget) Held() int { return b.used }

// Free is what nobody holds.
func (b *Budget) Free() int { return b.total - b.used }

// Debtors names the holders that hold more than their guarantee, in the order in
// which they should give back: those in trouble first, then by what they owe.
func (b *Budget) Debtors() []string {
	names := slices.Collect(maps.Keys(b.holders))
	names = slices.DeleteFunc(names, func(n string) bool { return b.holders[n].used <= b.holders[n].guarantee })
	slices.SortFunc(names, func(x, y string) int {
		hx, hy := b.holders[x], b.holders[y]
		switch over := (hy.used - hy.guarantee) - (hx.used - hx.guarantee); {
		case hx.trouble != hy.trouble && hx.trouble:
			return -1
		case hx.trouble != hy.trouble:
			return 1
		case over != 0:
			return over
		case x < y:
			return -1
		}
		return 1
	})
	return names
}

package limit

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrBudget marks guarantees that do not fit their budget.
var ErrBudget = errors.New("budget")

// Budget divides a number of units (connections, bytes, requests) among holders. Each has a guarantee that
// nobody else can take, and may borrow what is guaranteed to nobody. A faulty holder that has some units
// borrows nothing more, so that what it gives back goes to the others.
type Budget struct {
	total, used int
	reserved    int // guaranteed and not in use, over all holders
	holders     map[string]*holder
}

type holder struct {
	guarantee, used int
	faulty          bool
}

// unusedGuarantee is the part of the guarantee that is not in use.
func (h *holder) unusedGuarantee() int { return max(0, h.guarantee-h.used) }

// borrowed is what the holder has beyond its guarantee; not above 0 where it has borrowed nothing.
func (h *holder) borrowed() int { return h.used - h.guarantee }

// NewBudget makes a budget of total units. Each holder's guarantee must be at least 0, and all of them
// together at most the total.
func NewBudget(total int, guarantees map[string]int) (*Budget, error) {
	b := &Budget{holders: make(map[string]*holder)}
	return b, b.Configure(total, guarantees)
}

// Configure changes the total and the guarantees, or nothing and returns an ErrBudget. What is in use stays
// so: a holder that is no longer named keeps its units until it gives them back, and a guarantee of which
// others have borrowed is whole again once they have.
func (b *Budget) Configure(total int, guarantees map[string]int) error {
	if err := checkGuarantees(total, guarantees); err != nil {
		return err
	}
	b.total = total
	for name, h := range b.holders {
		h.guarantee = 0
		if _, named := guarantees[name]; !named && h.used == 0 {
			delete(b.holders, name)
		}
	}
	b.reserved = 0
	for name, guarantee := range guarantees {
		h := b.holders[name]
		if h == nil {
			h = &holder{}
			b.holders[name] = h
		}
		h.guarantee = guarantee
		b.reserved += h.unusedGuarantee()
	}
	return nil
}

func checkGuarantees(total int, guarantees map[string]int) error {
	sum := 0
	var negative []string
	for name, guarantee := range guarantees {
		if sum += guarantee; guarantee < 0 {
			negative = append(negative, name)
		}
	}
	if len(negative) > 0 {
		name := slices.Min(negative)
		return fmt.Errorf("%w: guarantee of %q is %d, want 0 or more", ErrBudget, name, guarantees[name])
	}
	if total < 0 || sum > total {
		return fmt.Errorf("%w: guarantees of %d exceed the %d there are", ErrBudget, sum, total)
	}
	return nil
}

// Take takes n units for a holder, all or none. It returns false where
//   - the holder is unknown, n is negative, or there are not n units left;
//   - n exceeds what is left of the holder's guarantee, and the rest would come out of what others are
//     guaranteed;
//   - n exceeds what is left of its guarantee, and the holder is faulty and has some units already. One that
//     has none may borrow, or it could never show that its fault is over.
func (b *Budget) Take(name string, n int) bool {
	h := b.holders[name]
	if h == nil || n < 0 || b.used+n > b.total {
		return false
	}
	if n > h.unusedGuarantee() {
		reservedForOthers := b.reserved - h.unusedGuarantee()
		if h.faulty && h.used > 0 || b.total-b.used-n < reservedForOthers {
			return false
		}
	}
	b.reserved -= h.unusedGuarantee()
	h.used += n
	b.used += n
	b.reserved += h.unusedGuarantee()
	return true
}

// Release gives n units back. To give back more than the holder has is a bug of the caller: it panics.
func (b *Budget) Release(name string, n int) {
	h := b.holders[name]
	if h == nil || n < 0 || n > h.used {
		panic(fmt.Sprintf("limit: %q gives back %d units that it does not have", name, n))
	}
	b.reserved -= h.unusedGuarantee()
	h.used -= n
	b.used -= n
	b.reserved += h.unusedGuarantee()
}

// SetFaulty marks a holder as faulty or not.
func (b *Budget) SetFaulty(name string, on bool) {
	if h := b.holders[name]; h != nil {
		h.faulty = on
	}
}

// UsedBy is how many units a holder has.
func (b *Budget) UsedBy(name string) int {
	if h := b.holders[name]; h != nil {
		return h.used
	}
	return 0
}

// InUse is how many units all holders have.
func (b *Budget) InUse() int { return b.used }

// Free is how many units nobody has.
func (b *Budget) Free() int { return b.total - b.used }

// Borrowers names the holders that have borrowed, in the order in which they should give back: faulty ones
// first, then by how much they have borrowed, then by name.
func (b *Budget) Borrowers() []string {
	names := slices.Collect(maps.Keys(b.holders))
	names = slices.DeleteFunc(names, func(name string) bool { return b.holders[name].borrowed() <= 0 })
	slices.SortFunc(names, func(x, y string) int {
		hx, hy := b.holders[x], b.holders[y]
		if hx.faulty != hy.faulty {
			if hx.faulty {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(hy.borrowed(), hx.borrowed()), cmp.Compare(x, y))
	})
	return names
}

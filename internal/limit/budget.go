package limit

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrBudget means that guarantees are negative or exceed their budget.
var ErrBudget = errors.New("budget")

// Budget divides a number of units (connections, bytes, requests) among holders. Each holder has a guarantee,
// units that no other holder can take, and may borrow units that are guaranteed to no holder. A faulty holder
// that has some units borrows no more, so that the units it releases are free for the others. A Budget is not
// safe for concurrent use.
type Budget struct {
	total, used int
	reserved    int // guaranteed units that are not in use, of all holders
	holders     map[string]*holder
}

type holder struct {
	guarantee, used int
	faulty          bool
}

// unusedGuarantee returns how many units of the guarantee are not in use.
func (h *holder) unusedGuarantee() int { return max(0, h.guarantee-h.used) }

// borrowed returns how many units the holder has beyond its guarantee; 0 or less if the holder has borrowed none.
func (h *holder) borrowed() int { return h.used - h.guarantee }

// NewBudget returns a budget of total units. Each holder's guarantee must be at least 0, and their sum at most
// total; otherwise the error is an ErrBudget.
func NewBudget(total int, guarantees map[string]int) (*Budget, error) {
	b := &Budget{holders: make(map[string]*holder)}
	return b, b.Configure(total, guarantees)
}

// Configure changes the total and the guarantees, or changes nothing and returns an ErrBudget. Units in use stay
// in use: a holder that is no longer named keeps its units until it releases them, and a guarantee from which
// others have borrowed is fully available once they have released what they borrowed.
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
		return fmt.Errorf("%w: guarantees of %d exceed the total of %d", ErrBudget, sum, total)
	}
	return nil
}

// Take takes n units for a holder, all or none. It returns false if
//   - the holder is unknown, n is negative, or fewer than n units are free;
//   - n exceeds the unused guarantee of the holder, and the rest would come from the guarantees of others;
//   - n exceeds the unused guarantee, and the holder is faulty and already has some units. A faulty holder
//     without units may borrow: otherwise it could never show that it has recovered.
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
	b.add(h, n)
	return true
}

// add adds n units, which may be negative, to those that a holder has.
func (b *Budget) add(h *holder, n int) {
	b.reserved -= h.unusedGuarantee()
	h.used += n
	b.used += n
	b.reserved += h.unusedGuarantee()
}

// Release releases n units of a holder. It panics if the holder has fewer than n units, which is a bug of the
// caller.
func (b *Budget) Release(name string, n int) {
	h := b.holders[name]
	if h == nil || n < 0 || n > h.used {
		panic(fmt.Sprintf("limit: %q releases %d units that it does not have", name, n))
	}
	b.add(h, -n)
}

// MayMove reports whether a holder could take a unit if another one, or the same, released it. It changes nothing.
func (b *Budget) MayMove(from, to string) bool {
	h := b.holders[from]
	if h == nil || h.used == 0 {
		return false
	}
	b.add(h, -1)
	defer b.add(h, 1)
	if !b.Take(to, 1) {
		return false
	}
	b.Release(to, 1)
	return true
}

// SetFaulty marks a holder as faulty or healthy.
func (b *Budget) SetFaulty(name string, on bool) {
	if h := b.holders[name]; h != nil {
		h.faulty = on
	}
}

// UsedBy returns how many units a holder has.
func (b *Budget) UsedBy(name string) int {
	if h := b.holders[name]; h != nil {
		return h.used
	}
	return 0
}

// InUse returns how many units all holders have together.
func (b *Budget) InUse() int { return b.used }

// Free returns how many units no holder has.
func (b *Budget) Free() int { return b.total - b.used }

// Borrowers returns the names of the holders that have borrowed, in the order in which they should release units:
// faulty holders first, then by how much they have borrowed, most first, then by name.
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

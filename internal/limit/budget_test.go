package limit

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// budgetHolders are the names of the holders that a budgetModel may have.
var budgetHolders = []string{"a", "b", "c", "d"}

// budgetModel is a budget with its expected state, for a property test.
type budgetModel struct {
	*rapid.T
	budget     *Budget
	total      int
	guarantees map[string]int
	used       map[string]int
	faulty     map[string]bool
	settled    bool // no holder has units that a later Configure has guaranteed to another
}

// TestBudgetKeepsGuarantees: holders are added and removed, and take and release units, at random. The units in use
// never exceed the total, each holder can take its guarantee at any time, and no unit leaks.
func TestBudgetKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &budgetModel{T: t, total: rapid.IntRange(0, 60).Draw(t, "total"), used: make(map[string]int), faulty: make(map[string]bool), settled: true}
		model.guarantees = model.drawGuarantees("first ")
		var err error
		if model.budget, err = NewBudget(model.total, model.guarantees); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			name := rapid.SampledFrom(budgetHolders).Draw(t, "name")
			n := rapid.IntRange(0, 8).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				model.take(name, n)
			case 5, 6, 7:
				model.release(name, n)
			case 8:
				model.faulty[name] = !model.faulty[name] && model.budget.holders[name] != nil
				model.budget.SetFaulty(name, model.faulty[name])
			case 9:
				model.reconfigure()
			}
			model.check()
		}
		for name, n := range maps.Clone(model.used) {
			model.release(name, n)
		}
		if model.budget.Free() != model.total || len(model.budget.Borrowers()) != 0 {
			t.Fatalf("%d of %d units are free at the end, want all", model.budget.Free(), model.total)
		}
	})
}

// drawGuarantees draws guarantees whose sum is at most the total.
func (m *budgetModel) drawGuarantees(label string) map[string]int {
	guarantees, left := make(map[string]int), m.total
	for _, name := range budgetHolders {
		if rapid.Bool().Draw(m.T, label+name) {
			guarantees[name] = rapid.IntRange(0, left).Draw(m.T, "part")
			left -= guarantees[name]
		}
	}
	return guarantees
}

// take takes n units. A holder must get the units of its unused guarantee, must not borrow while it is faulty and
// has units, and must be able to borrow if it has none.
func (m *budgetModel) take(name string, n int) {
	guarantee, known := m.guarantees[name]
	before := m.used[name]
	ok := m.budget.Take(name, n)
	if ok {
		m.used[name] += n
	}
	if within := known && before+n <= guarantee; !ok && within && m.settled {
		m.Fatalf("%s cannot take %d more units of its guarantee of %d, with %d in use", name, n, guarantee, before)
	}
	if ok && n > 0 && m.faulty[name] && m.used[name] > guarantee && before > 0 {
		m.Fatalf("%s is faulty, has %d units and borrows", name, before)
	}
	if free := m.budget.Free() - reservedForOthers(m.budget, name); !ok && known && before == 0 && n <= free {
		m.Fatalf("%s has no units and cannot borrow %d of the %d that are guaranteed to no holder", name, n, free)
	}
}

// release releases n units, or as many as the holder has.
func (m *budgetModel) release(name string, n int) {
	if n = min(n, m.used[name]); n > 0 {
		m.budget.Release(name, n)
		m.used[name] -= n
	}
}

// reconfigure draws and configures other guarantees.
func (m *budgetModel) reconfigure() {
	m.guarantees = m.drawGuarantees("then ")
	for _, name := range budgetHolders {
		if _, named := m.guarantees[name]; !named && m.used[name] == 0 {
			m.faulty[name] = false // the budget has removed the holder
		}
	}
	if err := m.budget.Configure(m.total, m.guarantees); err != nil {
		m.Fatal(err)
	}
	m.settled = false
}

// check checks the budget's counts, and that the unused guarantees are free.
func (m *budgetModel) check() {
	sum, reserved := 0, 0
	for _, name := range budgetHolders {
		sum += m.used[name]
		reserved += max(0, m.guarantees[name]-m.used[name])
		if m.budget.UsedBy(name) != m.used[name] {
			m.Fatalf("UsedBy(%s) is %d, want %d", name, m.budget.UsedBy(name), m.used[name])
		}
	}
	if sum > m.total || m.budget.Free() != m.total-sum {
		m.Fatalf("%d of %d units in use, %d free", sum, m.total, m.budget.Free())
	}
	m.settled = m.settled || sum+reserved <= m.total
	if m.settled && sum+reserved > m.total {
		m.Fatalf("%d units in use and %d reserved of %d", sum, reserved, m.total)
	}
}

// TestBudgetRejectsInvalidAmounts: guarantees that are negative or exceed the total are an error, an unknown holder
// or a negative amount gets no units, and a release of units that are not in use panics.
func TestBudgetRejectsInvalidAmounts(t *testing.T) {
	for _, g := range []map[string]int{{"a": 6, "b": 5}, {"a": -1}} {
		if _, err := NewBudget(10, g); !errors.Is(err, ErrBudget) {
			t.Errorf("guarantees %v: got error %v, want ErrBudget", g, err)
		}
	}
	b, err := NewBudget(10, map[string]int{"a": 5})
	if err != nil {
		t.Fatal(err)
	}
	if b.Take("stranger", 1) || b.Take("a", -1) {
		t.Error("an unknown holder or a negative amount got units, want none")
	}
	defer func() {
		if recover() == nil {
			t.Error("a release of units that are not in use does not panic, want a panic")
		}
	}()
	b.Release("a", 1)
}

// reservedForOthers returns the sum of the unused guarantees of all holders except one.
func reservedForOthers(b *Budget, holder string) (sum int) {
	for name, h := range b.holders {
		if name != holder {
			sum += h.unusedGuarantee()
		}
	}
	return sum
}

// TestBorrowersAreSorted: of two holders that have borrowed, the one that has borrowed more comes first, unless the
// other is faulty.
func TestBorrowersAreSorted(t *testing.T) {
	b, err := NewBudget(20, map[string]int{"a": 2, "b": 2, "c": 2})
	if err != nil {
		t.Fatal(err)
	}
	for name, n := range map[string]int{"a": 4, "b": 7, "c": 2} {
		if !b.Take(name, n) {
			t.Fatalf("holder %s cannot take %d units, want them taken", name, n)
		}
	}
	if got := fmt.Sprint(b.Borrowers()); got != "[b a]" {
		t.Errorf("borrowers are %s, want [b a]", got)
	}
	b.SetFaulty("a", true)
	if got := fmt.Sprint(b.Borrowers()); got != "[a b]" {
		t.Errorf("borrowers while holder a is faulty are %s, want [a b]", got)
	}
}

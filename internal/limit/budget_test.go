package limit

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// TestBudgetKeepsGuarantees: holders that come and go take and give back at random. Never more than the
// total is in use, each guarantee can be had at any time, and nothing leaks.
func TestBudgetKeepsGuarantees(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		guarantees := func(label string) map[string]int {
			g, left := make(map[string]int), total
			for _, n := range names {
				if rapid.Bool().Draw(t, label+n) {
					g[n] = rapid.IntRange(0, left).Draw(t, "part")
					left -= g[n]
				}
			}
			return g
		}
		g := guarantees("first ")
		b, err := NewBudget(total, g)
		if err != nil {
			t.Fatal(err)
		}
		held := make(map[string]int)
		faulty := make(map[string]bool)
		settled := true // nobody has units that have been guaranteed to another since
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			n := rapid.IntRange(0, 8).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				_, known := g[name]
				within := known && held[name]+n <= g[name]
				ok := b.Take(name, n)
				if ok {
					held[name] += n
				}
				if !ok && within && settled {
					t.Fatalf("%s gets no %d more of its guarantee of %d, with %d in use", name, n, g[name], held[name])
				}
				if had := held[name] - n; ok && n > 0 && faulty[name] && held[name] > g[name] && had > 0 {
					t.Fatalf("%s is faulty, has %d and borrows", name, had)
				}
				if free := b.Free() - reservedForOthers(b, name); !ok && known && held[name] == 0 && n <= free {
					t.Fatalf("%s has nothing and gets no %d of the %d that are guaranteed to nobody", name, n, free)
				}
			case 5, 6, 7:
				n = min(n, held[name])
				if n > 0 {
					b.Give(name, n)
					held[name] -= n
				}
			case 8:
				faulty[name] = !faulty[name] && b.holders[name] != nil
				b.Trouble(name, faulty[name])
			case 9:
				g = guarantees("then ")
				for _, n := range names {
					if _, named := g[n]; !named && held[n] == 0 {
						faulty[n] = false // the budget has forgotten it
					}
				}
				if err := b.Configure(total, g); err != nil {
					t.Fatal(err)
				}
				settled = false
			}
			sum, reserved := 0, 0
			for _, n := range names {
				sum += held[n]
				reserved += max(0, g[n]-held[n])
				if b.Used(n) != held[n] {
					t.Fatalf("%s has %d, counted %d", n, held[n], b.Used(n))
				}
			}
			if sum > total || b.Free() != total-sum {
				t.Fatalf("%d of %d in use, %d free", sum, total, b.Free())
			}
			settled = settled || sum+reserved <= total
			if settled && sum+reserved > total {
				t.Fatalf("%d in use and %d reserved of %d", sum, reserved, total)
			}
		}
		for n, h := range maps.Clone(held) {
			if h > 0 {
				b.Give(n, h)
			}
		}
		if b.Free() != total || len(b.Debtors()) != 0 {
			t.Fatalf("%d of %d free at the end", b.Free(), total)
		}
	})
}

// TestBudgetRejectsInvalidAmounts: guarantees that do not fit, holders that are not known and negative
// amounts get an error or nothing, and giving back what nobody has panics.
func TestBudgetRejectsInvalidAmounts(t *testing.T) {
	for _, g := range []map[string]int{{"a": 6, "b": 5}, {"a": -1}} {
		if _, err := NewBudget(10, g); !errors.Is(err, ErrBudget) {
			t.Errorf("%v: %v", g, err)
		}
	}
	b, err := NewBudget(10, map[string]int{"a": 5})
	if err != nil {
		t.Fatal(err)
	}
	if b.Take("stranger", 1) || b.Take("a", -1) {
		t.Error("an unknown holder or a negative amount took something")
	}
	defer func() {
		if recover() == nil {
			t.Error("giving back what nobody has does not panic")
		}
	}()
	b.Give("a", 1)
}

// reservedForOthers is what is guaranteed to others than a holder, and not in use.
func reservedForOthers(b *Budget, holder string) (sum int) {
	for name, h := range b.holders {
		if name != holder {
			sum += h.unusedGuarantee()
		}
	}
	return sum
}

// TestBorrowersGiveBackInOrder: of two holders that have borrowed, the one that has borrowed more gives back
// first, unless the other is faulty.
func TestBorrowersGiveBackInOrder(t *testing.T) {
	b, err := NewBudget(20, map[string]int{"a": 2, "b": 2, "c": 2})
	if err != nil {
		t.Fatal(err)
	}
	for name, n := range map[string]int{"a": 4, "b": 7, "c": 2} {
		if !b.Take(name, n) {
			t.Fatalf("%s cannot have %d", name, n)
		}
	}
	if got := fmt.Sprint(b.Debtors()); got != "[b a]" {
		t.Errorf("got %s", got)
	}
	b.Trouble("a", true)
	if got := fmt.Sprint(b.Debtors()); got != "[a b]" {
		t.Errorf("with a faulty: got %s", got)
	}
}

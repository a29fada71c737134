package route

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// anyRule draws rules of a few hosts and paths, so that many have the same host or match the same requests.
var anyRule = rapid.Custom(func(t *rapid.T) Rule {
	return Rule{
		Host:   rapid.SampledFrom([]string{"", "a.org", "b.a.org", "*.a.org", "*.b.a.org", "*.org"}).Draw(t, "host"),
		Path:   rapid.SampledFrom([]string{"", "/a", "/a/", "/a/b"}).Draw(t, "path"),
		Method: rapid.SampledFrom([]string{"", "GET"}).Draw(t, "method"),
		Class:  rapid.SampledFrom([]string{"", "a"}).Draw(t, "class"),
	}
})

// ruleID returns a text that identifies the requests that a rule matches.
func ruleID(r Rule) string { return fmt.Sprint(r.Host, "|", r.Path, "|", r.Method, "|", r.Class) }

// allMatches returns a table's matches for queries with many hosts, paths and methods.
func allMatches(t *Table) (all []string) {
	for _, host := range []string{"a.org", "b.a.org", "c.b.a.org", "x.org", "z"} {
		for _, path := range []string{"/", "/a", "/a/b", "/a/b/c", "/ab"} {
			for _, method := range []string{"GET", "POST"} {
				m, ok := t.Match(Query{Host: host, Path: path, Method: method})
				text := "none"
				if ok {
					text = m.Pool + " " + m.Reason()
				}
				all = append(all, text)
			}
		}
	}
	return all
}

// TestChangedTableMatchesLikeNewOne: a table changes at random. It matches like a new table of the same rules, and
// the previous tables match as before.
func TestChangedTableMatchesLikeNewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make(map[string]Rule)
		table, err := New(nil)
		if err != nil {
			t.Fatal(err)
		}
		type past struct {
			table   *Table
			matches []string
		}
		var before []past
		for step := range rapid.IntRange(1, 8).Draw(t, "changes") {
			before = append(before, past{table, allMatches(table)})
			var without, with []*Rule
			for _, r := range rapid.SliceOfN(anyRule, 0, 3).Draw(t, "without") {
				delete(all, ruleID(r))
				without = append(without, &r)
			}
			for _, r := range rapid.SliceOfN(anyRule, 0, 6).Draw(t, "with") {
				r.Targets = to(fmt.Sprint(step, " ", ruleID(r)))
				r.Origin = fmt.Sprint("step ", step)
				if _, there := all[ruleID(r)]; !there {
					all[ruleID(r)] = r
					with = append(with, &r)
				}
			}
			if table, err = table.Change(without, with); err != nil {
				t.Fatal(err)
			}
			whole, err := New(slices.Collect(maps.Values(all)))
			if err != nil {
				t.Fatal(err)
			}
			if got, want := allMatches(table), allMatches(whole); !slices.Equal(got, want) {
				t.Fatalf("after %d changes: matches %q, want %q", step+1, got, want)
			}
		}
		for i, p := range before {
			if !slices.Equal(allMatches(p.table), p.matches) {
				t.Fatalf("change %d has modified the previous table", i)
			}
		}
	})
}

// TestChangeSkipsInvalidRules: some rules of a change are invalid. Each is reported with its origin, the new table has
// the other rules, and the previous table stays unchanged.
func TestChangeSkipsInvalidRules(t *testing.T) {
	table, err := New([]Rule{{Origin: "0", Host: "a.org", Targets: to("a")}})
	if err != nil {
		t.Fatal(err)
	}
	next, err := table.Change(nil, []*Rule{
		{Origin: "1", Host: "a.org", Targets: to("b")},
		{Origin: "2", Host: "b.org", Targets: to("b")},
		{Origin: "3", Host: "Upper.org", Targets: to("c")},
	})
	if re := (*RuleError)(nil); !errors.As(err, &re) || !strings.Contains(err.Error(), "route at 1: matches the same requests as the route at 0") || !strings.Contains(err.Error(), "route at 3: ") || strings.Contains(err.Error(), "route at 2") {
		t.Errorf("got error %v, want one for each of rules 1 and 3", err)
	}
	for host, want := range map[string]string{"a.org": "a", "b.org": "b", "upper.org": ""} {
		if m, _ := next.Match(Query{Host: host, Path: "/"}); m.Pool != want {
			t.Errorf("%s is routed to %q, want %q", host, m.Pool, want)
		}
	}
	if _, ok := table.Match(Query{Host: "b.org", Path: "/"}); ok {
		t.Error("the change has modified the previous table")
	}
}

// manyRules returns a table of n rules, 28 for each host.
func manyRules(t testing.TB, n int) *Table {
	t.Helper()
	rules := make([]Rule, n)
	for i := range rules {
		rules[i] = Rule{Host: fmt.Sprintf("service-%d.example.org", i/28), Path: fmt.Sprint("/part-", i), Targets: to("p")}
	}
	table, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestChangeCostIsIndependentOfSize: one rule changes in tables of 364 and of 37,000 rules. Both changes take about the
// same number of allocations.
func TestChangeCostIsIndependentOfSize(t *testing.T) {
	cost := func(n int) float64 {
		table := manyRules(t, n)
		r := []*Rule{{Host: "service-7.example.org", Path: "/part-200", Targets: to("q")}}
		return testing.AllocsPerRun(50, func() {
			if _, err := table.Change(r, r); err != nil {
				t.Fatal(err)
			}
		})
	}
	few, most := cost(364), cost(37_000)
	if most > 1.5*few {
		t.Errorf("a change needs %v allocations with 364 rules and %v with 37,000", few, most)
	}
}

// BenchmarkChange changes one of the 28 rules of a host.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{364, 3_640, 37_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := manyRules(b, n)
			r := []*Rule{{Host: "service-7.example.org", Path: "/part-200", Targets: to("q")}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Change(r, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMatch matches a request for a host with its own rules.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{364, 37_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := manyRules(b, n)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := table.Match(Query{Host: "service-7.example.org", Path: "/part-200/17", Method: "GET"}); !ok {
					b.Fatal("the path of service 7 matches no rule")
				}
			}
		})
	}
}

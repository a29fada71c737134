package route

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

func to(pool string) []Target { return []Target{{pool, 1}} }

// TestMatchPrefersMostSpecificRule: rules for exact hosts, wildcards and any host differ by path, class and method.
// The most specific one that matches applies.
func TestMatchPrefersMostSpecificRule(t *testing.T) {
	table, err := New([]Rule{
		{Host: "orders.example.org", Path: "/api", Targets: to("api")},
		{Host: "orders.example.org", Path: "/api/v2/", Targets: to("v2")},
		{Host: "orders.example.org", Path: "/api", Method: "POST", Targets: to("post")},
		{Host: "orders.example.org", Path: "/api", Class: "api", Targets: to("class")},
		{Host: "*.example.org", AssignedClass: "page", Targets: to("wild")},
		{Host: "*.deep.example.org", Targets: to("deep")},
		{Path: "/open", Targets: to("open")},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, testCase := range []struct{ host, method, path, pool, class string }{
		{"orders.example.org", "GET", "/api", "class", "api"},
		{"orders.example.org", "POST", "/api/x", "class", "api"},
		{"orders.example.org", "GET", "/api/v2/x", "v2", "api"},
		{"orders.example.org", "GET", "/api/v2", "class", "api"},
		{"orders.example.org", "GET", "/apix", "", ""},
		{"orders.example.org", "GET", "/open", "", ""}, // only the host's own rules apply
		{"stock.example.org", "GET", "/", "wild", "page"},
		{"a.b.example.org", "GET", "/x", "wild", "page"},
		{"x.deep.example.org", "GET", "/x", "deep", "x"},
		{"example.org", "GET", "/open/x", "open", "open"}, // a wildcard matches at least one label
		{"", "GET", "/open", "open", "open"},
		{"other", "GET", "/shut", "", ""},
	} {
		m, ok := table.Match(Query{Host: testCase.host, Method: testCase.method, Path: testCase.path})
		if ok != (testCase.pool != "") || m.Pool != testCase.pool || m.Class != testCase.class {
			t.Errorf("%s %s%s: pool %q, class %q; want pool %q, class %q", testCase.method, testCase.host, testCase.path, m.Pool, m.Class, testCase.pool, testCase.class)
		}
		if ok && !strings.Contains(m.Reason(), "path") {
			t.Errorf("%s%s: the reason %q does not contain the path", testCase.host, testCase.path, m.Reason())
		}
	}
}

// TestNewReportsEveryInvalidRule: one error reports all invalid rules, each with its origin. Of two rules that match
// the same requests, the second one is reported.
func TestNewReportsEveryInvalidRule(t *testing.T) {
	_, err := New([]Rule{
		{Origin: "1", Host: "Upper.example.org", Targets: to("p")},
		{Origin: "2", Host: "a.example.org:80", Targets: to("p")},
		{Origin: "3", Host: "*.", Targets: to("p")},
		{Origin: "4", Path: "api", Targets: to("p")},
		{Origin: "5", Path: "/a/../b", Targets: to("p")},
		{Origin: "6"},
		{Origin: "7", Targets: []Target{{"p", 0}}},
		{Origin: "8", Targets: []Target{{"p", -1}}},
		{Origin: "9", Path: "/x", Targets: to("p")},
		{Origin: "10", Path: "/x", Targets: to("q")},
	})
	if re := (*RuleError)(nil); !errors.As(err, &re) {
		t.Fatalf("got error %v, want a RuleError", err)
	}
	for _, origin := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "10"} {
		if !strings.Contains(err.Error(), "route at "+origin+": ") {
			t.Errorf("rule %s is not reported", origin)
		}
	}
	if strings.Contains(err.Error(), "route at 9: matches") {
		t.Error("the first of two duplicate rules is reported")
	}
}

// matchNaively is a reference implementation of Table.Match, which checks every rule.
func matchNaively(rules []Rule, query Query) *Rule {
	hostRank := func(r *Rule) int {
		domain, wild := strings.CutPrefix(r.Host, "*.")
		switch {
		case r.Host == "":
			return 1
		case wild && strings.HasSuffix(query.Host, "."+domain):
			return 2 + len(domain)
		case !wild && r.Host == query.Host:
			return 1000
		}
		return 0
	}
	top := 0
	for i := range rules {
		top = max(top, hostRank(&rules[i]))
	}
	var best *Rule
	score := -1
	for i := range rules {
		r := &rules[i]
		if top == 0 || hostRank(r) != top {
			continue
		}
		rest, ok := strings.CutPrefix(query.Path, r.Path)
		if !ok || r.Path != "" && rest != "" && !strings.HasSuffix(r.Path, "/") && rest[0] != '/' {
			continue
		}
		if r.Method != "" && r.Method != query.Method || r.Class != "" && r.Class != strings.Split(query.Path[1:], "/")[0] {
			continue
		}
		s := 4 * len(r.Path)
		if r.Class != "" {
			s += 2
		}
		if r.Method != "" {
			s++
		}
		if s > score {
			best, score = r, s
		}
	}
	return best
}

// TestMatchAgreesWithNaiveMatch: for random rules and queries, the table matches like the reference implementation.
func TestMatchAgreesWithNaiveMatch(t *testing.T) {
	hosts := []string{"", "a.org", "b.a.org", "c.b.a.org", "*.a.org", "*.b.a.org", "*.org"}
	paths := []string{"", "/", "/a", "/a/", "/a/b", "/ab", "/a/b/c", "/b"}
	rapid.Check(t, func(t *rapid.T) {
		seen := make(map[string]bool)
		var rules []Rule
		for range rapid.IntRange(0, 12).Draw(t, "rules") {
			r := Rule{
				Host: rapid.SampledFrom(hosts).Draw(t, "host"), Path: rapid.SampledFrom(paths).Draw(t, "path"),
				Method: rapid.SampledFrom([]string{"", "GET", "POST"}).Draw(t, "method"),
				Class:  rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "class"),
			}
			id := fmt.Sprint(r.Host, "|", r.Path, "|", r.Method, "|", r.Class)
			if seen[id] {
				continue
			}
			seen[id] = true
			r.Targets = to(id)
			rules = append(rules, r)
		}
		table, err := New(rules)
		if err != nil {
			t.Fatal(err)
		}
		q := Query{
			Host:   rapid.SampledFrom(append(hosts[1:4:4], "x.b.a.org", "org", "z")).Draw(t, "asked host"),
			Path:   rapid.SampledFrom(append(paths[1:], "/a/b/c/d", "/abc", "/b/a")).Draw(t, "asked path"),
			Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "asked method"),
		}
		want := matchNaively(rules, q)
		m, ok := table.Match(q)
		if ok != (want != nil) || ok && m.Pool != want.Targets[0].Pool {
			t.Fatalf("%+v is routed to pool %q (matched: %v), want the rule %+v", q, m.Pool, ok, want)
		}
	})
}

// TestTargetsGetTheirWeights: a rule has targets with weights 3, 0 and 1. Over all values of Pick, each target gets its
// part of the requests.
func TestTargetsGetTheirWeights(t *testing.T) {
	table, err := New([]Rule{{Targets: []Target{{"a", 3}, {"off", 0}, {"b", 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]int)
	for i := range 400 {
		m, _ := table.Match(Query{Path: "/", Pick: uint64(i)})
		got[m.Pool]++
	}
	if got["a"] != 300 || got["b"] != 100 || got["off"] != 0 {
		t.Errorf("requests by pool: %v, want 300 for a and 100 for b", got)
	}
}

// TestNormalizeHost: valid Host headers are converted to the form that tables use, and invalid ones are rejected.
func TestNormalizeHost(t *testing.T) {
	for text, want := range map[string]string{
		"": "", "Orders.Example.ORG": "orders.example.org", "orders.example.org:8080": "orders.example.org",
		"orders.example.org.": "orders.example.org", "127.0.0.1:80": "127.0.0.1", "[::1]:80": "[::1]", "[FE80::1]": "[fe80::1]",
	} {
		if got, err := NormalizeHost(text); err != nil || got != want {
			t.Errorf("%q: got %q and error %v, want %q", text, got, err, want)
		}
	}
	for _, text := range []string{"a b", "a/b", "a..b", ".", ":80", "a:b", "a:123456", "[::1", "[]", "é.org", strings.Repeat("a", 64), "a@b"} {
		if got, err := NormalizeHost(text); err == nil {
			t.Errorf("%q is accepted as %q, want an error", text, got)
		}
	}
}

// FuzzHost normalizes any text: the result is in lower case, and does not change when it is normalized again.
func FuzzHost(f *testing.F) {
	for _, s := range []string{"orders.example.org:80", "[::1]:9", "A.", "*.x", "a:b:c", "\x00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		h, err := NormalizeHost(text)
		if err != nil {
			return
		}
		if again, err := NormalizeHost(h); err != nil || again != h {
			t.Errorf("%q is normalized to %q, and that to %q with error %v", text, h, again, err)
		}
		if strings.ToLower(h) != h {
			t.Errorf("%q is normalized to %q, which is not in lower case", text, h)
		}
	})
}

// FuzzPath matches any path: a prefix matches whole segments only, and CheckPath accepts no path with a ".." segment.
func FuzzPath(f *testing.F) {
	table, err := New([]Rule{{Path: "/a", Targets: to("a")}, {Path: "/a/b/", Targets: to("b")}, {Targets: to("rest")}})
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []string{"/", "/a", "/a/b/c", "/a/%2E%2e/b", "//", "/a/./b", "a"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, path string) {
		m, ok := table.Match(Query{Path: path})
		if !ok {
			t.Fatalf("%q matches no rule", path)
		}
		if m.Pool == "b" && !strings.HasPrefix(path, "/a/b/") || m.Pool == "a" && path != "/a" && !strings.HasPrefix(path, "/a/") {
			t.Errorf("%q is routed to %s, whose path prefix does not match", path, m.Pool)
		}
		if CheckPath(path) == nil && strings.Contains(path+"/", "/../") {
			t.Errorf("CheckPath accepts %q, which has a .. segment", path)
		}
	})
}

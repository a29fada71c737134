package route

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Query is what a table is asked. Host must be in the form that NormalizeHost gives. Pick decides among weighted targets:
// queries with one Pick always get the same.
type Query struct {
	Host, Path, Method string
	Pick               uint64
}

// Match is where a request goes.
type Match struct {
	Rule  *Rule
	Pool  string
	Class string
	host  string // what matched, for Reason
}

// Table is a set of rules by host. It never changes.
type Table struct {
	exact    *iradix.Tree[*hostRules] // by host
	wildcard *iradix.Tree[*hostRules] // by domain, without "*."
	anyHost  *hostRules               // nil where there are no such rules
}

// hostRules are the rules of one host by their path prefixes. Those in a table never change.
type hostRules struct {
	description   string             // of the host, for Reason
	byPrefix      map[string][]*Rule // the most specific first
	prefixLengths []int              // of the prefixes, longest first
}

// New builds a table of rules in their order, which it keeps. Its error joins a RuleError for every rule that
// cannot be used.
func New(lists ...[]Rule) (*Table, error) {
	var all []*Rule
	for _, rules := range lists {
		for i := range rules {
			all = append(all, &rules[i])
		}
	}
	empty := &Table{exact: iradix.New[*hostRules](), wildcard: iradix.New[*hostRules]()}
	return empty.Change(nil, all)
}

// Change gives the table without the rules that match the same as those in without, and then with others. It
// costs by these rules and the others of their hosts. Its error joins a RuleError for every rule that cannot be
// used, and comes with the table without them. The rules must not change from then on.
func (t *Table) Change(without, with []*Rule) (*Table, error) {
	e := newEdit(t)
	for _, r := range without {
		e.remove(r)
	}
	var errs []error
	for _, r := range with {
		err := r.check()
		if err == nil {
			err = e.add(r)
		}
		if err != nil {
			errs = append(errs, &RuleError{r.Origin, err})
		}
	}
	return e.commit(), errors.Join(errs...)
}

// Find finds the rule for a request whose Host header is as it came. An error says what is wrong with host or
// path.
func (t *Table) Find(host string, q Query) (m Match, ok bool, err error) {
	if q.Host, err = NormalizeHost(host); err != nil {
		return Match{}, false, fmt.Errorf("host: %w", err)
	}
	if err := CheckPath(q.Path); err != nil {
		return Match{}, false, fmt.Errorf("path: %w", err)
	}
	m, ok = t.Match(q)
	return m, ok, nil
}

// Match finds the rule for a request, in the package's order: the exact host before the longest wildcard before
// any host, then the longest path prefix, then class before method.
func (t *Table) Match(q Query) (Match, bool) {
	rules := t.rulesOf(q.Host)
	if rules == nil {
		return Match{}, false
	}
	class := ClassOfPath(q.Path)
	for _, n := range rules.prefixLengths {
		if !isPrefixEnd(q.Path, n) {
			continue
		}
		for _, r := range rules.byPrefix[q.Path[:n]] {
			if (r.Method == "" || r.Method == q.Method) && (r.Class == "" || r.Class == class) {
				return Match{Rule: r, Pool: r.pick(q.Pick), Class: cmp.Or(r.AssignedClass, class), host: rules.description}, true
			}
		}
	}
	return Match{}, false
}

// isPrefixEnd reports whether a path prefix of n bytes ends with a whole segment: at its own '/', before one,
// or at the path's end.
func isPrefixEnd(path string, n int) bool {
	switch {
	case n > len(path):
		return false
	case n == 0 || n == len(path):
		return true
	}
	return path[n-1] == '/' || path[n] == '/'
}

// rulesOf gives the rules of a host: its own, those of the longest wildcard that it is under, or those of any
// host; nil where there are none.
func (t *Table) rulesOf(host string) *hostRules {
	var buffer [maxHostLength]byte // no allocation for a look-up
	rest := append(buffer[:0], host...)
	if rules, ok := t.exact.Root().Get(rest); ok {
		return rules
	}
	// A wildcard stands for one label or more.
	for ok := t.wildcard.Len() > 0; ok; {
		if _, rest, ok = bytes.Cut(rest, []byte(".")); ok {
			if rules, ok := t.wildcard.Root().Get(rest); ok {
				return rules
			}
		}
	}
	return t.anyHost
}

// Reason says why a request goes where it goes.
func (m Match) Reason() string {
	r := m.Rule
	parts := []string{m.host}
	if r.Path == "" {
		parts = append(parts, "any path")
	} else {
		parts = append(parts, "path prefix "+r.Path)
	}
	if r.Class != "" {
		parts = append(parts, "class "+r.Class)
	}
	if r.Method != "" {
		parts = append(parts, "method "+r.Method)
	}
	if len(r.Targets) > 1 {
		own := 0
		for _, target := range r.Targets {
			if target.Pool == m.Pool {
				own += target.Weight
			}
		}
		parts = append(parts, fmt.Sprintf("weight %d of %d", own, r.totalWeight()))
	}
	if r.AssignedClass != "" {
		parts = append(parts, "taken as class "+r.AssignedClass)
	}
	text := strings.Join(parts, ", ")
	if r.Origin != "" {
		text += " (" + r.Origin + ")"
	}
	return text
}

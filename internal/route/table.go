package route

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Query describes a request to be routed. Host must have the form that NormalizeHost returns. Pick chooses among
// weighted targets: queries with the same Pick always get the same target.
type Query struct {
	Host, Path, Method string
	Pick               uint64
}

// Match is the result of a successful Query.
type Match struct {
	Rule  *Rule
	Pool  string
	Class string
	host  string // the description of the hostRules that matched, for Reason
}

// Table is a set of rules. It never changes, and may be used concurrently.
type Table struct {
	exact    *iradix.Tree[*hostRules] // rules by exact host
	wildcard *iradix.Tree[*hostRules] // rules of wildcard hosts by domain, without "*."
	anyHost  *hostRules               // rules without a host; nil for none
}

// hostRules holds the rules of one host. It does not change once it is in a table.
type hostRules struct {
	description   string             // description of the host, for Reason
	byPrefix      map[string][]*Rule // rules by path prefix; the most specific rule first
	prefixLengths []int              // lengths of the path prefixes, longest first
}

// New returns a table of rules. The table refers to the rules, which must not change afterwards. The error joins
// a RuleError for each rule that is invalid or a duplicate of an earlier one.
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

// Change returns a table with changed rules: first the rules with the same host, path, method and class as the rules
// in without are removed, and then the rules in with are added. The cost depends on these rules and the other rules of
// their hosts. The error joins a RuleError for each rule that is invalid or a duplicate; the returned table then
// has all other rules. The rules must not change afterwards.
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

// Find returns the match for a request with the given Host header, which it normalizes and uses instead of q.Host. ok
// is false if no rule matches. The error describes an invalid host or path.
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

// Match returns the match for a request, by the most specific rule; see the package comment. It returns false if no
// rule matches.
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

// isPrefixEnd reports whether a path prefix of n bytes ends with a whole segment: at its own '/', before a '/',
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

// rulesOf returns the rules for a host: the host's own rules, the rules of the longest matching wildcard, or the
// rules of any host; nil if no rules apply.
func (t *Table) rulesOf(host string) *hostRules {
	var buffer [maxHostLength]byte // so that a lookup does not allocate
	rest := append(buffer[:0], host...)
	if rules, ok := t.exact.Root().Get(rest); ok {
		return rules
	}
	// A wildcard matches one or more labels.
	for ok := t.wildcard.Len() > 0; ok; {
		if _, rest, ok = bytes.Cut(rest, []byte(".")); ok {
			if rules, ok := t.wildcard.Root().Get(rest); ok {
				return rules
			}
		}
	}
	return t.anyHost
}

// Reason explains the match, for people: the host, path prefix and other conditions of the rule.
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
		parts = append(parts, "with class "+r.AssignedClass)
	}
	text := strings.Join(parts, ", ")
	if r.Origin != "" {
		text += " (" + r.Origin + ")"
	}
	return text
}

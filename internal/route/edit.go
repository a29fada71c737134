package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// edit is a new table under construction from a previous one, which stays unchanged.
type edit struct {
	exact, wildcard *iradix.Txn[*hostRules]
	anyHost         *hostRules
	drafts          map[string]*draft // drafts by host
	added           map[ruleKey]*Rule
}

// ruleKey identifies the requests that a rule matches.
type ruleKey struct{ host, path, method, class string }

// draft holds the changed rules of one host. They are not in any table yet.
type draft struct {
	*hostRules
	added map[string][]*Rule // rules that are not in the previous table, by path
}

func newEdit(t *Table) *edit {
	return &edit{
		exact: t.exact.Txn(), wildcard: t.wildcard.Txn(), anyHost: t.anyHost,
		drafts: make(map[string]*draft), added: make(map[ruleKey]*Rule),
	}
}

// draftOf returns the draft of a host's rules, which it creates if necessary.
func (e *edit) draftOf(host string) *draft {
	if d := e.drafts[host]; d != nil {
		return d
	}
	d := &draft{
		hostRules: &hostRules{description: "host " + host, byPrefix: make(map[string][]*Rule)},
		added:     make(map[string][]*Rule),
	}
	if host == "" {
		d.description = "any other host"
	}
	if before := e.previousRules(host); before != nil {
		d.byPrefix, d.prefixLengths = maps.Clone(before.byPrefix), before.prefixLengths
	}
	e.drafts[host] = d
	return d
}

// previousRules returns a host's rules in the previous table; nil for none.
func (e *edit) previousRules(host string) (rules *hostRules) {
	switch domain, isWildcard := strings.CutPrefix(host, "*."); {
	case host == "":
		rules = e.anyHost
	case isWildcard:
		rules, _ = e.wildcard.Get([]byte(domain))
	default:
		rules, _ = e.exact.Get([]byte(host))
	}
	return rules
}

// remove removes the rules with the same host, path, method and class as r.
func (e *edit) remove(r *Rule) {
	d := e.draftOf(r.Host)
	// The slices belong to the previous table and must not change.
	rules := slices.DeleteFunc(slices.Clone(d.byPrefix[r.Path]), r.matchesSame)
	if len(rules) == 0 {
		delete(d.byPrefix, r.Path)
		return
	}
	d.byPrefix[r.Path] = rules
}

// add adds a rule. The error is a DuplicateRuleError if a rule with the same host, path, method and class exists.
func (e *edit) add(r *Rule) error {
	key, d := ruleKey{r.Host, r.Path, r.Method, r.Class}, e.draftOf(r.Host)
	if other := e.added[key]; other != nil {
		return &DuplicateRuleError{other.Origin}
	}
	if at := slices.IndexFunc(d.byPrefix[r.Path], r.matchesSame); at >= 0 {
		return &DuplicateRuleError{d.byPrefix[r.Path][at].Origin}
	}
	e.added[key] = r
	d.added[r.Path] = append(d.added[r.Path], r)
	return nil
}

// commit returns the new table. The edit must not be used afterwards.
func (e *edit) commit() *Table {
	for host, d := range e.drafts {
		e.store(host, d.finish())
	}
	return &Table{exact: e.exact.Commit(), wildcard: e.wildcard.Commit(), anyHost: e.anyHost}
}

// finish merges the added rules with the others and sorts them.
func (d *draft) finish() *hostRules {
	rules := d.hostRules
	for path, added := range d.added {
		all := append(slices.Clip(rules.byPrefix[path]), added...)
		slices.SortStableFunc(all, func(a, b *Rule) int { return cmp.Compare(b.specificity(), a.specificity()) })
		rules.byPrefix[path] = all
	}
	rules.prefixLengths = make([]int, 0, len(rules.byPrefix))
	for path := range rules.byPrefix {
		rules.prefixLengths = append(rules.prefixLengths, len(path))
	}
	slices.SortFunc(rules.prefixLengths, func(a, b int) int { return b - a })
	rules.prefixLengths = slices.Compact(rules.prefixLengths)
	return rules
}

// store sets a host's rules in the new table, or removes the host if it has no rules.
func (e *edit) store(host string, rules *hostRules) {
	empty := len(rules.byPrefix) == 0
	if host == "" {
		e.anyHost = rules
		if empty {
			e.anyHost = nil
		}
		return
	}
	tree := e.exact
	domain, isWildcard := strings.CutPrefix(host, "*.")
	if isWildcard {
		tree = e.wildcard
	}
	if empty {
		tree.Delete([]byte(domain))
		return
	}
	tree.Insert([]byte(domain), rules)
}

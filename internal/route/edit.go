package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// edit is a table that is being made of another, which stays as it is.
type edit struct {
	exact, wildcard *iradix.Txn[*hostRules]
	anyHost         *hostRules
	drafts          map[string]*draft // by host
	added           map[ruleKey]*Rule
}

// ruleKey is what a rule matches.
type ruleKey struct{ host, path, method, class string }

// draft is the rules of a host that the edit changes. They are not in any table yet.
type draft struct {
	*hostRules
	added map[string][]*Rule // by path, besides those of the table before
}

func newEdit(t *Table) *edit {
	return &edit{
		exact: t.exact.Txn(), wildcard: t.wildcard.Txn(), anyHost: t.anyHost,
		drafts: make(map[string]*draft), added: make(map[ruleKey]*Rule),
	}
}

// draftOf gives a host's rules as they may be changed.
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
	if before := e.before(host); before != nil {
		d.byPrefix, d.prefixLengths = maps.Clone(before.byPrefix), before.prefixLengths
	}
	e.drafts[host] = d
	return d
}

// before gives a host's rules in the table before; nil for none.
func (e *edit) before(host string) (rules *hostRules) {
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

// remove removes the rules that match the same as r.
func (e *edit) remove(r *Rule) {
	d := e.draftOf(r.Host)
	// The slices belong to the table before.
	rules := slices.DeleteFunc(slices.Clone(d.byPrefix[r.Path]), r.matchesSame)
	if len(rules) == 0 {
		delete(d.byPrefix, r.Path)
		return
	}
	d.byPrefix[r.Path] = rules
}

// add adds a rule. Its error is a DuplicateRuleError where one that matches the same is there.
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

// commit gives the new table. The edit must not be used after it.
func (e *edit) commit() *Table {
	for host, d := range e.drafts {
		e.store(host, d.finish())
	}
	return &Table{exact: e.exact.Commit(), wildcard: e.wildcard.Commit(), anyHost: e.anyHost}
}

// finish merges the added rules and sorts all.
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

// store puts a host's rules into the new table, or takes the host out where there are none left.
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

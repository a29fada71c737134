// Package route finds the pool for a request by host, path prefix, method and
// class, and says why. It is pure: a table is built once and never changes.
package route

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"slices"
	"strings"
)

// RuleError is a complaint about one rule of a table.
type RuleError struct {
	Origin string
	Err    error
}

func (e *RuleError) Error() string { return "route at " + e.Origin + ": " + e.Err.Error() }
func (e *RuleError) Unwrap() error { return e.Err }

// Rule sends what it matches to one of its targets. Empty fields match all.
type Rule struct {
	Service string
	Host    string // exact, "*." and a domain for all hosts under it, or "" for any other
	Path    string // prefix, up to its own end, a '/' or the path's end
	Method  string
	Class   string // the path's first segment
	As      string // the class that what matches is given; "" leaves the first segment
	Targets []Target
	Origin  string // where the rule stands, for people
}

// Target is a pool and its weight among the rule's targets, 0 to MaxWeight.
type Target struct {
	Pool   string
	Weight int
}

// MaxWeight is the most that a target may weigh.
const MaxWeight = 1_000_000

// Query is what a table is asked. Host must have gone through Host. Pick decides
// among weighted targets: queries with one Pick always get the same.
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

// Table is a set of rules.
type Table struct {
	exact, wild map[string]*paths // wild by domain, without "*."
	other       *paths
}

// paths are the rules of one host by their prefixes.
type paths struct {
	name    string
	rules   map[string][]*Rule // the closest first
	lengths []int              // of prefixes, longest first
}

// New builds a table of rules in their order, which it keeps. Its error joins a RuleError for
// every rule that cannot be used.
func New(lists ...[]Rule) (*Table, error) {
	t := &Table{exact: make(map[string]*paths), wild: make(map[string]*paths)}
	var errs []error
	type key struct{ host, path, method, class string }
	first := make(map[key]*Rule)
	for r := range all(lists) {
		if err := r.check(); err != nil {
			errs = append(errs, &RuleError{r.Origin, err})
			continue
		}
		p := t.host(r.Host)
		k := key{r.Host, r.Path, r.Method, r.Class}
		if o := first[k]; o != nil {
			errs = append(errs, &RuleError{r.Origin, fmt.Errorf("matches the same as the route at %s: want another host, path, method or class", o.Origin)})
			continue
		}
		first[k] = r
		if p.rules[r.Path] == nil {
			p.lengths = append(p.lengths, len(r.Path))
		}
		p.rules[r.Path] = append(p.rules[r.Path], r)
	}
	for _, hosts := range []map[string]*paths{t.exact, t.wild, {"": t.other}} {
		for _, p := range hosts {
			if p == nil {
				continue
			}
			slices.SortFunc(p.lengths, func(a, b int) int { return b - a })
			p.lengths = slices.Compact(p.lengths)
			for _, rs := range p.rules {
				slices.SortStableFunc(rs, func(a, b *Rule) int { return cmp.Compare(b.closeness(), a.closeness()) })
			}
		}
	}
	return t, errors.Join(errs...)
}

// all goes through the rules of some lists.
func all(lists [][]Rule) iter.Seq[*Rule] {
	return func(yield func(*Rule) bool) {
		for _, rules := range lists {
			for i := range rules {
				if !yield(&rules[i]) {
					return
				}
			}
		}
	}
}

func (r *Rule) check() error {
	host := strings.TrimPrefix(r.Host, "*.")
	switch h, err := Host(host); {
	case err != nil:
		return fmt.Errorf("host %q: %w", r.Host, err)
	case h != host:
		return fmt.Errorf("host %q: want %q, in lower case and without a port", r.Host, h)
	case r.Host != "" && host == "":
		return fmt.Errorf("host %q: a domain must follow", r.Host)
	case r.Path != "" && r.Path[0] != '/':
		return fmt.Errorf("path %q: want a prefix that begins with /", r.Path)
	case len(r.Targets) == 0:
		return errors.New("no pool to go to")
	}
	if r.Path != "" {
		if err := CheckPath(r.Path); err != nil {
			return fmt.Errorf("path %q: %w", r.Path, err)
		}
	}
	sum := 0
	for _, g := range r.Targets {
		if g.Weight < 0 || g.Weight > MaxWeight {
			return fmt.Errorf("pool %q: weight %d, want 0 to %d", g.Pool, g.Weight, MaxWeight)
		}
		sum += g.Weight
	}
	if sum == 0 {
		return errors.New("no pool has a weight above 0")
	}
	return nil
}

// closeness ranks rules of one host and path.
func (r *Rule) closeness() int {
	n := 0
	if r.Class != "" {
		n += 2
	}
	if r.Method != "" {
		n++
	}
	return n
}

func (t *Table) host(name string) *paths {
	hosts, key := t.exact, name
	switch domain, wild := strings.CutPrefix(name, "*."); {
	case name == "":
		if t.other == nil {
			t.other = &paths{name: "any other host", rules: make(map[string][]*Rule)}
		}
		return t.other
	case wild:
		hosts, key = t.wild, domain
	}
	if hosts[key] == nil {
		hosts[key] = &paths{name: "host " + name, rules: make(map[string][]*Rule)}
	}
	return hosts[key]
}

// Match finds the rule for a request: the exact host before the longest wildcard
// before any other host, then the longest path, then class before method. A host
// that is named belongs to its rules alone: what they do not take, nobody does.
func (t *Table) Match(q Query) (Match, bool) {
	p := t.find(q.Host)
	if p == nil {
		return Match{}, false
	}
	class := Class(q.Path)
	for _, n := range p.lengths {
		if n > len(q.Path) {
			continue
		}
		prefix := q.Path[:n]
		if n > 0 && n < len(q.Path) && prefix[n-1] != '/' && q.Path[n] != '/' {
			continue
		}
		for _, r := range p.rules[prefix] {
			if (r.Method == "" || r.Method == q.Method) && (r.Class == "" || r.Class == class) {
				return Match{Rule: r, Pool: r.pick(q.Pick), Class: cmp.Or(r.As, class), host: p.name}, true
			}
		}
	}
	return Match{}, false
}

func (t *Table) find(host string) *paths {
	if p := t.exact[host]; p != nil {
		return p
	}
	// A wildcard stands for one label or more.
	for rest, ok := host, true; ok && len(t.wild) > 0; {
		if _, rest, ok = strings.Cut(rest, "."); ok && t.wild[rest] != nil {
			return t.wild[rest]
		}
	}
	return t.other
}

func (r *Rule) pick(n uint64) string {
	sum := 0
	for _, g := range r.Targets {
		sum += g.Weight
	}
	at := int(n % uint64(sum))
	for _, g := range r.Targets {
		if at -= g.Weight; at < 0 {
			return g.Pool
		}
	}
	panic("route: weights that do not add up")
}

// Reason says why a request goes where it goes.
func (m Match) Reason() string {
	r := m.Rule
	words := []string{m.host}
	if r.Path == "" {
		words = append(words, "any path")
	} else {
		words = append(words, "path prefix "+r.Path)
	}
	if r.Class != "" {
		words = append(words, "class "+r.Class)
	}
	if r.Method != "" {
		words = append(words, "method "+r.Method)
	}
	if len(r.Targets) > 1 {
		sum, own := 0, 0
		for _, g := range r.Targets {
			sum += g.Weight
			if g.Pool == m.Pool {
				own += g.Weight
			}
		}
		words = append(words, fmt.Sprintf("weight %d of %d", own, sum))
	}
	if r.As != "" {
		words = append(words, "taken as class "+r.As)
	}
	text := strings.Join(words, ", ")
	if r.Origin != "" {
		text += " (" + r.Origin + ")"
	}
	return text
}

// Class is the class that a path names: its first segment.
func Class(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}

// What makes a host or path unfit to be routed by.
var (
	errHost = errors.New("not a host name or address")
	errPort = errors.New("not a port")
	errDots = errors.New("segments . and .. are not taken: what they lead to may be another route's")
)

// Host gives a Host header in the form that tables use: lower case, without port
// and without the dot of the root. "" stays "".
func Host(text string) (string, error) {
	host, port := text, ""
	if i := strings.LastIndexByte(text, ':'); i >= 0 && strings.IndexByte(text[i:], ']') < 0 {
		host, port = text[:i], text[i+1:]
		for _, c := range []byte(port) {
			if c < '0' || c > '9' {
				return "", errPort
			}
		}
		if len(port) > 5 || host == "" {
			return "", errPort
		}
	}
	if host == "" {
		return "", nil
	}
	if host[0] == '[' {
		if len(host) < 4 || host[len(host)-1] != ']' || strings.Trim(host[1:len(host)-1], "0123456789abcdefABCDEF:.") != "" {
			return "", errHost
		}
		return strings.ToLower(host), nil
	}
	host = strings.TrimSuffix(host, ".")
	if host == "" || len(host) > 253 {
		return "", errHost
	}
	for label := range strings.SplitSeq(host, ".") {
		if label == "" || len(label) > 63 {
			return "", errHost
		}
		for _, c := range []byte(label) {
			if c >= 0x80 || !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
				return "", errHost
			}
		}
	}
	return strings.ToLower(host), nil
}

// Find finds the rule for a request whose Host header is as it came. An error tells
// what is wrong with host or path.
func (t *Table) Find(host string, q Query) (m Match, ok bool, err error) {
	if q.Host, err = Host(host); err != nil {
		return Match{}, false, fmt.Errorf("host: %w", err)
	}
	if err := CheckPath(q.Path); err != nil {
		return Match{}, false, fmt.Errorf("path: %w", err)
	}
	m, ok = t.Match(q)
	return m, ok, nil
}

// CheckPath refuses an escaped path that a server may read as another one than
// the table does.
func CheckPath(path string) error {
	if !strings.Contains(path, ".") && !strings.Contains(path, "%") {
		return nil
	}
	for seg := range strings.SplitSeq(path, "/") {
		s := strings.ReplaceAll(strings.ToLower(seg), "%2e", ".")
		if s == "." || s == ".." {
			return errDots
		}
	}
	return nil
}

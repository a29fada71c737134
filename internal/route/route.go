// Package route finds the pool for a request by host, path prefix, method and
// class, and says why. It is pure: a table never changes, and the next one shares
// with it what is the same.
package route

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// RuleError is a complaint about one rule of a table.
type RuleError struct {
	Origin string
	Err    error
}

func (e *RuleError) Error() string { return "route at " + e.Origin + ": " + e.Err.Error() }
func (e *RuleError) Unwrap() error { return e.Err }

// SameError is a complaint about a rule that matches the same as another.
type SameError struct{ Origin string } // of the other

func (e *SameError) Error() string {
	return "matches the same as the route at " + e.Origin + ": want another host, path, method or class"
}

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

// Table is a set of rules, by host: readers need no lock.
type Table struct {
	exact, wild *iradix.Tree[*paths] // wild by domain, without "*."
	other       *paths               // nil where there are no such rules
}

// paths are the rules of one host by their prefixes. They never change.
type paths struct {
	name    string
	rules   map[string][]*Rule // the closest first
	lengths []int              // of prefixes, longest first
}

// New builds a table. Its error joins a RuleError for every rule that cannot be used.
func New(rules []Rule) (*Table, error) {
	none := &Table{exact: iradix.New[*paths](), wild: iradix.New[*paths]()}
	all := make([]*Rule, len(rules))
	for i := range rules {
		all[i] = &rules[i]
	}
	return none.Change(nil, all)
}

// Change gives the table without the rules that match the same as some, and then with others.
// It costs by these rules and the others of their hosts. Its error joins a RuleError for every rule
// that cannot be used, beside the table without them. The rules must not change from then on.
func (t *Table) Change(without, with []*Rule) (*Table, error) {
	e := edit{exact: t.exact.Txn(), wild: t.wild.Txn(), other: t.other, own: make(map[string]*paths)}
	for _, r := range without {
		e.drop(r)
	}
	var errs []error
	for _, r := range with {
		err := r.check()
		if err == nil {
			err = e.put(r)
		}
		if err != nil {
			errs = append(errs, &RuleError{r.Origin, err})
		}
	}
	return e.commit(), errors.Join(errs...)
}

// edit is a table that is being made of another.
type edit struct {
	exact, wild *iradix.Txn[*paths]
	other       *paths
	own         map[string]*paths // by host: those that no table has yet
}

// host gives a host's paths as they may be changed.
func (e *edit) host(name string) *paths {
	if p := e.own[name]; p != nil {
		return p
	}
	p := &paths{name: "host " + name, rules: make(map[string][]*Rule)}
	if name == "" {
		p.name = "any other host"
	}
	if was := e.find(name); was != nil {
		p.rules, p.lengths = maps.Clone(was.rules), was.lengths
	}
	e.own[name] = p
	return p
}

func (e *edit) find(name string) (p *paths) {
	switch domain, wild := strings.CutPrefix(name, "*."); {
	case name == "":
		p = e.other
	case wild:
		p, _ = e.wild.Get([]byte(domain))
	default:
		p, _ = e.exact.Get([]byte(name))
	}
	return p
}

func (r *Rule) same(o *Rule) bool { return r.Method == o.Method && r.Class == o.Class }

func (e *edit) drop(r *Rule) {
	p := e.host(r.Host)
	// The slices belong to the table before.
	if p.rules[r.Path] = slices.DeleteFunc(slices.Clone(p.rules[r.Path]), r.same); len(p.rules[r.Path]) == 0 {
		delete(p.rules, r.Path)
	}
}

func (e *edit) put(r *Rule) error {
	p := e.host(r.Host)
	all := p.rules[r.Path]
	if at := slices.IndexFunc(all, r.same); at >= 0 {
		return &SameError{all[at].Origin}
	}
	at := slices.IndexFunc(all, func(o *Rule) bool { return o.closeness() < r.closeness() })
	if at < 0 {
		at = len(all)
	}
	p.rules[r.Path] = slices.Insert(slices.Clip(all), at, r)
	return nil
}

func (e *edit) commit() *Table {
	for name, p := range e.own {
		p.lengths = make([]int, 0, len(p.rules))
		for path := range p.rules {
			p.lengths = append(p.lengths, len(path))
		}
		slices.SortFunc(p.lengths, func(a, b int) int { return b - a })
		p.lengths = slices.Compact(p.lengths)
		hosts := e.exact
		domain, wild := strings.CutPrefix(name, "*.")
		if wild {
			hosts = e.wild
		}
		switch none := len(p.rules) == 0; {
		case name == "" && none:
			e.other = nil
		case name == "":
			e.other = p
		case none:
			hosts.Delete([]byte(domain))
		default:
			hosts.Insert([]byte(domain), p)
		}
	}
	return &Table{exact: e.exact.Commit(), wild: e.wild.Commit(), other: e.other}
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
	var room [maxHost]byte
	rest := append(room[:0], host...)
	if p, ok := t.exact.Root().Get(rest); ok {
		return p
	}
	// A wildcard stands for one label or more.
	for ok := t.wild.Len() > 0; ok; {
		if _, rest, ok = bytes.Cut(rest, []byte(".")); ok {
			if p, ok := t.wild.Root().Get(rest); ok {
				return p
			}
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

// maxHost is the length of the longest host name.
const maxHost = 253

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
	if host == "" || len(host) > maxHost {
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

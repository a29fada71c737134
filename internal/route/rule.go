package route

import (
	"errors"
	"fmt"
	"strings"
)

// RuleError is what is wrong with one rule of a table.
type RuleError struct {
	Origin string
	Err    error
}

func (e *RuleError) Error() string { return "route at " + e.Origin + ": " + e.Err.Error() }
func (e *RuleError) Unwrap() error { return e.Err }

// DuplicateRuleError says that a rule matches the same as another.
type DuplicateRuleError struct{ Origin string } // of the other

func (e *DuplicateRuleError) Error() string {
	return "matches the same as the route at " + e.Origin + ": want another host, path, method or class"
}

// What makes a rule's targets unusable.
var (
	errNoTarget = errors.New("no pool to go to")
	errNoWeight = errors.New("no pool has a weight above 0")
)

// Rule sends what it matches to one of its targets. Empty fields match everything.
type Rule struct {
	Service       string
	Host          string // exact, "*." and a domain for all hosts under it, or "" for any other
	Path          string // prefix, up to its own end, a '/' or the path's end
	Method        string
	Class         string // the path's first segment
	AssignedClass string // the class that what matches is given; "" leaves the first segment
	Targets       []Target
	Origin        string // where the rule stands, for people
}

// Target is a pool and its weight among the rule's targets, 0 to MaxWeight.
type Target struct {
	Pool   string
	Weight int
}

// MaxWeight is the most that a target may weigh: enough for parts per million.
const MaxWeight = 1_000_000

// check says why a rule cannot be used.
func (r *Rule) check() error {
	host := strings.TrimPrefix(r.Host, "*.")
	switch normal, err := NormalizeHost(host); {
	case err != nil:
		return fmt.Errorf("host %q: %w", r.Host, err)
	case normal != host:
		return fmt.Errorf("host %q: want %q, in lower case and without a port", r.Host, normal)
	case r.Host != "" && host == "":
		return fmt.Errorf("host %q: a domain must follow", r.Host)
	case r.Path != "" && r.Path[0] != '/':
		return fmt.Errorf("path %q: want a prefix that begins with /", r.Path)
	case len(r.Targets) == 0:
		return errNoTarget
	}
	if r.Path != "" {
		if err := CheckPath(r.Path); err != nil {
			return fmt.Errorf("path %q: %w", r.Path, err)
		}
	}
	for _, target := range r.Targets {
		if target.Weight < 0 || target.Weight > MaxWeight {
			return fmt.Errorf("pool %q: weight %d, want 0 to %d", target.Pool, target.Weight, MaxWeight)
		}
	}
	if r.totalWeight() == 0 {
		return errNoWeight
	}
	return nil
}

func (r *Rule) totalWeight() (sum int) {
	for _, target := range r.Targets {
		sum += target.Weight
	}
	return sum
}

// matchesSame reports whether two rules of one host and path match the same.
func (r *Rule) matchesSame(other *Rule) bool {
	return r.Method == other.Method && r.Class == other.Class
}

// specificity ranks rules of one host and path: class before method, and both before one.
func (r *Rule) specificity() int {
	rank := 0
	if r.Class != "" {
		rank += 2
	}
	if r.Method != "" {
		rank++
	}
	return rank
}

// pick chooses a target by its weight. The same number always gives the same one.
func (r *Rule) pick(n uint64) string {
	at := int(n % uint64(r.totalWeight()))
	for _, target := range r.Targets {
		if at -= target.Weight; at < 0 {
			return target.Pool
		}
	}
	panic("route: weights that do not add up")
}

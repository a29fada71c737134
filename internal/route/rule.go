package route

import (
	"errors"
	"fmt"
	"strings"
)

// RuleError is the error of one invalid rule of a table.
type RuleError struct {
	Origin string
	Err    error
}

func (e *RuleError) Error() string { return "route at " + e.Origin + ": " + e.Err.Error() }
func (e *RuleError) Unwrap() error { return e.Err }

// DuplicateRuleError means that another rule, with this Origin, has the same host, path, method and class.
type DuplicateRuleError struct{ Origin string }

func (e *DuplicateRuleError) Error() string {
	return "matches the same requests as the route at " + e.Origin + ": want another host, path, method or class"
}

// Errors of a rule's targets.
var (
	errNoTarget = errors.New("pool is missing")
	errNoWeight = errors.New("no pool has a weight above 0")
)

// Rule routes the requests that it matches to one of its targets. An empty field matches everything.
type Rule struct {
	Service       string
	Host          string // exact, "*." and a domain for all its subdomains, or "" for any other host
	Path          string // prefix of whole segments
	Method        string
	Class         string // the path's first segment
	AssignedClass string // the class of the matching requests; "" for the path's first segment
	Targets       []Target
	Origin        string // where the rule is configured, for messages
}

// Target is a pool and its weight among the rule's targets, 0 to MaxWeight.
type Target struct {
	Pool   string
	Weight int
}

// MaxWeight is the largest weight of a target: enough for parts per million.
const MaxWeight = 1_000_000

// check returns an error if the rule is invalid.
func (r *Rule) check() error {
	host := strings.TrimPrefix(r.Host, "*.")
	switch normal, err := NormalizeHost(host); {
	case err != nil:
		return fmt.Errorf("host %q: %w", r.Host, err)
	case normal != host:
		return fmt.Errorf("host %q: want %q, in lower case and without a port", r.Host, normal)
	case r.Host != "" && host == "":
		return fmt.Errorf("host %q: domain is missing after \"*.\"", r.Host)
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

// matchesSame reports whether two rules with the same host and path match the same requests.
func (r *Rule) matchesSame(other *Rule) bool {
	return r.Method == other.Method && r.Class == other.Class
}

// specificity returns the rank of a rule among the rules with the same host and path: both class and method rank
// highest, then class, then method.
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

// pick returns the pool of a target, chosen by n in proportion to the weights. The same n always chooses the same
// target.
func (r *Rule) pick(n uint64) string {
	at := int(n % uint64(r.totalWeight()))
	for _, target := range r.Targets {
		if at -= target.Weight; at < 0 {
			return target.Pool
		}
	}
	panic("route: weights do not add up to the total")
}

// Package maintenance keeps which servers operators have excluded by hand, and when one that was included again
// counts as started.
//
// The package is pure: its callers bring the time, on any one clock, and keep the lock.
package maintenance

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// MaxExcluded is how many servers may be excluded at a time: far more than anybody restarts by hand.
	MaxExcluded = 4096
	// MaxID is the longest id of a server, in bytes: longer than any discovery gives.
	MaxID = 256
	// rememberIncluded is how long a server that was included again is remembered: the news of its restart
	// is seconds late, and a server has warmed up in less.
	rememberIncluded = 2 * time.Minute
	// maxIncluded bounds how many of these are remembered; the ones beyond count by what discovery says.
	maxIncluded = 4096
)

// Why a server cannot be excluded.
var (
	ErrID   = errors.New("not an id of a server: 1 to 256 characters, no spaces and no control characters")
	ErrFull = fmt.Errorf("%d servers are out already: include some first", MaxExcluded)
)

// Registry is the servers that are excluded by hand. It is not safe for concurrent use. The zero value is not
// usable; see New.
type Registry struct {
	excluded map[string]time.Duration // since when, by id
	included map[string]exclusion     // included again lately, by id
}

// exclusion is one time during which a server was excluded.
type exclusion struct{ from, to time.Duration }

// New makes a registry without an excluded server.
func New() *Registry {
	return &Registry{excluded: make(map[string]time.Duration), included: make(map[string]exclusion)}
}

// CheckID returns ErrID where an id cannot be a server's.
func CheckID(id string) error {
	invalid := strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '\uFFFD' })
	if id == "" || len(id) > MaxID || invalid {
		return ErrID
	}
	return nil
}

// Exclude excludes a server. To exclude it twice is the same as once. Its error is ErrID or ErrFull.
func (r *Registry) Exclude(id string, now time.Duration) error {
	if err := CheckID(id); err != nil {
		return err
	}
	if r.Excluded(id) {
		return nil
	}
	if len(r.excluded) >= MaxExcluded {
		return ErrFull
	}
	r.excluded[id] = now
	delete(r.included, id)
	return nil
}

// Include includes a server again, however often it was excluded. It returns whether it was.
func (r *Registry) Include(id string, now time.Duration) bool {
	from, ok := r.excluded[id]
	if !ok {
		return false
	}
	delete(r.excluded, id)
	maps.DeleteFunc(r.included, func(_ string, e exclusion) bool { return now-e.to > rememberIncluded })
	if len(r.included) < maxIncluded {
		r.included[id] = exclusion{from, now}
	}
	return true
}

// Excluded reports whether a server is excluded.
func (r *Registry) Excluded(id string) bool {
	_, ok := r.excluded[id]
	return ok
}

// StartedAt is when a server's process counts as started, given what discovery last listed. One that was included
// again has probably been restarted while it was excluded, and news of that comes seconds late: until discovery
// lists a start after the exclusion, it counts as started when it was included. That costs a server that was
// not restarted: it gets little for as long as one takes to warm up.
func (r *Registry) StartedAt(id string, listed time.Duration) time.Duration {
	e, ok := r.included[id]
	if !ok || listed >= e.from {
		return listed
	}
	return e.to
}

// List lists the excluded servers, sorted.
func (r *Registry) List() []string { return slices.Sorted(maps.Keys(r.excluded)) }

// Snapshot is a registry's content, for one that replaces it, maybe in another process. Times are ages.
type Snapshot struct {
	Excluded map[string]time.Duration    `json:"Out"`  // excluded for so long
	Included map[string][2]time.Duration `json:"Back"` // excluded so long ago, and included so long ago
}

// Snapshot gives the servers that are excluded, and those included again lately.
func (r *Registry) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{
		Excluded: make(map[string]time.Duration, len(r.excluded)),
		Included: make(map[string][2]time.Duration, len(r.included)),
	}
	for id, since := range r.excluded {
		s.Excluded[id] = now - since
	}
	for id, e := range r.included {
		s.Included[id] = [2]time.Duration{now - e.from, now - e.to}
	}
	return s
}

// Restore takes a snapshot over. What makes no sense is left out, as another version may have written it.
func (r *Registry) Restore(now time.Duration, s Snapshot) {
	for _, id := range slices.Sorted(maps.Keys(s.Excluded)) {
		_ = r.Exclude(id, now-max(0, s.Excluded[id])) // an id that cannot be is left out
	}
	for id, ages := range s.Included {
		from, to := ages[0], ages[1]
		sensible := from >= to && to >= 0 && to <= rememberIncluded
		if CheckID(id) == nil && !r.Excluded(id) && len(r.included) < maxIncluded && sensible {
			r.included[id] = exclusion{now - from, now - to}
		}
	}
}

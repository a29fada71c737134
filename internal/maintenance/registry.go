// Package maintenance records which servers operators have excluded, and the start time that a server has after it
// was included again.
//
// The package is pure: its callers pass the time, on any one clock, and hold the lock.
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
	// MaxExcluded is how many servers may be excluded at a time: far more than operators restart by hand.
	MaxExcluded = 4096
	// MaxID is the longest id of a server, in bytes: longer than the ids of any discovery.
	MaxID = 256
	// rememberIncluded is how long a server that was included again is stored. Discovery lists its restart
	// seconds late, and its slow start takes less time than this.
	rememberIncluded = 2 * time.Minute
	// maxIncluded bounds how many included servers are stored. Servers beyond it have the start time that
	// discovery lists.
	maxIncluded = 4096
)

// Errors of Registry.Exclude. Operators see their texts.
var (
	ErrID   = errors.New("invalid server id: want 1 to 256 characters, no spaces and no control characters")
	ErrFull = fmt.Errorf("%d servers are already excluded: include some first", MaxExcluded)
)

// Registry is the set of servers that operators have excluded. It is not safe for concurrent use. The zero value
// is not usable; see New.
type Registry struct {
	excluded map[string]time.Duration // time of the exclusion, by id
	included map[string]exclusion     // recently included again, by id
}

// exclusion is a period during which a server was excluded.
type exclusion struct{ from, to time.Duration }

// New returns an empty registry.
func New() *Registry {
	return &Registry{excluded: make(map[string]time.Duration), included: make(map[string]exclusion)}
}

// CheckID returns ErrID if id is not a valid server id.
func CheckID(id string) error {
	invalid := strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '\uFFFD' })
	if id == "" || len(id) > MaxID || invalid {
		return ErrID
	}
	return nil
}

// Exclude excludes a server. It does nothing for a server that is already excluded. The error is ErrID or ErrFull.
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

// Include ends the exclusion of a server, however often Exclude was called. It reports whether the server was
// excluded.
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

// StartedAt returns the start time to use for a server, given the one that discovery last listed. A server that was
// included again was probably restarted while it was excluded, and discovery lists the restart seconds late: until
// it lists a start after the exclusion began, the start time is that of the inclusion. The cost is that a server
// that was not restarted gets few requests for the time of a slow start.
func (r *Registry) StartedAt(id string, listed time.Duration) time.Duration {
	e, ok := r.included[id]
	if !ok || listed >= e.from {
		return listed
	}
	return e.to
}

// Empty reports whether no server is excluded or was recently included again.
func (r *Registry) Empty() bool { return len(r.excluded)+len(r.included) == 0 }

// List returns the ids of the excluded servers, sorted.
func (r *Registry) List() []string { return slices.Sorted(maps.Keys(r.excluded)) }

// Snapshot is the content of a registry, for the handover to another one, which may be in another process. Times are
// ages.
type Snapshot struct {
	Excluded map[string]time.Duration    `json:"Out"`  // time since the exclusion, by id
	Included map[string][2]time.Duration `json:"Back"` // time since the exclusion and since the inclusion, by id
}

// Empty reports whether the snapshot contains no server.
func (s Snapshot) Empty() bool { return len(s.Excluded)+len(s.Included) == 0 }

// Snapshot returns the excluded servers, and those that were recently included again.
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

// Restore adds the content of a snapshot. Invalid entries are skipped, as another version may have written them.
func (r *Registry) Restore(now time.Duration, s Snapshot) {
	for _, id := range slices.Sorted(maps.Keys(s.Excluded)) {
		_ = r.Exclude(id, now-max(0, s.Excluded[id])) // an invalid id is skipped
	}
	for id, ages := range s.Included {
		from, to := ages[0], ages[1]
		sensible := from >= to && to >= 0 && to <= rememberIncluded
		if CheckID(id) == nil && !r.Excluded(id) && len(r.included) < maxIncluded && sensible {
			r.included[id] = exclusion{now - from, now - to}
		}
	}
}

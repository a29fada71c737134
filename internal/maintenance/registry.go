// Package maintenance keeps which servers staff have taken out of rotation by hand, and what
// one that comes back counts as. It is pure: the caller brings the time and keeps the
// lock.
package maintenance

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of what is kept. An id is longer than any discovery gives.
const (
	MaxOut = 4096
	MaxID  = 256
	// backFor is how long a server put back is remembered: news of its restart is
	// seconds late, and a server is warm again in less.
	backFor = 2 * time.Minute
	maxBack = 4096
)

// What makes a call impossible.
var (
	ErrID   = errors.New("not an id of a server: 1 to 256 characters, no spaces and no control characters")
	ErrFull = fmt.Errorf("%d servers are out already: include some first", MaxOut)
)

// Registry is who is out by hand. The zero value is not usable; see New.
type Registry struct {
	out  map[string]time.Duration // since when
	back map[string]turn          // put back lately
}

// turn is one time out.
type turn struct{ from, to time.Duration }

// New makes a rota with nobody out.
func New() *Registry {
	return &Registry{out: make(map[string]time.Duration), back: make(map[string]turn)}
}

// CheckID says whether an id can be one.
func CheckID(id string) error {
	bad := strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '\uFFFD' })
	if id == "" || len(id) > MaxID || bad {
		return ErrID
	}
	return nil
}

// Exclude takes a server out. Taking it out twice is the same as once.
func (r *Registry) Exclude(id string, now time.Duration) error {
	if err := CheckID(id); err != nil {
		return err
	}
	if _, ok := r.out[id]; ok {
		return nil
	}
	if len(r.out) >= MaxOut {
		return ErrFull
	}
	r.out[id] = now
	delete(r.back, id)
	return nil
}

// Include puts a server back, however often it was taken out. It says whether it was out.
func (r *Registry) Include(id string, now time.Duration) bool {
	from, ok := r.out[id]
	if !ok {
		return false
	}
	delete(r.out, id)
	maps.DeleteFunc(r.back, func(_ string, t turn) bool { return now-t.to > backFor })
	if len(r.back) < maxBack {
		r.back[id] = turn{from, now}
	}
	return true
}

// Excluded says whether a server is out.
func (r *Registry) Excluded(id string) bool {
	_, ok := r.out[id]
	return ok
}

// Since is when a server's process counts as started, given what discovery last told of
// it. One that was put back has probably been restarted while it was out, and news of
// that comes seconds late: until discovery tells of a start after it was taken out, it
// counts as started when it was put back. It does harm to a server that was not
// restarted: it gets little for as long as one takes to warm.
func (r *Registry) Since(id string, told time.Duration) time.Duration {
	t, ok := r.back[id]
	if !ok || told >= t.from {
		return told
	}
	return t.to
}

// List lists who is out, sorted.
func (r *Registry) List() []string { return slices.Sorted(maps.Keys(r.out)) }

// Snapshot is a rota for one that goes on in its place. Times are ages.
type Snapshot struct {
	Out  map[string]time.Duration    `json:"Out"`
	Back map[string][2]time.Duration `json:"Back"` // out since and back since
}

// Snapshot gives who is out and who was put back lately.
func (r *Registry) Snapshot(now time.Duration) Snapshot {
	m := Snapshot{Out: make(map[string]time.Duration, len(r.out)), Back: make(map[string][2]time.Duration, len(r.back))}
	for id, since := range r.out {
		m.Out[id] = now - since
	}
	for id, t := range r.back {
		m.Back[id] = [2]time.Duration{now - t.from, now - t.to}
	}
	return m
}

// Restore takes a memory over. What makes no sense is left out.
func (r *Registry) Restore(now time.Duration, m Snapshot) {
	for _, id := range slices.Sorted(maps.Keys(m.Out)) {
		_ = r.Exclude(id, now-max(0, m.Out[id]))
	}
	for id, ages := range m.Back {
		if CheckID(id) == nil && !r.Excluded(id) && len(r.back) < maxBack && ages[0] >= ages[1] && ages[1] >= 0 && ages[1] <= backFor {
			r.back[id] = turn{now - ages[0], now - ages[1]}
		}
	}
}

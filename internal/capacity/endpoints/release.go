package endpoints

import (
	"fmt"
	"time"

	"jasperpin/internal/emulator"
)

// release replaces listed servers in steps, for ever: one that is listed drains, then goes, and another
// comes in its place.
type release struct {
	servers  []*emulator.Raw // behind all names
	last     int
	listed   []emulator.Entry
	draining int // of those listed, the first so many
}

// entry is a new server.
func (r *release) entry() emulator.Entry {
	r.last++
	e := emulator.Hosts(r.servers[r.last%len(r.servers)].Addr)[0]
	e.Host = fmt.Sprintf("s-%05d", r.last)
	e.Site = string(rune('a' + r.last%zoneCount))
	return e
}

// first lists so many servers.
func (r *release) first(n int) []emulator.Entry {
	for range n {
		r.listed = append(r.listed, r.entry())
	}
	return r.list()
}

// list is a copy of the whole list.
func (r *release) list() []emulator.Entry { return append([]emulator.Entry(nil), r.listed...) }

// step has those that drain go, as many come anew, and the next n drain. It gives what has changed.
func (r *release) step(n int) (changed []emulator.Entry) {
	for i := range r.draining {
		gone := r.listed[i]
		gone.Health = "terminated"
		changed = append(changed, gone)
	}
	for range r.draining {
		e := r.entry()
		e.BornMS = float64(time.Now().UnixMilli())
		changed = append(changed, e)
		r.listed = append(r.listed, e)
	}
	r.listed = r.listed[r.draining:]
	r.draining = min(n, len(r.listed))
	for i := range r.draining {
		r.listed[i].Health = "terminating"
		changed = append(changed, r.listed[i])
	}
	return changed
}

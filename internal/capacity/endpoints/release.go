package endpoints

import (
	"fmt"
	"slices"
	"time"

	"jasperpin/internal/emulator"
)

// rollingRelease replaces listed servers in steps, as releases of the servers' program do: a listed server
// drains, is removed at the next step, and another one is added in its place.
type rollingRelease struct {
	servers    []*emulator.ScriptedServer // that answer behind all names
	lastNumber int                        // of the latest entry
	listed     []emulator.Entry
	draining   int // how many of those listed drain: the first ones
}

// newEntry is a new server.
func (r *rollingRelease) newEntry() emulator.Entry {
	r.lastNumber++
	e := emulator.InServiceEntries(r.servers[r.lastNumber%len(r.servers)].Addr)[0]
	e.Host = fmt.Sprintf("s-%05d", r.lastNumber)
	e.Site = string(rune('a' + r.lastNumber%zoneCount))
	return e
}

// listFirst lists the first n servers, and returns the list.
func (r *rollingRelease) listFirst(n int) []emulator.Entry {
	for range n {
		r.listed = append(r.listed, r.newEntry())
	}
	return r.list()
}

// list is a copy of the complete list.
func (r *rollingRelease) list() []emulator.Entry { return slices.Clone(r.listed) }

// step removes the servers that drain, adds as many, and has the next n drain. It returns the changed
// entries.
func (r *rollingRelease) step(n int) []emulator.Entry {
	var changed []emulator.Entry
	for i := range r.draining {
		removed := r.listed[i]
		removed.Health = "terminated"
		changed = append(changed, removed)
	}
	for range r.draining {
		e := r.newEntry()
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

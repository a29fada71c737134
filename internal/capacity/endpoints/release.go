package endpoints

import (
	"fmt"
	"slices"
	"time"

	"jasperpin/internal/emulator"
)

// rollingRelease replaces listed servers in steps, as a release of the servers' program does: a listed server
// drains, is removed at the next step, and a new one is added in its place.
type rollingRelease struct {
	servers    []*emulator.ScriptedServer // the servers that serve all listed names
	lastNumber int                        // number of the latest entry
	listed     []emulator.Entry
	draining   int // number of draining servers, which are the first in listed
}

// newEntry returns the entry of a new server.
func (r *rollingRelease) newEntry() emulator.Entry {
	r.lastNumber++
	e := emulator.InServiceEntries(r.servers[r.lastNumber%len(r.servers)].Addr)[0]
	e.Host = fmt.Sprintf("s-%05d", r.lastNumber)
	e.Site = string(rune('a' + r.lastNumber%zoneCount))
	return e
}

// listFirst lists n servers and returns the list.
func (r *rollingRelease) listFirst(n int) []emulator.Entry {
	for range n {
		r.listed = append(r.listed, r.newEntry())
	}
	return r.list()
}

// list returns a copy of the complete list.
func (r *rollingRelease) list() []emulator.Entry { return slices.Clone(r.listed) }

// step removes the draining servers, adds as many new ones, and starts to drain the next n. It returns the
// changed entries.
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

package gossip

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"jasperpin/internal/membership"
)

const (
	// reconnectInterval is the mean time between two attempts to connect, which are spread from half of
	// it to one and a half, so that members do not attempt at the same time.
	reconnectInterval = 2 * time.Second
	// urgentDivisor shortens the interval where a member is alone or misses records.
	urgentDivisor = 4
	// maxLostAddresses bounds the addresses kept of members that were lost.
	maxLostAddresses = 256
)

// reconnectLoop connects to members until Close or Leave. Each attempt is a full state exchange with one
// address that reconnectCandidatesLocked chooses.
func (g *Gossip) reconnectLoop() {
	wait := time.Duration(0)
	for {
		select {
		case <-time.After(wait):
		case <-g.done:
			return
		}
		g.mu.Lock()
		if g.leaving {
			g.mu.Unlock()
			return
		}
		candidates, urgent := g.reconnectCandidatesLocked()
		g.mu.Unlock()
		wait = reconnectInterval/2 + rand.N(reconnectInterval)
		if urgent {
			wait /= urgentDivisor
		}
		if len(candidates) > 0 {
			// One that does not answer is tried again; operators see the members that are unreachable.
			_, _ = g.list.Join([]string{candidates[rand.IntN(len(candidates))]})
		}
	}
}

// reconnectCandidatesLocked is the rule by which members find each other: it returns
//
//   - seeds and lost members that are not connected, so that partitions heal;
//   - while any is lost, one connected member, which may know what became of it;
//   - connected members of which no record has arrived.
//
// It is urgent while this member is alone or misses a record. The caller holds mu.
func (g *Gossip) reconnectCandidatesLocked() (candidates []string, urgent bool) {
	maps.DeleteFunc(g.lostAddresses, func(id membership.ID, _ string) bool { return !g.view.IsCounted(id) })
	connected := slices.Collect(maps.Values(g.addresses))
	candidates = slices.Concat(g.opts.Seeds, slices.Collect(maps.Values(g.lostAddresses)))
	candidates = slices.DeleteFunc(candidates, func(addr string) bool { return slices.Contains(connected, addr) })
	if len(g.lostAddresses) > 0 && len(connected) > 1 {
		candidates = append(candidates, connected[rand.IntN(len(connected))])
	}
	urgent = len(connected) < 2
	for id, addr := range g.addresses {
		if !g.view.Knows(id) {
			candidates = append(candidates, addr)
			urgent = true
		}
	}
	return candidates, urgent
}

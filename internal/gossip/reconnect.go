package gossip

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"jasperpin/internal/membership"
)

const (
	// reconnectInterval is the mean time between two attempts to connect. Each wait is drawn at random from half of it
	// up to one and a half times it, so that members do not all connect at the same time.
	reconnectInterval = 2 * time.Second
	// urgentDivisor divides the interval while a member is alone or has not received the records of all connected
	// members.
	urgentDivisor = 4
	// maxLostAddresses bounds the stored addresses of lost members.
	maxLostAddresses = 256
)

// reconnectLoop connects to members until Close or Leave. Each attempt is a full state exchange with one of the
// addresses that reconnectCandidatesLocked returns.
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
			// The error is ignored: a later attempt tries the address again, and Members shows operators which
			// members are unreachable.
			_, _ = g.list.Join([]string{candidates[rand.IntN(len(candidates))]})
		}
	}
}

// reconnectCandidatesLocked returns the addresses with which this member should exchange states:
//
//   - seeds and lost members that are not connected, so that partitions heal;
//   - while any member is lost, one connected member, which may know whether the lost one has ended;
//   - connected members from which no record has arrived.
//
// The attempt is urgent while this member is alone or has not received the record of a connected member. The caller must
// hold mu.
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
		if !g.view.IsKnown(id) {
			candidates = append(candidates, addr)
			urgent = true
		}
	}
	return candidates, urgent
}

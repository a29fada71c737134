package decide

import (
	"math"
	"time"
)

const (
	// slowStartBudgetUse is the share of a server's slow-start budget that all nodes use together: the rest
	// is for chance and for servers slower than the mean.
	slowStartBudgetUse = 0.5
	// maxSlowStartSavings is for how long a node may save its part of a budget up. Parts that many nodes
	// had saved up for longer came together when a key of a server in slow start grew hot, and overloaded
	// it.
	maxSlowStartSavings = 2 * time.Second
	// A zone that answers less than its share over recoveringZoneDivisor has just returned.
	recoveringZoneDivisor = 2
)

// beginSlowStart begins a server's slow-start budget. A random first share keeps nodes that learn of a
// start at the same time from sending at the same time.
func (b *Balancer) beginSlowStart(s *server) {
	s.slowStartTokens, s.slowStartTokensAt = -b.rng.Float64(), b.now
}

// slowStartFactor returns which share of its capacity a server has at the least, from minSlowStartFactor to
// 1: it rises with the time since its start, over Settings.SlowStartWindow. A server that may have
// restarted counts from when its connection was lost. It is 1 for one that started long ago.
func (b *Balancer) slowStartFactor(s *server) float64 {
	startedAt := s.StartedAt
	if b.restartSuspected(s) {
		startedAt = s.connectionLostAt
	}
	age := b.now - startedAt
	if startedAt <= 0 || b.settings.SlowStartWindow <= 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	passed := float64(max(age, 0)) / float64(b.settings.SlowStartWindow)
	least := b.minSlowStartFactor()
	return least + (1-least)*passed
}

// minSlowStartFactor is the share of its capacity that a server has when it starts.
func (b *Balancer) minSlowStartFactor() float64 {
	if b.settings.SlowStartWindow <= 0 {
		return 1
	}
	return min(max(b.settings.SlowStartShare, 0), 1)
}

// slowStartAllows reports whether a request may go to a server, given what that server bears in slow start
// and what the other nodes send it. Each node keeps a token bucket for each such server, in average
// requests; the parts of all nodes together stay within what the server bears.
//
// Servers not in slow start are always allowed, and all are where every one may have restarted: there is
// none left to spare them for.
func (b *Balancer) slowStartAllows(s *server) bool {
	factor := b.slowStartFactor(s)
	if factor == 1 || b.restartSuspected(s) && b.unsuspectedCapacity == 0 {
		return true
	}
	rate := b.answerRatePerServer(s)
	rate *= s.Capacity * min(1, b.settings.OverloadMultiple*slowStartBudgetUse*factor) * (1 - b.settings.WithheldShare)
	s.slowStartTokens += rate * (b.now - s.slowStartTokensAt).Seconds()
	s.slowStartTokensAt = b.now
	// Tokens beyond the savings pass in whole numbers, so that turns stay spread over the nodes.
	s.slowStartTokens -= max(0, math.Ceil(s.slowStartTokens-rate*maxSlowStartSavings.Seconds()))
	return s.slowStartTokens >= 0
}

// answerRatePerServer returns how many requests a second this node may count on a server of usual capacity
// to answer it. The sum over all nodes is what servers answer, whoever sends.
//
// Nodes prefer their own zone. For a local server the rate is the greater of the zone's rate to this node
// and the pool's mean; while the zone answers less than half of its share, it is that share. This
// overestimates where most nodes are in one zone and most servers in another.
func (b *Balancer) answerRatePerServer(s *server) float64 {
	rate := b.successRate.rateAt(b.now) / max(b.local.warmCapacity+b.remote.warmCapacity, 1e-9)
	if s.Zone != b.settings.Zone || b.restartSuspected(s) {
		return rate
	}
	local := b.local.answerRate.rateAt(b.now) / max(b.local.warmCapacity, 1e-9)
	zoneShare := rate * float64(min(b.settings.ZoneCount, b.settings.NodeCount))
	rate = max(rate, local)
	if local < zoneShare/recoveringZoneDivisor {
		rate = zoneShare
	}
	return rate
}

package decide

import (
	"math"
	"time"
)

const (
	// slowStartBudgetUse is the share of a server's slow-start budget that all nodes together use. The
	// rest covers chance and servers slower than the mean.
	slowStartBudgetUse = 0.5
	// slowStartBurstTime is the size of a node's token bucket, as the time in which it fills. With
	// larger buckets, the tokens of many nodes were spent at once when a key of a server in slow start
	// became hot, and overloaded that server.
	slowStartBurstTime = 2 * time.Second
	// A zone that answers less than its share divided by recoveringZoneDivisor has just recovered.
	recoveringZoneDivisor = 2
)

// beginSlowStart initializes a server's slow-start budget. A random initial value prevents nodes that
// learn of a start at the same time from sending at the same time.
func (b *Balancer) beginSlowStart(s *server) {
	s.slowStartTokens, s.slowStartTokensAt = -b.rng.Float64(), b.now
}

// slowStartFactor returns the minimum share of its capacity that a server has now, from
// minSlowStartFactor to 1. The share rises with the time since the server's start, over
// Settings.SlowStartWindow; for a suspected restart, with the time since the server was found
// unreachable. It is 1 for a server that started long ago.
func (b *Balancer) slowStartFactor(s *server) float64 {
	startedAt := s.StartedAt
	if b.restartSuspected(s) {
		startedAt = s.unreachableAt
	}
	age := b.now - startedAt
	if startedAt <= 0 || b.settings.SlowStartWindow <= 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	passed := float64(max(age, 0)) / float64(b.settings.SlowStartWindow)
	least := b.minSlowStartFactor()
	return least + (1-least)*passed
}

// minSlowStartFactor returns the share of its capacity that a server has at its start.
func (b *Balancer) minSlowStartFactor() float64 {
	if b.settings.SlowStartWindow <= 0 {
		return 1
	}
	return min(max(b.settings.SlowStartShare, 0), 1)
}

// slowStartAllows reports whether a request may be sent to a server, given the server's capacity in slow
// start and the requests that the other nodes send. Each node has a token bucket per server in slow start,
// in average requests. The buckets of all nodes together stay within the server's slow-start budget.
//
// Servers not in slow start are always allowed. If all servers are suspected of a restart, all are
// allowed, because there are no others to use instead.
func (b *Balancer) slowStartAllows(s *server) bool {
	factor := b.slowStartFactor(s)
	if factor == 1 || b.restartSuspected(s) && b.unsuspectedCapacity == 0 {
		return true
	}
	rate := b.answerRatePerServer(s)
	rate *= s.Capacity * min(1, b.settings.OverloadMultiple*slowStartBudgetUse*factor) * (1 - b.settings.UnusedQuotaShare)
	s.slowStartTokens += rate * (b.now - s.slowStartTokensAt).Seconds()
	s.slowStartTokensAt = b.now
	// Tokens beyond the bucket's size are discarded in whole numbers, so that nodes still send at different times.
	s.slowStartTokens -= max(0, math.Ceil(s.slowStartTokens-rate*slowStartBurstTime.Seconds()))
	return s.slowStartTokens >= 0
}

// answerRatePerServer returns the rate per second of answers that this node can expect from a server of
// usual capacity. Summed over all nodes, it is the rate that servers answer in total.
//
// Nodes prefer their own zone. For a local server the rate is the greater of the zone's rate of answers
// to this node and the pool's mean. While the zone answers less than half of its share, the rate is that
// share. This rule overestimates the rate if most nodes are in one zone and most servers in another.
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

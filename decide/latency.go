package decide

import (
	"cmp"
	"math"
	"time"
)

const (
	// classGain smooths what is learned about a class over some sixty answers.
	classGain = 1.0 / 64
	// firstAnswersOffset lets the first answers of a class count for more: as 1/(answers+4).
	firstAnswersOffset = 4
	// maxLatencyStep bounds by how much one answer may exceed what was expected when a class learns.
	maxLatencyStep = 4
	// unloadedLatencyAfter is how many answers a class's mean must rest on to count as unloaded latency.
	unloadedLatencyAfter = 20
	// unloadedLatencyGain lets the unloaded latency recover from one low by chance, over minutes.
	unloadedLatencyGain = 1.0 / 4000
	// initialLatencyDivisor and initialUnloadedDivisor divide the objective: until there are answers one is
	// taken to need a quarter of it, and an unloaded fleet no more than half of it.
	initialLatencyDivisor  = 4
	initialUnloadedDivisor = 2
	// defaultHintDivisor: a missing work hint counts as this part of the latency objective, and so does the
	// mean hint until there are hints.
	defaultHintDivisor = 8
	// workShare is how much of a latency follows the request's work hint: hints are rough.
	workShare = 0.5

	// latencyRatioGain smooths a server's latency ratio over some answers, as single ones are noisy.
	latencyRatioGain = 0.3
	// latencyRatioDecay is the time in which a ratio drifts back to the normal 1: servers recover in
	// seconds.
	latencyRatioDecay = 8 * time.Second
	minLatencyRatio   = 0.1  // what is quicker by more is chance
	maxLatencyRatio   = 20.0 // what is slower is slow enough to be avoided
)

// classStats is what the node has learned about a class.
type classStats struct {
	meanLatency     float64 // ns
	unloadedLatency float64 // ns, the least mean so far: what an unloaded fleet takes
	meanWorkHint    float64 // ns
	answers         int     // that the mean rests on

	clientTimeout      time.Duration // how long clients mostly wait for a new request
	clientTimeoutVotes int           // how often that was seen, less how often not
}

// newClassStats guesses, before the first answer, what an answer takes, as a part of the objective.
func newClassStats(classes []Class) []classStats {
	stats := make([]classStats, len(classes))
	for i, class := range classes {
		objective := float64(class.LatencyObjective)
		stats[i] = classStats{
			meanLatency:     objective / initialLatencyDivisor,
			unloadedLatency: objective / initialUnloadedDivisor,
			meanWorkHint:    objective / defaultHintDivisor,
		}
	}
	return stats
}

// recordWorkHint takes a request's work hint into the class's mean; 0 is no hint.
func (c *classStats) recordWorkHint(hint time.Duration) {
	if hint > 0 {
		c.meanWorkHint += (float64(hint) - c.meanWorkHint) * classGain
	}
}

// recordAnswer takes an answer, of so many times the latency expected, into the class's mean and unloaded
// latency. The mean stays within longest, or a node that starts under overload comes to expect many
// seconds.
func (c *classStats) recordAnswer(ratio, longest float64) {
	gain := max(classGain, 1/float64(c.answers+firstAnswersOffset))
	c.answers++
	c.meanLatency = min(c.meanLatency*(1+gain*(min(ratio, maxLatencyStep)-1)), longest)
	if c.answers > unloadedLatencyAfter {
		rise := max(c.meanLatency-c.unloadedLatency, 0)
		c.unloadedLatency = min(c.unloadedLatency+rise*unloadedLatencyGain, c.meanLatency)
	}
}

// longestMeanLatency bounds what a class is expected to take, in ns: its objective, or an hour without one.
func (b *Balancer) longestMeanLatency(class int) float64 {
	return float64(cmp.Or(b.settings.Classes[class].LatencyObjective, time.Hour))
}

// expectedLatency returns how long a request takes at a server of normal speed, in ns: the mean of its
// class, half of it in proportion to the request's work hint.
func (b *Balancer) expectedLatency(r *request) float64 {
	c := &b.classes[r.Class]
	if r.WorkHint > 0 && c.meanWorkHint > 0 {
		return c.meanLatency * (1 - workShare + workShare*float64(r.WorkHint)/c.meanWorkHint)
	}
	return c.meanLatency
}

// recordLatency takes an answer's latency, in ns, into what is known of the class and the server. A
// timeout counts as the time waited in vain and says nothing of the class: the server is at least as slow
// as normal.
func (b *Balancer) recordLatency(r *request, a *attempt, took float64, timedOut bool) {
	ratio := min(took/float64(max(a.expectedLatency, time.Millisecond)), maxLatencyRatio)
	if b.now < b.zoneUnverifiedUntil && b.slowStartFactor(a.server) == 1 {
		b.verifyZone(r, a.server, took)
	}
	if timedOut {
		ratio = max(ratio, 1)
	} else {
		b.classes[r.Class].recordAnswer(ratio, b.longestMeanLatency(r.Class))
	}
	a.server.recordLatencyRatio(ratio, b.now)
}

// recordLatencyRatio takes a new ratio into a server's smoothed one.
func (s *server) recordLatencyRatio(ratio float64, now time.Duration) {
	old := s.currentLatencyRatio(now)
	s.latencyRatio, s.latencyRatioAt = old+(ratio-old)*latencyRatioGain, now
}

// currentLatencyRatio is a server's latency ratio now: what was learned long ago has faded to 1.
func (s *server) currentLatencyRatio(now time.Duration) float64 {
	if s.latencyRatio == 1 {
		return 1 // as of most servers: a tick asks for all of them
	}
	age := float64(now - s.latencyRatioAt)
	return max(minLatencyRatio, 1+(s.latencyRatio-1)*math.Exp(-age/float64(latencyRatioDecay)))
}

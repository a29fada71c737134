package decide

import (
	"cmp"
	"math"
	"time"
)

const (
	// classGain smooths the statistics of a class over about sixty answers.
	classGain = 1.0 / 64
	// firstAnswersOffset gives the first answers of a class a higher weight, 1/(answers+4).
	firstAnswersOffset = 4
	// maxLatencyStep is the maximum ratio of one answer's latency to the expected latency when a class's
	// mean is updated.
	maxLatencyStep = 4
	// unloadedLatencyAfter is the number of answers after which a class's mean may set its unloaded latency.
	unloadedLatencyAfter = 20
	// unloadedLatencyGain lets the unloaded latency recover, over minutes, from a value that was low by chance.
	unloadedLatencyGain = 1.0 / 4000
	// initialLatencyDivisor and initialUnloadedDivisor divide the objective. Until there are answers, the
	// expected latency is a quarter of the objective and the unloaded latency is half of the objective.
	initialLatencyDivisor  = 4
	initialUnloadedDivisor = 2
	// defaultHintDivisor divides the latency objective to get the default for a missing work hint, and
	// for the mean hint until there are hints.
	defaultHintDivisor = 8
	// workShare is the share of a latency that is proportional to the request's work hint; hints are rough.
	workShare = 0.5

	// latencyRatioGain smooths a server's latency ratio over some answers, because single answers are noisy.
	latencyRatioGain = 0.3
	// latencyRatioDecay is the time constant with which a latency ratio returns to the normal 1: servers
	// recover in seconds.
	latencyRatioDecay = 8 * time.Second
	minLatencyRatio   = 0.1  // a ratio below this one is chance
	maxLatencyRatio   = 20.0 // a server with this ratio is avoided already
)

// classStats is what the node has learned about a class.
type classStats struct {
	meanLatency     float64 // ns
	unloadedLatency float64 // ns; the lowest mean so far, as the latency of an unloaded fleet
	meanWorkHint    float64 // ns
	answers         int     // number of answers in meanLatency

	clientTimeout      time.Duration // the usual timeout of a client's new request
	clientTimeoutVotes int           // weighted number of requests that match clientTimeout, minus other requests
}

// newClassStats returns the initial statistics of each class, derived from its objective.
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

// recordWorkHint updates the class's mean with a request's work hint; 0 means no hint.
func (c *classStats) recordWorkHint(hint time.Duration) {
	if hint > 0 {
		c.meanWorkHint += (float64(hint) - c.meanWorkHint) * classGain
	}
}

// recordAnswer updates the class's mean and unloaded latency with an answer whose latency was ratio times
// the expected latency. The mean is at most longest: otherwise a node that starts under overload would come
// to expect latencies of many seconds.
func (c *classStats) recordAnswer(ratio, longest float64) {
	gain := max(classGain, 1/float64(c.answers+firstAnswersOffset))
	c.answers++
	c.meanLatency = min(c.meanLatency*(1+gain*(min(ratio, maxLatencyStep)-1)), longest)
	if c.answers > unloadedLatencyAfter {
		rise := max(c.meanLatency-c.unloadedLatency, 0)
		c.unloadedLatency = min(c.unloadedLatency+rise*unloadedLatencyGain, c.meanLatency)
	}
}

// longestMeanLatency returns the maximum expected latency of a class, in ns: its objective, or an hour if
// it has none.
func (b *Balancer) longestMeanLatency(class int) float64 {
	return float64(cmp.Or(b.settings.Classes[class].LatencyObjective, time.Hour))
}

// expectedLatency returns the latency of a request at a server of normal speed, in ns: the mean of its
// class, half of it scaled by the request's work hint.
func (b *Balancer) expectedLatency(r *request) float64 {
	c := &b.classes[r.Class]
	if r.WorkHint > 0 && c.meanWorkHint > 0 {
		return c.meanLatency * (1 - workShare + workShare*float64(r.WorkHint)/c.meanWorkHint)
	}
	return c.meanLatency
}

// recordLatency updates the statistics of the class and the server with an answer's latency, in ns. For a timeout,
// took is the time waited; the timeout does not update the class, and it shows the server as at least as slow as normal.
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

// recordLatencyRatio updates a server's smoothed latency ratio with the ratio of one answer.
func (s *server) recordLatencyRatio(ratio float64, now time.Duration) {
	old := s.currentLatencyRatio(now)
	s.latencyRatio, s.latencyRatioAt = old+(ratio-old)*latencyRatioGain, now
}

// currentLatencyRatio returns a server's latency ratio now. Older values decay to 1.
func (s *server) currentLatencyRatio(now time.Duration) float64 {
	if s.latencyRatio == 1 {
		return 1 // the usual case; a tick computes the ratio of every server
	}
	age := float64(now - s.latencyRatioAt)
	return max(minLatencyRatio, 1+(s.latencyRatio-1)*math.Exp(-age/float64(latencyRatioDecay)))
}

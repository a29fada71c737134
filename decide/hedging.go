package decide

import "time"

const (
	// hedgeAfterLatencies is how many expected latencies an attempt must have been in flight to be hedged:
	// it is then lost rather than slow.
	hedgeAfterLatencies = 4
	// Nor is one hedged before hedgeObjectiveNumerator/hedgeObjectiveDenominator of the time from its
	// sending to its request's objective: the hedge has the rest of it to be answered.
	hedgeObjectiveNumerator   = 2
	hedgeObjectiveDenominator = 3
	// maxHedgeTimerDelay is how late a hedge may be sent: a node that comes to its timer later is behind
	// with answers, too, and hedges would add to that.
	maxHedgeTimerDelay = 10 * time.Millisecond
)

// hedgeTime returns when an attempt sent now counts as lost: after two thirds of the time to the request's
// objective, and hedgeAfterLatencies times the expected latency. A hedge then still has time to be
// answered.
func (b *Balancer) hedgeTime(r *request, expected time.Duration) time.Duration {
	return b.now + max((r.objectiveAt-b.now)*hedgeObjectiveNumerator/hedgeObjectiveDenominator, hedgeAfterLatencies*expected)
}

// hedge sends another attempt while one is in flight, where the last one counts as lost and answers come
// quickly. Where they do not the attempt is late, and a second one would add to the overload. Hedges are
// paid from the retry budget; send holds them to the same rules as retries.
func (b *Balancer) hedge(r *request) {
	if b.now >= r.hedgeAt+maxHedgeTimerDelay || !r.attemptInFlight() {
		return
	}
	if b.answersQuickly() && b.retryBudget >= 1 {
		b.send(r, b.pick(r))
	}
}

// lostToHedge reports whether a cancelled attempt was overtaken by its hedge after it counted as lost. Its
// server is charged with a timeout.
func (r *request) lostToHedge(a *attempt, result Result, took time.Duration) bool {
	return result == Cancelled && r.finished && len(r.attempts) > 1 && took > hedgeAfterLatencies*a.expectedLatency
}

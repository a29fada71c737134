package decide

import "time"

const (
	// hedgeAfterLatencies is the number of expected latencies that an attempt must have been in flight
	// before it is hedged: it is then more likely lost than slow.
	hedgeAfterLatencies = 4
	// An attempt is not hedged before hedgeObjectiveNumerator/hedgeObjectiveDenominator of the time from its
	// sending to its request's objective has passed. The hedge has the rest of that time for its answer.
	hedgeObjectiveNumerator   = 2
	hedgeObjectiveDenominator = 3
	// maxHedgeTimerDelay is how late a hedge may be sent. A node that handles its timer later than that
	// is also behind with answers, and hedges would add to its load.
	maxHedgeTimerDelay = 10 * time.Millisecond
)

// hedgeTime returns when an attempt that is sent now counts as lost: after both two thirds of the time to
// the request's objective and hedgeAfterLatencies expected latencies. A hedge that is sent after two thirds
// has the last third for its answer.
func (b *Balancer) hedgeTime(r *request, expected time.Duration) time.Duration {
	return b.now + max((r.objectiveAt-b.now)*hedgeObjectiveNumerator/hedgeObjectiveDenominator, hedgeAfterLatencies*expected)
}

// hedge sends another attempt while one is in flight, if the last one counts as lost and answers are
// fast. If answers are slow, the attempt is late rather than lost, and a second one would add to the
// overload. Hedges use the retry budget, and send applies the same rules to them as to retries.
func (b *Balancer) hedge(r *request) {
	if b.now >= r.hedgeAt+maxHedgeTimerDelay || !r.attemptInFlight() {
		return
	}
	if b.answersQuickly() && b.retryBudget >= 1 {
		b.send(r, b.pick(r))
	}
}

// lostToHedge reports whether a cancelled attempt counted as lost before its hedge was answered. The
// attempt then counts as a timeout of its server.
func (r *request) lostToHedge(a *attempt, result Result, took time.Duration) bool {
	return result == Cancelled && r.finished && len(r.attempts) > 1 && took > hedgeAfterLatencies*a.expectedLatency
}

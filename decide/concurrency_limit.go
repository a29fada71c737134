package decide

import (
	"math"
	"time"
)

// The limit on attempts in flight is steered by latency. An answer's signal is where its latency lies
// between what an unloaded fleet takes (0) and the latency objective (1).
const (
	// targetPressure is 0.36 squared: on average an answer takes 36% of the way from the unloaded latency
	// to the objective.
	targetPressure = 0.13
	// From excessPressure on most answers are late and what is in flight is itself too much: the floor of
	// the limit (nextLimit) then falls with the pressure beyond, times excessShrink.
	excessPressure = 0.4
	excessShrink   = 4
	// weightedTimeoutPressure is what a timeout, or a request that no server took, counts where value goes
	// by work: long requests, which are worth most, miss their objectives first.
	weightedTimeoutPressure = 2
	// fullWaitShare is the share of its objective that an attempt must have had for its timeout to count.
	// Attempts of late retries are cut short, and their timeouts say nothing about load.
	fullWaitShare = 0.75
	// overloadSignal is the mean signal of answers from which on a timeout counts in full: where answers
	// come quickly, one that does not come is lost, and no sign of load.
	overloadSignal = 0.15
	// quickSignal is the mean signal below which answers come quickly.
	quickSignal = overloadSignal / 2
	// limitGain is how much of the distance to the target pressure the limit follows, a tick.
	limitGain = 0.5
	// maxLimitClosing bounds that distance downwards, so that the limit closes by a fifth a tick at most.
	maxLimitClosing = 3 * targetPressure
	// initialLimitMargin is the limit that shedding begins with, over the attempts in flight.
	initialLimitMargin = 1.2
	// endLimitMargin is the limit, over the attempts in flight, from which on there is no need for one.
	endLimitMargin = 2
	// fullSheddingExcess is the excess over the limit, as a share of it, at which all would be shed, but for
	// maxShedShare.
	fullSheddingExcess = 0.4
	maxShedShare       = 0.95 // what still passes shows when the overload is over
	// inFlightGain smooths the count of attempts in flight, a tick. inFlightGainEach times the count
	// bounds it where there are few: two more are chance there, and no overload.
	inFlightGain     = 0.3
	inFlightGainEach = 0.08
	// shedShareGain smooths the shed share for requests of the highest rank, a tick.
	shedShareGain = 0.1
	// pressureGain smooths latency pressure and signal over some tens of answers.
	pressureGain = 1.0 / 16
)

// concurrencyLimiter limits this node's attempts in flight under overload. A limit is set once
// latencyPressure passes targetPressure, follows it tick by tick, and ends at endLimitMargin times what is
// in flight. What exceeds it is shed in proportion, all but 5% at fullSheddingExcess.
type concurrencyLimiter struct {
	latencyPressure   float64 // the signal of outcomes, squared with its sign, smoothed
	latencySignal     float64 // the signal of answers alone, from 0 up, smoothed
	concurrencyLimit  float64 // attempts in flight that this node allows itself; 0 for no limit
	smoothedInFlight  float64 // attempts in flight
	smoothedShedShare float64
}

// shedShare is the share of the offered work to shed for the attempts now in flight, from 0 to
// maxShedShare. It is 0 up to the limit, and without one.
func (c *concurrencyLimiter) shedShare() float64 {
	if c.concurrencyLimit <= 0 {
		return 0
	}
	excess := c.smoothedInFlight - c.concurrencyLimit
	return min(max(excess/(fullSheddingExcess*c.concurrencyLimit), 0), maxShedShare)
}

// answersQuickly reports whether answers come so quickly that a missing one is lost, and not late.
func (c *concurrencyLimiter) answersQuickly() bool { return c.latencySignal < quickSignal }

// observePressure takes what an outcome says about the fleet's load into the latency pressure: an answer by
// its latency, a timeout, and a request none of whose attempts may have run, as each was declined, not
// connected or abandoned (Overloaded).
//
// timeoutCounts is false where the server has answered nobody since the attempt was sent, and had failed
// before it: a silent server says nothing about load. Neither do errors, failed connections and timeouts of attempts that were cut short.
func (b *Balancer) observePressure(r *request, result Result, took time.Duration, timeoutCounts bool) {
	objective := float64(b.settings.Classes[r.Class].LatencyObjective)
	unloaded := b.classes[r.Class].unloadedLatency
	pressure := 1.0
	switch {
	case result == OK && objective > unloaded:
		signal := min(max((float64(took)-unloaded)/(objective-unloaded), -1), 1)
		b.latencySignal += (max(signal, 0) - b.latencySignal) * pressureGain
		pressure = signal * math.Abs(signal) // a wait well within the objective costs nothing
	case result == TimedOut && timeoutCounts && float64(took) > fullWaitShare*objective, result == Overloaded:
		if b.settings.WeightByWork {
			pressure = weightedTimeoutPressure
		}
	default:
		return
	}
	if result == TimedOut {
		pressure *= min(1, b.latencySignal/overloadSignal)
	}
	b.latencyPressure += (pressure - b.latencyPressure) * pressureGain
}

// updateConcurrencyLimit moves the limit, once a tick. Attempts in flight rise as soon as servers slow
// down, and shedding follows them at once; the pressure of late answers only says how wide the limit may
// be.
//
// There is no limit until the pressure passes its target, and again once the limit is far above what is in
// flight.
func (b *Balancer) updateConcurrencyLimit() {
	b.rankClasses()
	b.smoothInFlight()
	b.smoothedShedShare += (b.shedShare() - b.smoothedShedShare) * shedShareGain
	headroom := targetPressure - b.latencyPressure
	switch {
	case b.concurrencyLimit > 0:
		b.concurrencyLimit = b.nextLimit(headroom)
		if headroom > 0 && b.concurrencyLimit > endLimitMargin*b.smoothedInFlight {
			b.concurrencyLimit = 0
			b.effects.Log("load shedding ends")
		}
	case headroom < 0:
		b.concurrencyLimit = initialLimitMargin * max(1, b.smoothedInFlight)
		b.effects.Log("load shedding begins")
	}
}

// smoothInFlight takes the attempts now in flight into their smoothed count.
func (b *Balancer) smoothInFlight() {
	gain := min(inFlightGain, inFlightGainEach*max(b.smoothedInFlight, 1))
	b.smoothedInFlight += (float64(b.local.inFlight+b.remote.inFlight) - b.smoothedInFlight) * gain
}

// nextLimit is the limit for the next tick. Late answers are of attempts long past, so it follows them
// slowly. It goes no further below what is in flight than to where shedding reaches maxShedShare: a lower
// limit would only keep shedding for longer, with the servers idle. Where most answers are late it goes
// further, or a fleet at half its speed would stay late.
func (c *concurrencyLimiter) nextLimit(headroom float64) float64 {
	excess := max(0, c.latencyPressure-excessPressure)
	floor := c.smoothedInFlight / (1 + fullSheddingExcess + excessShrink*excess)
	change := limitGain * max(headroom, -maxLimitClosing)
	return max(1, floor, c.concurrencyLimit*(1+change))
}

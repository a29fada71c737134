package decide

import (
	"math"
	"time"
)

// The limit on attempts in flight is controlled by latency. An answer's signal is its latency on a scale
// from the latency of an unloaded fleet (0) to the latency objective (1).
const (
	// targetPressure is 0.36 squared: on average, an answer's latency is 36% of the way from the unloaded
	// latency to the objective.
	targetPressure = 0.13
	// From excessPressure on, most answers are late and the number of attempts in flight is itself too
	// high. The lower bound of the limit (see nextLimit) then falls in proportion to the pressure above
	// excessPressure, times excessShrink.
	excessPressure = 0.4
	excessShrink   = 4
	// weightedTimeoutPressure is the pressure of a timeout, or of a request that no server accepted, if
	// value is weighted by work: long requests have the highest value and miss their objectives first.
	weightedTimeoutPressure = 2
	// fullWaitShare is the share of its objective that an attempt must have waited for its timeout to
	// count. The attempts of late retries have short timeouts, which are no sign of load.
	fullWaitShare = 0.75
	// overloadSignal is the mean signal of answers from which on a timeout counts in full. While answers
	// are fast, a missing answer is lost and no sign of load.
	overloadSignal = 0.15
	// quickSignal is the mean signal below which answers are fast.
	quickSignal = overloadSignal / 2
	// limitGain is the share of the distance between the pressure and its target by which the limit changes per tick.
	limitGain = 0.5
	// maxLimitClosing bounds that distance downwards, so that the limit shrinks by at most a fifth per tick.
	maxLimitClosing = 3 * targetPressure
	// initialLimitMargin is the ratio of the initial limit to the attempts in flight when shedding begins.
	initialLimitMargin = 1.2
	// endLimitMargin is the ratio of the limit to the attempts in flight above which the limit is removed.
	endLimitMargin = 2
	// fullSheddingExcess is the excess over the limit, as a share of the limit, at which all requests would be
	// shed if maxShedShare were not the maximum.
	fullSheddingExcess = 0.4
	maxShedShare       = 0.95 // the other requests show when the overload is over
	// inFlightGain smooths the number of attempts in flight, per tick. If few attempts are in flight, the gain is at
	// most inFlightGainEach times their number: two more attempts are then chance and not overload.
	inFlightGain     = 0.3
	inFlightGainEach = 0.08
	// shedShareGain smooths the shed share for requests of the highest rank, per tick.
	shedShareGain = 0.1
	// pressureGain smooths the latency pressure and signal over some tens of answers.
	pressureGain = 1.0 / 16
)

// concurrencyLimiter limits this node's attempts in flight under overload. It sets a limit once
// latencyPressure exceeds targetPressure, adjusts the limit on each tick, and removes it once it exceeds
// endLimitMargin times the attempts in flight. It sheds in proportion to the excess over the limit, up to
// 95% at fullSheddingExcess.
type concurrencyLimiter struct {
	latencyPressure   float64 // signal of outcomes, squared with its sign kept, smoothed
	latencySignal     float64 // signal of answers only, negative values as 0, smoothed
	concurrencyLimit  float64 // maximum of this node's attempts in flight; 0 for no limit
	smoothedInFlight  float64 // number of attempts in flight
	smoothedShedShare float64
}

// shedShare returns the share of the offered work to shed at the current number of attempts in flight,
// from 0 to maxShedShare. It is 0 up to the limit and without a limit.
func (c *concurrencyLimiter) shedShare() float64 {
	if c.concurrencyLimit <= 0 {
		return 0
	}
	excess := c.smoothedInFlight - c.concurrencyLimit
	return min(max(excess/(fullSheddingExcess*c.concurrencyLimit), 0), maxShedShare)
}

// answersQuickly reports whether answers are so fast that a missing answer is lost rather than late.
func (c *concurrencyLimiter) answersQuickly() bool { return c.latencySignal < quickSignal }

// observePressure updates the latency pressure with the load that an outcome indicates: an answer by its
// latency, a timeout, or a request that no server ran because each attempt was declined, failed to connect or
// was abandoned (Overloaded).
//
// timeoutCounts is false if the server has answered no request since the attempt was sent and had already
// failed before: a silent server is no sign of load. Errors, failed connections and timeouts of attempts
// with a shortened timeout are no sign of load either.
func (b *Balancer) observePressure(r *request, result Result, took time.Duration, timeoutCounts bool) {
	objective := float64(b.settings.Classes[r.Class].LatencyObjective)
	unloaded := b.classes[r.Class].unloadedLatency
	pressure := 1.0
	switch {
	case result == OK && objective > unloaded:
		signal := min(max((float64(took)-unloaded)/(objective-unloaded), -1), 1)
		b.latencySignal += (max(signal, 0) - b.latencySignal) * pressureGain
		pressure = signal * math.Abs(signal) // a wait well within the objective adds hardly any pressure
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

// updateConcurrencyLimit adjusts the limit, once per tick. The number of attempts in flight rises as soon as
// servers slow down, and shedding follows it at once; the pressure of late answers only determines how high
// the limit is.
//
// There is no limit until the pressure exceeds its target, and none again once the limit is far above the
// number of attempts in flight.
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

// smoothInFlight updates the smoothed number of attempts in flight.
func (b *Balancer) smoothInFlight() {
	gain := min(inFlightGain, inFlightGainEach*max(b.smoothedInFlight, 1))
	b.smoothedInFlight += (float64(b.local.inFlight+b.remote.inFlight) - b.smoothedInFlight) * gain
}

// nextLimit returns the limit for the next tick. Late answers belong to attempts sent long ago, so the
// limit follows them slowly. It falls at most to the value at which shedding reaches maxShedShare: a
// lower limit would only prolong the shedding while servers are idle. If most answers are late the limit
// falls further, or the answers of a fleet at half its speed would stay late.
func (c *concurrencyLimiter) nextLimit(headroom float64) float64 {
	excess := max(0, c.latencyPressure-excessPressure)
	floor := c.smoothedInFlight / (1 + fullSheddingExcess + excessShrink*excess)
	change := limitGain * max(headroom, -maxLimitClosing)
	return max(1, floor, c.concurrencyLimit*(1+change))
}

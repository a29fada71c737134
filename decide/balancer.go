package decide

import (
	"math/rand/v2"
	"time"
)

// tickInterval is the time between two updates of the weights and the concurrency limit. It is short
// compared with latency objectives, so that overload is detected before answers are late.
const tickInterval = 100 * time.Millisecond

// Balancer decides for one node. It is not safe for concurrent use. Create one with New; the zero value
// is not usable.
type Balancer struct {
	settings Settings
	seed     uint64
	effects  Effects
	rng      *rand.Rand
	now      time.Duration // time of the last event; it never decreases

	requests map[RequestID]*request // requests without a final answer or with an attempt in flight
	classes  []classStats           // indexed like Settings.Classes

	serverIndex
	restartSuspicion
	discoveryPoll
	keyAffinity
	admission
	concurrencyLimiter

	retryBudget float64   // number of retries and hedges still allowed
	sendRate    rateMeter // attempts sent per second

	// successRate and failureRate are the rates of this node's calls, as outlier detection counts them.
	successRate, failureRate rateMeter

	// examined counts how often a server was examined, over all events. It measures the work that could grow
	// with the number of servers. Only the work of ticks, outlier sweeps and complete lists may grow so.
	examined uint64
}

// New returns a Balancer without servers. The seed determines its random choices. Each node needs its own
// seed: nodes with the same seed would send to the same servers at the same time.
func New(settings Settings, seed uint64, now time.Duration, effects Effects) *Balancer {
	b := &Balancer{
		settings: settings, seed: seed, effects: effects, rng: rand.New(rand.NewPCG(seed, 0)), now: now,
		requests:           make(map[RequestID]*request),
		classes:            newClassStats(settings.Classes),
		serverIndex:        serverIndex{serversByID: make(map[ServerID]*server)},
		keyAffinity:        newKeyAffinity(),
		admission:          newAdmission(len(settings.Classes)),
		concurrencyLimiter: concurrencyLimiter{latencySignal: overloadSignal},
		retryBudget:        maxRetryBudget,
	}
	if settings.PollDiscovery { // without polling, the endpoint list is never out of date
		b.zoneUnverifiedUntil = now + firstPollSpread + maxListDelay
	}
	b.effects.SetTimer(timerTick, now+tickInterval)
	b.effects.SetTimer(timerOutlierSweep, now+outlierInterval)
	b.effects.SetTimer(timerDiscoveryPoll, b.firstPollAt())
	return b
}

// SetFleetPosition sets the index of this node, the number of nodes in the fleet, and the share of this
// node's part of the slow-start budgets that stays unused (see Settings.UnusedQuotaShare).
func (b *Balancer) SetFleetPosition(nodeIndex, nodeCount int, unusedQuotaShare float64) {
	b.settings.NodeIndex, b.settings.NodeCount, b.settings.UnusedQuotaShare = nodeIndex, nodeCount, unusedQuotaShare
}

// Kinds of timer. A token has its kind in the low bits and, above them, the ID of its request, if any.
const (
	timerTick uint64 = iota
	timerOutlierSweep
	timerDeadline
	timerDiscoveryPoll
	timerHedge

	timerKindBits = 4
	timerKindMask = 1<<timerKindBits - 1
)

func requestTimer(kind uint64, id RequestID) uint64 { return uint64(id)<<timerKindBits | kind }

// advanceClock sets the current time to the time of an event. An event from the past happens now.
func (b *Balancer) advanceClock(now time.Duration) { b.now = max(b.now, now) }

// Arrive handles a client's request. The request gets exactly one final answer: Reject, Fail, or an
// AttemptFinished that is Final. A request whose ID is in use is ignored.
func (b *Balancer) Arrive(now time.Duration, incoming Request) {
	b.advanceClock(now)
	if b.requests[incoming.ID] != nil {
		return // the request that uses this ID must not get a second answer
	}
	if incoming.Class < 0 || incoming.Class >= len(b.settings.Classes) {
		b.effects.Reject(incoming.ID, 0)
		return
	}
	r := &request{Request: incoming, objectiveAt: incoming.Deadline}
	if !incoming.Streaming {
		b.setObjective(r, b.requestAge(r))
	}
	b.requests[incoming.ID] = r
	b.creditRetryBudget()
	b.classes[incoming.Class].recordWorkHint(incoming.WorkHint)
	if b.rejectOnArrival(r) {
		b.rejectOrFail(r)
		return
	}
	b.effects.SetTimer(requestTimer(timerDeadline, incoming.ID), incoming.Deadline)
	b.advance(r)
}

// SetDeadline changes a request's deadline: either the node shuts down before the current deadline, or
// the last byte of a Streaming request has been sent and its latency objective starts. It returns how
// long the request's attempts may take from now on, or 0 if the request is unknown.
func (b *Balancer) SetDeadline(now time.Duration, id RequestID, deadline time.Duration) time.Duration {
	b.advanceClock(now)
	r := b.requests[id]
	if r == nil {
		return 0
	}
	r.Deadline = deadline
	if r.Streaming && len(r.attempts) > 0 {
		r.attempts[0].sentAt = b.now
		b.setObjective(r, 0)
	}
	r.objectiveAt = min(r.objectiveAt, deadline)
	b.effects.SetTimer(requestTimer(timerDeadline, id), deadline)
	return r.objectiveAt - b.now
}

// AttemptConnected records that an attempt has a connection and is about to be written. It returns the
// time by which the attempt's last byte must be written, or 0 for no limit. If that time has passed, the
// caller must not write the attempt. For an IdempotentWithKey request the limit is the end of the usable
// dedup window of the earliest attempt that counts as run, and it applies to that attempt, too. The
// request and its attempt must be known.
func (b *Balancer) AttemptConnected(now time.Duration, id RequestID, attempt int) time.Duration {
	b.advanceClock(now)
	r := b.requests[id]
	r.attempts[attempt].startedAt = b.now
	class := &b.settings.Classes[r.Class]
	if class.Idempotency == IdempotentWithKey && !r.Streaming {
		return class.dedupUntil(r.firstCountedAsRun())
	}
	return 0
}

// AttemptFinished handles the outcome of an attempt. It ignores an outcome that matches no attempt in flight.
func (b *Balancer) AttemptFinished(now time.Duration, o Outcome) {
	b.advanceClock(now)
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.inFlight = false
	a.countsAsRun = !o.Result.NeverRan()
	a.server.inFlight--
	b.groupOf(a.server).inFlight--
	b.recordOutcome(r, a, o)
	if o.Final {
		b.finish(r, o.Attempt)
	}
	if !r.finished && !r.attemptInFlight() {
		b.advance(r)
	}
	b.forgetIfDone(r)
}

// ClientDisconnected records that a client disconnected. Its request needs no answer any more.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	b.advanceClock(now)
	if r := b.requests[id]; r != nil {
		b.finish(r, noAttempt)
	}
}

// TimerFired handles a timer that was set through Effects.SetTimer and is due. It ignores unknown tokens
// and tokens of unknown requests.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	b.advanceClock(now)
	id := RequestID(token >> timerKindBits)
	switch token & timerKindMask {
	case timerTick:
		b.recordTick(b.now)
		b.refreshWeights()
		b.updateConcurrencyLimit()
		b.effects.SetTimer(timerTick, b.now+tickInterval)
	case timerOutlierSweep:
		b.sweepOutliers()
		b.effects.SetTimer(timerOutlierSweep, b.now+outlierInterval)
	case timerDiscoveryPoll:
		b.pollDiscovery()
	case timerHedge:
		if r := b.requests[id]; r != nil {
			b.hedge(r)
		}
	case timerDeadline:
		if r := b.requests[id]; r != nil {
			b.expire(r)
		}
	}
}

// expire gives a request its final answer at its deadline. A timer that was set for an earlier deadline
// of a Streaming request fires too early and is ignored.
func (b *Balancer) expire(r *request) {
	if !r.finished && (!r.Streaming || b.now >= r.Deadline) {
		b.rejectOrFail(r)
	}
}

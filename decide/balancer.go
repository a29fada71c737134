package decide

import (
	"math/rand/v2"
	"time"
)

// tickInterval is the time between two updates of the weights and of the concurrency limit: short
// against latency objectives, so that overload shows before answers are late.
const tickInterval = 100 * time.Millisecond

// Balancer decides for one node. It is not safe for concurrent use; its zero value is not usable, see New.
type Balancer struct {
	settings Settings
	seed     uint64
	effects  Effects
	rng      *rand.Rand
	now      time.Duration // the time of the last event; it never goes back

	requests map[RequestID]*request // without a final answer, or with an attempt in flight
	classes  []classStats           // as Settings.Classes

	serverIndex
	restartSuspicion
	discoveryPoll
	keyAffinity
	admission
	concurrencyLimiter

	retryBudget float64   // attempts that retries and hedges may still take
	sendRate    rateMeter // attempts

	// successRate and failureRate are of this node's calls, as outlier detection counts them.
	successRate, failureRate rateMeter

	// examined counts each look at a server, over all events: the work that could grow with the number of
	// servers. What an event adds must not, but for ticks, outlier sweeps and complete lists.
	examined uint64
}

// New returns a Balancer that knows no server yet. The seed makes its random choices its own: nodes with
// the same seed would send to the same servers at the same time.
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
	if settings.PollDiscovery { // else no list is ever old
		b.zoneUnverifiedUntil = now + firstPollSpread + maxListDelay
	}
	b.effects.SetTimer(timerTick, now+tickInterval)
	b.effects.SetTimer(timerOutlierSweep, now+outlierInterval)
	b.effects.SetTimer(timerDiscoveryPoll, b.firstPollAt())
	return b
}

// SetFleetPosition says which node of how many this one is, and what share of its part of the
// slow-start budgets it leaves unused, as Settings.WithheldShare.
func (b *Balancer) SetFleetPosition(nodeIndex, nodeCount int, withheldShare float64) {
	b.settings.NodeIndex, b.settings.NodeCount, b.settings.WithheldShare = nodeIndex, nodeCount, withheldShare
}

// Kinds of timer. A token has its kind in the low bits and above them the request that it is for, if any.
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

// advanceClock takes over the time of an event. An event from the past happens now.
func (b *Balancer) advanceClock(now time.Duration) { b.now = max(b.now, now) }

// Arrive takes a client's request. It gets one final answer: by Reject, by Fail, or by an AttemptFinished
// that is Final.
func (b *Balancer) Arrive(now time.Duration, q Request) {
	b.advanceClock(now)
	if b.requests[q.ID] != nil {
		return // the id is in use, and its request must not be answered twice
	}
	if q.Class < 0 || q.Class >= len(b.settings.Classes) {
		b.effects.Reject(q.ID, 0)
		return
	}
	r := &request{Request: q, objectiveAt: q.Deadline}
	if !q.Streaming {
		b.setObjective(r, b.requestAge(r))
	}
	b.requests[q.ID] = r
	b.creditRetryBudget()
	b.classes[q.Class].recordWorkHint(q.WorkHint)
	if b.rejectOnArrival(r) {
		b.rejectOrFail(r)
		return
	}
	b.effects.SetTimer(requestTimer(timerDeadline, q.ID), q.Deadline)
	b.advance(r)
}

// SetDeadline moves a request's deadline: its node shuts down before it, or the last byte of a Streaming
// request has been sent and its client's clock starts. It returns how long the request's attempts may
// take from now on, 0 where the request is not known.
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

// AttemptConnected notes that an attempt has its connection and is about to be written. It returns by when
// its last byte must be written, 0 for no bound. Where that is past already the attempt must not begin.
// For an IdempotentWithKey request it is the end of the usable dedup window of the first attempt that may
// have run: that attempt too must be written by then. The request and its attempt must be known.
func (b *Balancer) AttemptConnected(now time.Duration, id RequestID, attempt int) time.Duration {
	b.advanceClock(now)
	r := b.requests[id]
	r.attempts[attempt].startedAt = b.now
	class := &b.settings.Classes[r.Class]
	if class.Idempotency == IdempotentWithKey && !r.Streaming {
		return class.dedupUntil(r.firstPossiblyRun())
	}
	return 0
}

// AttemptFinished takes the outcome of an attempt. An outcome of no attempt in flight is ignored.
func (b *Balancer) AttemptFinished(now time.Duration, o Outcome) {
	b.advanceClock(now)
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.inFlight = false
	a.mayHaveRun = !o.Result.NeverRan()
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

// ClientDisconnected notes that a client disconnected: its request needs no answer any more.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	b.advanceClock(now)
	if r := b.requests[id]; r != nil {
		b.finish(r, noAttempt)
	}
}

// TimerFired says that a timer set through Effects.SetTimer is due. Unknown tokens, and those of requests
// that are not known any more, are ignored.
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

// expire gives a request its final answer at its deadline. A timer set before the deadline of a Streaming
// request was moved comes too early and does nothing.
func (b *Balancer) expire(r *request) {
	if !r.finished && (!r.Streaming || b.now >= r.Deadline) {
		b.rejectOrFail(r)
	}
}

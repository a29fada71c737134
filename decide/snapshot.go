package decide

import (
	"math"
	"time"
)

// Snapshot is what a Balancer has learned, for one that takes its place: after a change of the settings, or
// in the process of a new version. It holds no request. Times are ages or spans, so that it holds by
// another clock. The JSON names are those that earlier versions write and read, and must not change.
type Snapshot struct {
	Classes []ClassSnapshot  `json:"Classes"` // as Settings.Classes
	Servers []ServerSnapshot `json:"Servers"` // in any order

	SuccessRate     float64 `json:"OK"`   // calls a second that succeeded
	FailureRate     float64 `json:"Bad"`  // calls a second that failed
	SendRate        float64 `json:"Sent"` // attempts a second
	LocalAnswerRate float64 `json:"Near"` // answers a second of the local zone

	RetryBudget      float64 `json:"Budget"` // attempts
	LatencyPressure  float64 `json:"Fill"`
	LatencySignal    float64 `json:"Crowd"`
	ConcurrencyLimit float64 `json:"Window"` // attempts; 0 for no limit
	SmoothedInFlight float64 `json:"Level"`  // attempts
}

// ClassSnapshot is what is known of a class. Name is the caller's, to find it again.
type ClassSnapshot struct {
	Name               string        `json:"Name,omitempty"`
	MeanLatency        float64       `json:"Latency"` // ns
	UnloadedLatency    float64       `json:"Base"`    // ns, of an unloaded fleet
	MeanWorkHint       float64       `json:"Hint"`    // ns
	Answers            int           `json:"Answers"`
	ClientTimeout      time.Duration `json:"Span"`
	ClientTimeoutVotes int           `json:"Votes"`
}

// ServerSnapshot is what is known of a server. Name is the caller's, to find it again.
type ServerSnapshot struct {
	Name                string        `json:"Name,omitempty"`
	ID                  ServerID      `json:"ID"`
	StartedAt           time.Duration `json:"Since"` // of the incarnation that this is known of
	LatencyRatio        float64       `json:"Stretch"`
	LatencyRatioAge     time.Duration `json:"Seen"`
	Ejected             bool          `json:"Ejected"`
	EjectedFor          time.Duration `json:"EjectedFor"` // so far
	EjectionMultiplier  int           `json:"Multiplier"` // of its ejection time
	ConsecutiveFailures int           `json:"Run"`
	Probation           bool          `json:"Probation"`
	OverloadedLeft      time.Duration `json:"Rest"`    // for which it gets no attempt, as it declined one
	SlowStartTokens     float64       `json:"Tokens"`  // average requests
	RestartSuspected    bool          `json:"Doubted"` // it may have restarted since its connection was lost
	ConnectionLostAge   time.Duration `json:"Away"`
	SuspicionLeft       time.Duration `json:"Sure"` // until the suspicion ends; 0 where it has not responded since
}

// Snapshot returns what has been learned.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.advanceClock(now)
	snap := Snapshot{
		SuccessRate: b.successRate.rateAt(b.now), FailureRate: b.failureRate.rateAt(b.now),
		SendRate: b.sendRate.rateAt(b.now), LocalAnswerRate: b.local.answerRate.rateAt(b.now),
		RetryBudget: b.retryBudget, LatencyPressure: b.latencyPressure, LatencySignal: b.latencySignal,
		ConcurrencyLimit: b.concurrencyLimit, SmoothedInFlight: b.smoothedInFlight,
	}
	for i := range b.classes {
		snap.Classes = append(snap.Classes, b.classes[i].snapshot())
	}
	for _, s := range b.serversByID {
		snap.Servers = append(snap.Servers, b.snapshotServer(s))
	}
	return snap
}

func (c *classStats) snapshot() ClassSnapshot {
	return ClassSnapshot{
		MeanLatency: c.meanLatency, UnloadedLatency: c.unloadedLatency, MeanWorkHint: c.meanWorkHint, Answers: c.answers,
		ClientTimeout: c.clientTimeout, ClientTimeoutVotes: c.clientTimeoutVotes,
	}
}

func (b *Balancer) snapshotServer(s *server) ServerSnapshot {
	suspected := b.restartSuspected(s) // first, as it may change what is copied below
	return ServerSnapshot{
		ID: s.ID, StartedAt: s.StartedAt,
		LatencyRatio: s.latencyRatio, LatencyRatioAge: b.now - s.latencyRatioAt,
		Ejected: s.ejected, EjectedFor: b.now - s.ejectedAt, EjectionMultiplier: s.ejectionMultiplier,
		ConsecutiveFailures: s.consecutiveFailures, Probation: s.probation,
		OverloadedLeft: max(0, s.overloadedUntil-b.now), SlowStartTokens: s.slowStartTokens,
		RestartSuspected: suspected, ConnectionLostAge: b.now - s.connectionLostAt,
		SuspicionLeft: max(0, s.suspicionEndsAt-b.now),
	}
}

// Bounds of what a snapshot is believed: it may be damaged, or another version's.
const (
	maxRestoredRate        = 1e6 // a second; far beyond any node's
	maxRestoredNanoseconds = float64(time.Hour)
	maxRestoredCount       = 64 // more failures, ejections or answers change no decision
)

// restorable returns x within bounds, or a default where it is not a number.
func restorable(x, low, high, byDefault float64) float64 {
	if math.IsNaN(x) {
		return byDefault
	}
	return min(max(x, low), high)
}

// restoredRate returns a meter that measured a rate until now.
func (b *Balancer) restoredRate(rate float64) rateMeter {
	return rateMeter{restorable(rate, 0, maxRestoredRate, 0), b.now}
}

// Restore takes over what another Balancer has learned, as far as it fits: of classes by their index, and
// of servers that are listed and have not restarted since. What makes no sense is left out. It must be
// called after the endpoint list is known and before the first request.
func (b *Balancer) Restore(now time.Duration, snap Snapshot) {
	b.advanceClock(now)
	b.successRate = b.restoredRate(snap.SuccessRate)
	b.failureRate = b.restoredRate(snap.FailureRate)
	b.sendRate = b.restoredRate(snap.SendRate)
	b.local.answerRate = b.restoredRate(snap.LocalAnswerRate)
	b.retryBudget = restorable(snap.RetryBudget, 0, maxRetryBudget, b.retryBudget)
	b.latencyPressure = restorable(snap.LatencyPressure, 0, maxLatencyRatio, 0)
	b.latencySignal = restorable(snap.LatencySignal, 0, maxLatencyRatio, b.latencySignal)
	b.concurrencyLimit = restorable(snap.ConcurrencyLimit, 0, maxRestoredRate, 0)
	b.smoothedInFlight = restorable(snap.SmoothedInFlight, 0, maxRestoredRate, 0)
	for i, c := range snap.Classes {
		if i < len(b.classes) && c.MeanLatency > 0 {
			b.classes[i].restore(c, b.longestMeanLatency(i))
		}
	}
	b.zoneUnverifiedUntil = 0 // the other one has seen to it
	for _, saved := range snap.Servers {
		s := b.serversByID[saved.ID]
		if s != nil && s.StartedAt == saved.StartedAt && s.State == Ready {
			b.restoreServer(s, saved)
		}
	}
	b.refreshWeights()
}

func (c *classStats) restore(saved ClassSnapshot, longest float64) {
	c.meanLatency = restorable(saved.MeanLatency, 1, longest, c.meanLatency)
	c.unloadedLatency = restorable(saved.UnloadedLatency, 1, c.meanLatency, c.unloadedLatency)
	c.meanWorkHint = restorable(saved.MeanWorkHint, 0, maxRestoredNanoseconds, c.meanWorkHint)
	c.answers = restoredCount(saved.Answers)
	c.clientTimeout = max(0, saved.ClientTimeout)
	c.clientTimeoutVotes = min(max(saved.ClientTimeoutVotes, 0), maxClientTimeoutVotes)
}

func restoredCount(n int) int { return min(max(n, 0), maxRestoredCount) }

func (b *Balancer) restoreServer(s *server, saved ServerSnapshot) {
	s.latencyRatio = restorable(saved.LatencyRatio, minLatencyRatio, maxLatencyRatio, 1)
	s.latencyRatioAt = b.now - max(0, saved.LatencyRatioAge)
	s.consecutiveFailures = restoredCount(saved.ConsecutiveFailures)
	s.ejectionMultiplier = restoredCount(saved.EjectionMultiplier)
	s.probation = saved.Probation
	s.overloadedUntil = b.now + min(max(saved.OverloadedLeft, 0), baseEjectionTime)
	if saved.RestartSuspected {
		b.restoreSuspicion(s, saved)
	}
	if b.slowStartFactor(s) < 1 { // what the other has sent there counts
		s.slowStartTokens = restorable(saved.SlowStartTokens, -maxRestoredRate, 1, s.slowStartTokens)
		s.slowStartTokensAt = b.now
	}
	if saved.Ejected && !s.ejected && b.mayEject() {
		b.setEjected(s, true)
		s.ejectedAt = b.now - max(0, saved.EjectedFor)
		s.ejectionMultiplier = max(1, s.ejectionMultiplier)
	}
}

func (b *Balancer) restoreSuspicion(s *server, saved ServerSnapshot) {
	b.applyZoneSuspicion(s)
	s.connectionLostAt, s.suspicionEndsAt = b.now-max(0, saved.ConnectionLostAge), 0
	if saved.SuspicionLeft > 0 {
		s.suspicionEndsAt = b.now + min(saved.SuspicionLeft, maxListDelay)
	}
	b.beginSlowStart(s)
}

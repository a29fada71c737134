package decide

import (
	"math"
	"time"
)

// Snapshot is the learned state that a Balancer hands over to its successor, after a change of the settings
// or in the process of a new version. It contains no requests. Times are ages or remaining times, so that
// they are valid on another clock. The JSON names must not change: earlier versions read and write them.
type Snapshot struct {
	Classes []ClassSnapshot  `json:"Classes"` // indexed like Settings.Classes
	Servers []ServerSnapshot `json:"Servers"` // servers in any order

	SuccessRate     float64 `json:"OK"`   // successful calls per second
	FailureRate     float64 `json:"Bad"`  // failed calls per second
	SendRate        float64 `json:"Sent"` // attempts per second
	LocalAnswerRate float64 `json:"Near"` // answers per second from the local zone

	RetryBudget      float64 `json:"Budget"` // number of attempts still allowed
	LatencyPressure  float64 `json:"Fill"`
	LatencySignal    float64 `json:"Crowd"`
	ConcurrencyLimit float64 `json:"Window"` // maximum of attempts in flight; 0 for no limit
	SmoothedInFlight float64 `json:"Level"`  // number of attempts in flight
}

// ClassSnapshot is the learned state of a class. The caller sets Name, by which it matches classes.
type ClassSnapshot struct {
	Name               string        `json:"Name,omitempty"`
	MeanLatency        float64       `json:"Latency"` // ns
	UnloadedLatency    float64       `json:"Base"`    // latency of an unloaded fleet, in ns
	MeanWorkHint       float64       `json:"Hint"`    // ns
	Answers            int           `json:"Answers"`
	ClientTimeout      time.Duration `json:"Span"`
	ClientTimeoutVotes int           `json:"Votes"`
}

// ServerSnapshot is the learned state of a server. The caller sets Name, by which it matches servers.
type ServerSnapshot struct {
	Name                string        `json:"Name,omitempty"`
	ID                  ServerID      `json:"ID"`
	StartedAt           time.Duration `json:"Since"` // start time of the incarnation that the state belongs to
	LatencyRatio        float64       `json:"Stretch"`
	LatencyRatioAge     time.Duration `json:"Seen"`
	Ejected             bool          `json:"Ejected"`
	EjectedFor          time.Duration `json:"EjectedFor"` // time since the ejection
	EjectionMultiplier  int           `json:"Multiplier"` // A50's ejection time multiplier
	ConsecutiveFailures int           `json:"Run"`
	Probation           bool          `json:"Probation"`
	OverloadedRemaining time.Duration `json:"Rest"`    // remaining time without attempts after the server declined one
	SlowStartTokens     float64       `json:"Tokens"`  // tokens, in average requests
	RestartSuspected    bool          `json:"Doubted"` // the server may have restarted since it was found unreachable
	UnreachableAge      time.Duration `json:"Away"`
	SuspicionRemaining  time.Duration `json:"Sure"` // time until the suspicion ends; 0 if the server has not responded since
}

// Snapshot returns the learned state as of now.
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
	suspected := b.restartSuspected(s) // must come first, since it may change the fields copied below
	return ServerSnapshot{
		ID: s.ID, StartedAt: s.StartedAt,
		LatencyRatio: s.latencyRatio, LatencyRatioAge: b.now - s.latencyRatioAt,
		Ejected: s.ejected, EjectedFor: b.now - s.ejectedAt, EjectionMultiplier: s.ejectionMultiplier,
		ConsecutiveFailures: s.consecutiveFailures, Probation: s.probation,
		OverloadedRemaining: max(0, s.overloadedUntil-b.now), SlowStartTokens: s.slowStartTokens,
		RestartSuspected: suspected, UnreachableAge: b.now - s.unreachableAt,
		SuspicionRemaining: max(0, s.suspicionEndsAt-b.now),
	}
}

// Bounds for the values of a snapshot, which may be damaged or written by another version.
const (
	maxRestoredRate        = 1e6 // events per second; far beyond any node's rate
	maxRestoredNanoseconds = float64(time.Hour)
	maxRestoredCount       = 64 // higher counts of failures, ejections or answers change no decision
)

// clampOr returns x limited to the range from low to high, or the default if x is not a number.
func clampOr(x, low, high, defaultValue float64) float64 {
	if math.IsNaN(x) {
		return defaultValue
	}
	return min(max(x, low), high)
}

// restoredRate returns a meter whose rate is the given one as of now.
func (b *Balancer) restoredRate(rate float64) rateMeter {
	return rateMeter{clampOr(rate, 0, maxRestoredRate, 0), b.now}
}

// Restore applies the learned state of another Balancer as far as it matches: of classes by index, and of
// servers that are listed and have not restarted since. It ignores invalid values. It must be called
// after the first endpoint list and before the first request.
func (b *Balancer) Restore(now time.Duration, snap Snapshot) {
	b.advanceClock(now)
	b.successRate = b.restoredRate(snap.SuccessRate)
	b.failureRate = b.restoredRate(snap.FailureRate)
	b.sendRate = b.restoredRate(snap.SendRate)
	b.local.answerRate = b.restoredRate(snap.LocalAnswerRate)
	b.retryBudget = clampOr(snap.RetryBudget, 0, maxRetryBudget, b.retryBudget)
	b.latencyPressure = clampOr(snap.LatencyPressure, 0, maxLatencyRatio, 0)
	b.latencySignal = clampOr(snap.LatencySignal, 0, maxLatencyRatio, b.latencySignal)
	b.concurrencyLimit = clampOr(snap.ConcurrencyLimit, 0, maxRestoredRate, 0)
	b.smoothedInFlight = clampOr(snap.SmoothedInFlight, 0, maxRestoredRate, 0)
	for i, c := range snap.Classes {
		if i < len(b.classes) && c.MeanLatency > 0 {
			b.classes[i].restore(c, b.longestMeanLatency(i))
		}
	}
	b.zoneUnverifiedUntil = 0 // the other Balancer has verified the zone
	for _, saved := range snap.Servers {
		s := b.serversByID[saved.ID]
		if s != nil && s.StartedAt == saved.StartedAt && s.State == Ready {
			b.restoreServer(s, saved)
		}
	}
	b.refreshWeights()
}

func (c *classStats) restore(saved ClassSnapshot, longest float64) {
	c.meanLatency = clampOr(saved.MeanLatency, 1, longest, c.meanLatency)
	c.unloadedLatency = clampOr(saved.UnloadedLatency, 1, c.meanLatency, c.unloadedLatency)
	c.meanWorkHint = clampOr(saved.MeanWorkHint, 0, maxRestoredNanoseconds, c.meanWorkHint)
	c.answers = restoredCount(saved.Answers)
	c.clientTimeout = max(0, saved.ClientTimeout)
	c.clientTimeoutVotes = min(max(saved.ClientTimeoutVotes, 0), maxClientTimeoutVotes)
}

func restoredCount(n int) int { return min(max(n, 0), maxRestoredCount) }

func (b *Balancer) restoreServer(srv *server, saved ServerSnapshot) {
	srv.latencyRatio = clampOr(saved.LatencyRatio, minLatencyRatio, maxLatencyRatio, 1)
	srv.latencyRatioAt = b.now - max(0, saved.LatencyRatioAge)
	srv.consecutiveFailures = restoredCount(saved.ConsecutiveFailures)
	srv.ejectionMultiplier = restoredCount(saved.EjectionMultiplier)
	srv.probation = saved.Probation
	srv.overloadedUntil = b.now + min(max(saved.OverloadedRemaining, 0), baseEjectionTime)
	if saved.RestartSuspected {
		b.restoreSuspicion(srv, saved)
	}
	if b.slowStartFactor(srv) < 1 { // the requests that the other Balancer sent count
		srv.slowStartTokens = clampOr(saved.SlowStartTokens, -maxRestoredRate, 1, srv.slowStartTokens)
		srv.slowStartTokensAt = b.now
	}
	if saved.Ejected && !srv.ejected && b.mayEject() {
		b.setEjected(srv, true)
		srv.ejectedAt = b.now - max(0, saved.EjectedFor)
		srv.ejectionMultiplier = max(1, srv.ejectionMultiplier)
	}
}

func (b *Balancer) restoreSuspicion(s *server, saved ServerSnapshot) {
	b.applyZoneSuspicion(s)
	s.unreachableAt, s.suspicionEndsAt = b.now-max(0, saved.UnreachableAge), 0
	if saved.SuspicionRemaining > 0 {
		s.suspicionEndsAt = b.now + min(saved.SuspicionRemaining, maxListDelay)
	}
	b.beginSlowStart(s)
}

package decide

import (
	"cmp"
	"math"
	"time"
)

// Snapshot is what a Balancer has learned, for one that goes on in its place: after a
// retuning, or in the process of a new version. It holds no request. Times are ages or
// spans, so that it means the same on another clock.
type Snapshot struct {
	Classes []ClassSnapshot  `json:"Classes"` // in the order of the settings
	Servers []ServerSnapshot `json:"Servers"`

	SuccessRate      float64 `json:"OK"`
	FailureRate      float64 `json:"Bad"`
	SendRate         float64 `json:"Sent"`   // answers, failures and attempts a second
	LocalAnswerRate  float64 `json:"Near"`   // answers of the own zone, likewise
	RetryBudget      float64 `json:"Budget"` // for retries
	LatencyPressure  float64 `json:"Fill"`
	LatencySignal    float64 `json:"Crowd"`
	ConcurrencyLimit float64 `json:"Window"`
	SmoothedInFlight float64 `json:"Level"`
}

// ClassSnapshot is what is known of a class. Name is the caller's, to find it again.
type ClassSnapshot struct {
	Name          string        `json:"Name,omitempty"`
	Latency       float64       `json:"Latency"`
	BaseLatency   float64       `json:"Base"`
	WorkHint      float64       `json:"Hint"`
	Answers       int           `json:"Answers"`
	ClientTimeout time.Duration `json:"Span"`
	TimeoutVotes  int           `json:"Votes"`
}

// ServerSnapshot is what is known of a server. Name is the caller's.
type ServerSnapshot struct {
	Name                string        `json:"Name,omitempty"`
	ID                  ServerID      `json:"ID"`
	StartedAt           time.Duration `json:"Since"` // its start as it was told; one that differs owes nothing to this
	LatencyRatio        float64       `json:"Stretch"`
	LatencyAge          time.Duration `json:"Seen"` // ago
	Ejected             bool          `json:"Ejected"`
	EjectedFor          time.Duration `json:"EjectedFor"` // since when, ago
	Multiplier          int           `json:"Multiplier"`
	ConsecutiveFailures int           `json:"Run"`
	Probation           bool          `json:"Probation"`
	BackoffLeft         time.Duration `json:"Rest"`    // still to rest
	SlowStartTokens     float64       `json:"Tokens"`  // of its slow start
	RestartSuspected    bool          `json:"Doubted"` // it may have begun anew since it took no connection,
	ConnectionLostAge   time.Duration `json:"Away"`    // so long ago,
	ConfirmedLeft       time.Duration `json:"Sure"`    // until so long from now; 0 where it has not answered since
}

// Snapshot gives what has been learned.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	b.now = max(b.now, now)
	m := Snapshot{
		SuccessRate: b.okMeter.at(b.now), FailureRate: b.badMeter.at(b.now), SendRate: b.sent.at(b.now), LocalAnswerRate: b.local.answers.at(b.now), RetryBudget: b.budget,
		LatencyPressure: b.fill, LatencySignal: b.crowd, ConcurrencyLimit: b.window, SmoothedInFlight: b.level,
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassSnapshot{Latency: c.latency, BaseLatency: c.base, WorkHint: c.hint, Answers: c.answers, ClientTimeout: c.span, TimeoutVotes: c.votes})
	}
	for _, s := range b.byID {
		m.Servers = append(m.Servers, ServerSnapshot{
			ID: s.ID, StartedAt: s.StartedAt, LatencyRatio: s.stretch, LatencyAge: b.now - s.seenAt,
			Ejected: s.ejected, EjectedFor: b.now - s.ejectedAt, Multiplier: s.multiplier, ConsecutiveFailures: s.run, Probation: s.probation,
			BackoffLeft: max(0, s.restUntil-b.now), SlowStartTokens: s.tokens,
			RestartSuspected: b.doubted(s), ConnectionLostAge: b.now - s.awayAt, ConfirmedLeft: max(0, s.sureAt-b.now),
		})
	}
	return m
}

// Bounds of what a memory is believed.
const (
	maxRate    = 1e6
	maxNs      = float64(time.Hour)
	maxRemains = 64
)

// within gives x if it is a number, kept within bounds, and else the default.
func within(x, low, high, def float64) float64 {
	if math.IsNaN(x) {
		return def
	}
	return min(max(x, low), high)
}

// Restore takes over what another has learned, as far as it fits: classes by their place,
// servers that are listed and have not started anew since. What makes no sense is left
// out, as the memory may be damaged or another version's. It is for a Balancer that has
// its list and has served nothing yet.
func (b *Balancer) Restore(now time.Duration, m Snapshot) {
	b.now = max(b.now, now)
	b.okMeter = meter{within(m.SuccessRate, 0, maxRate, 0), b.now}
	b.badMeter = meter{within(m.FailureRate, 0, maxRate, 0), b.now}
	b.sent = meter{within(m.SendRate, 0, maxRate, 0), b.now}
	b.local.answers = meter{within(m.LocalAnswerRate, 0, maxRate, 0), b.now}
	b.budget = within(m.RetryBudget, 0, retryBurst, b.budget)
	b.fill = within(m.LatencyPressure, 0, maxStretch, 0)
	b.crowd = within(m.LatencySignal, 0, maxStretch, b.crowd)
	b.window, b.level = within(m.ConcurrencyLimit, 0, maxRate, 0), within(m.SmoothedInFlight, 0, maxRate, 0)
	for i, c := range m.Classes {
		if i >= len(b.classes) || !(c.Latency > 0) {
			continue
		}
		is := &b.classes[i]
		longest := float64(cmp.Or(b.set.Classes[i].LatencyObjective, time.Hour)) // as learn has it
		is.latency = within(c.Latency, 1, longest, is.latency)
		is.base = within(c.BaseLatency, 1, is.latency, is.base)
		is.hint = within(c.WorkHint, 0, maxNs, is.hint)
		is.answers = min(max(c.Answers, 0), maxRemains)
		is.span, is.votes = max(0, c.ClientTimeout), min(max(c.TimeoutVotes, 0), ageVotes*4)
	}
	b.provenBy = 0
	for _, k := range m.Servers {
		s := b.byID[k.ID]
		if s == nil || s.StartedAt != k.StartedAt || s.State != Ready {
			continue
		}
		s.stretch = within(k.LatencyRatio, 0.1, maxStretch, 1)
		s.seenAt = b.now - max(0, k.LatencyAge)
		s.run, s.multiplier = min(max(k.ConsecutiveFailures, 0), maxRemains), min(max(k.Multiplier, 0), maxRemains)
		s.probation = k.Probation
		s.restUntil = b.now + min(max(k.BackoffLeft, 0), baseEjection)
		if k.RestartSuspected {
			b.learnDoubts(s)
			s.awayAt, s.sureAt = b.now-max(0, k.ConnectionLostAge), 0
			if k.ConfirmedLeft > 0 {
				s.sureAt = b.now + min(k.ConfirmedLeft, listLate)
			}
			b.chill(s)
		}
		if b.warmth(s) < 1 { // what the other has sent it counts
			s.tokens, s.tokensAt = within(k.SlowStartTokens, -maxRate, 1, s.tokens), b.now
		}
		if k.Ejected && !s.ejected && b.mayEject() {
			b.setEjected(s, true)
			s.ejectedAt = b.now - max(0, k.EjectedFor)
			s.multiplier = max(1, s.multiplier)
		}
	}
	b.reweigh()
}

// Ejected says whether a server is out as an outlier.
func (b *Balancer) Ejected(id ServerID) bool {
	s := b.byID[id]
	return s != nil && s.ejected
}

// EjectedCount is how many servers are out as outliers.
func (b *Balancer) EjectedCount() int { return b.ejectedCount }

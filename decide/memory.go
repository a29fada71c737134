package decide

import (
	"cmp"
	"math"
	"time"
)

// Memory is what a Balancer has learned, for one that goes on in its place: after a
// retuning, or in the process of a new version. It holds no request. Times are ages or
// spans, so that it means the same on another clock.
type Memory struct {
	Classes []ClassMemory  `json:"Classes"` // in the order of the settings
	Servers []ServerMemory `json:"Servers"`

	OK     float64 `json:"OK"`
	Bad    float64 `json:"Bad"`
	Sent   float64 `json:"Sent"`   // answers, failures and attempts a second
	Near   float64 `json:"Near"`   // answers of the own zone, likewise
	Budget float64 `json:"Budget"` // for retries
	Fill   float64 `json:"Fill"`
	Crowd  float64 `json:"Crowd"`
	Window float64 `json:"Window"`
	Level  float64 `json:"Level"`
}

// ClassMemory is what is known of a class. Name is the caller's, to find it again.
type ClassMemory struct {
	Name    string        `json:"Name,omitempty"`
	Latency float64       `json:"Latency"`
	Base    float64       `json:"Base"`
	Hint    float64       `json:"Hint"`
	Answers int           `json:"Answers"`
	Span    time.Duration `json:"Span"`
	Votes   int           `json:"Votes"`
}

// ServerMemory is what is known of a server. Name is the caller's.
type ServerMemory struct {
	Name       string        `json:"Name,omitempty"`
	ID         ServerID      `json:"ID"`
	Since      time.Duration `json:"Since"` // its start as it was told; one that differs owes nothing to this
	Stretch    float64       `json:"Stretch"`
	Seen       time.Duration `json:"Seen"` // ago
	Ejected    bool          `json:"Ejected"`
	EjectedFor time.Duration `json:"EjectedFor"` // since when, ago
	Multiplier int           `json:"Multiplier"`
	Run        int           `json:"Run"`
	Probation  bool          `json:"Probation"`
	Rest       time.Duration `json:"Rest"`    // still to rest
	Tokens     float64       `json:"Tokens"`  // of its slow start
	Doubted    bool          `json:"Doubted"` // it may have begun anew since it took no connection,
	Away       time.Duration `json:"Away"`    // so long ago,
	Sure       time.Duration `json:"Sure"`    // until so long from now; 0 where it has not answered since
}

// Memory gives what has been learned.
func (b *Balancer) Memory(now time.Duration) Memory {
	b.now = max(b.now, now)
	m := Memory{
		OK: b.okMeter.at(b.now), Bad: b.badMeter.at(b.now), Sent: b.sent.at(b.now), Near: b.local.answers.at(b.now), Budget: b.budget,
		Fill: b.fill, Crowd: b.crowd, Window: b.window, Level: b.level,
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassMemory{Latency: c.latency, Base: c.base, Hint: c.hint, Answers: c.answers, Span: c.span, Votes: c.votes})
	}
	for _, s := range b.byID {
		m.Servers = append(m.Servers, ServerMemory{
			ID: s.ID, Since: s.Since, Stretch: s.stretch, Seen: b.now - s.seenAt,
			Ejected: s.ejected, EjectedFor: b.now - s.ejectedAt, Multiplier: s.multiplier, Run: s.run, Probation: s.probation,
			Rest: max(0, s.restUntil-b.now), Tokens: s.tokens,
			Doubted: b.doubted(s), Away: b.now - s.awayAt, Sure: max(0, s.sureAt-b.now),
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

// Recall takes over what another has learned, as far as it fits: classes by their place,
// servers that are listed and have not started anew since. What makes no sense is left
// out, as the memory may be damaged or another version's. It is for a Balancer that has
// its list and has served nothing yet.
func (b *Balancer) Recall(now time.Duration, m Memory) {
	b.now = max(b.now, now)
	b.okMeter = meter{within(m.OK, 0, maxRate, 0), b.now}
	b.badMeter = meter{within(m.Bad, 0, maxRate, 0), b.now}
	b.sent = meter{within(m.Sent, 0, maxRate, 0), b.now}
	b.local.answers = meter{within(m.Near, 0, maxRate, 0), b.now}
	b.budget = within(m.Budget, 0, retryBurst, b.budget)
	b.fill = within(m.Fill, 0, maxStretch, 0)
	b.crowd = within(m.Crowd, 0, maxStretch, b.crowd)
	b.window, b.level = within(m.Window, 0, maxRate, 0), within(m.Level, 0, maxRate, 0)
	for i, c := range m.Classes {
		if i >= len(b.classes) || !(c.Latency > 0) {
			continue
		}
		is := &b.classes[i]
		longest := float64(cmp.Or(b.set.Classes[i].Aim, time.Hour)) // as learn has it
		is.latency = within(c.Latency, 1, longest, is.latency)
		is.base = within(c.Base, 1, is.latency, is.base)
		is.hint = within(c.Hint, 0, maxNs, is.hint)
		is.answers = min(max(c.Answers, 0), maxRemains)
		is.span, is.votes = max(0, c.Span), min(max(c.Votes, 0), ageVotes*4)
	}
	b.provenBy = 0
	for _, k := range m.Servers {
		s := b.byID[k.ID]
		if s == nil || s.Since != k.Since || s.Condition != Ready {
			continue
		}
		s.stretch = within(k.Stretch, 0.1, maxStretch, 1)
		s.seenAt = b.now - max(0, k.Seen)
		s.run, s.multiplier = min(max(k.Run, 0), maxRemains), min(max(k.Multiplier, 0), maxRemains)
		s.probation = k.Probation
		s.restUntil = b.now + min(max(k.Rest, 0), baseEjection)
		if k.Doubted {
			b.learnDoubts(s)
			s.awayAt, s.sureAt = b.now-max(0, k.Away), 0
			if k.Sure > 0 {
				s.sureAt = b.now + min(k.Sure, listLate)
			}
			b.chill(s)
		}
		if b.warmth(s) < 1 { // what the other has sent it counts
			s.tokens, s.tokensAt = within(k.Tokens, -maxRate, 1, s.tokens), b.now
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

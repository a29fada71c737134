package planner

import (
	"math/rand/v2"
	"time"
)

// ChooserSettings say how a forwarder treats its planners.
type ChooserSettings struct {
	// MinWait and MaxWait bound how long a forwarder waits for an answer; between them it is the
	// usual time of answers and four times their deviation.
	MinWait, MaxWait time.Duration
	// Backoff is how long a planner that failed is not asked at first. It doubles with each failure
	// up to MaxBackoff; each time is lengthened by up to half at random.
	Backoff, MaxBackoff time.Duration
	// RampStart is the share of requests, 0 to 1, for which a planner is asked after a failure. It
	// doubles every RampInterval for as long as answers come in time.
	RampStart    float64
	RampInterval time.Duration
}

// DefaultChooserSettings suit planners in the forwarder's own zone: an answer takes less than a millisecond there,
// and a wait of 20 ms is little beside the latency objectives of requests.
var DefaultChooserSettings = ChooserSettings{
	MinWait: 2 * time.Millisecond, MaxWait: 20 * time.Millisecond,
	Backoff: 250 * time.Millisecond, MaxBackoff: 4 * time.Second,
	RampStart: 0.05, RampInterval: 250 * time.Millisecond,
}

const (
	// maxMissedAnswers is the number of answers missed in a row after which a planner counts as dead.
	// A pause of some milliseconds makes the requests of that moment miss theirs, and is no reason.
	maxMissedAnswers = 4
	// maxLateShare is the share of late answers, 0 to 1, above which a planner is asked for fewer
	// requests: one that is behind gets further behind with every question.
	maxLateShare = 0.1
	// lateGain is the weight of an answer in the share of late ones: some 32 answers back.
	lateGain = 1.0 / 32
	// timeGain is the weight of an answer in the usual time and deviation: some 16 answers back.
	timeGain = 1.0 / 16
	// lateDeviations is how many deviations above the usual time an answer may take before it is late.
	lateDeviations = 4
	// backoffSpread is the most by which a backoff is lengthened at random, as a part of it: all
	// forwarders would come back at once otherwise.
	backoffSpread = 0.5
	// minShare is the least share of requests for which a planner is asked: with none at all nothing
	// would show that it has recovered.
	minShare = 0.01
	// chooserStream is the stream of the random numbers of a seed that a Chooser uses.
	chooserStream = 3
)

// plannerState is what a forwarder knows of one planner.
type plannerState struct {
	usual     float64       // time of answers, ns, smoothed; 0 before the first
	deviation float64       // of answers from usual, ns, smoothed
	lateShare float64       // of answers, 0 to 1, smoothed
	missed    int           // answers in a row
	share     float64       // of requests for which it is asked, 0 to 1
	sharedAt  time.Duration // when share was last changed
	down      bool          // it is not asked until retryAt
	retryAt   time.Duration
	backoff   time.Duration // the next one
}

// Chooser is the rule by which a forwarder chooses a planner, waits for it and gives it up. Its
// inputs are answers, missing answers and lost connections, with the time of each on one clock of
// the forwarder's; its planners are numbered from 0 in the order of preference, those of the
// forwarder's own zone first.
//
// A planner that misses maxMissedAnswers in a row or loses its connection is given up for a backoff,
// and the next ones are asked instead. After the backoff it is asked for RampStart of the requests, and
// for twice as many every RampInterval: all forwarders come back at about the same time, and a planner
// that has just recovered must not get all of their requests at once. A planner that answers late too
// often is asked for half as many requests.
//
// A Chooser is not safe for concurrent use.
type Chooser struct {
	settings ChooserSettings
	random   *rand.Rand
	planners []plannerState
}

// NewChooser returns a Chooser among a number of planners, none of which has answered yet. All begin with
// RampStart of the requests: a forwarder that starts meets planners that others use.
func NewChooser(settings ChooserSettings, planners int, seed uint64) *Chooser {
	c := &Chooser{settings: settings, random: rand.New(rand.NewPCG(seed, chooserStream))}
	c.reset(planners)
	return c
}

// reset replaces all planners by a number of others.
func (c *Chooser) reset(planners int) {
	c.planners = make([]plannerState, planners)
	for n := range c.planners {
		c.planners[n] = plannerState{share: c.settings.RampStart, backoff: c.settings.Backoff}
	}
}

// Choose returns the planner to ask for a request and how long to wait for its answer, or false where
// the forwarder decides by itself. After is the planner already asked in vain for this request, or
// -1: only planners behind it are chosen.
func (c *Chooser) Choose(now time.Duration, after int) (n int, wait time.Duration, ok bool) {
	for n := after + 1; n < len(c.planners); n++ {
		p := &c.planners[n]
		if p.down {
			if now < p.retryAt {
				continue
			}
			p.down, p.share, p.sharedAt = false, c.settings.RampStart, now
		}
		if p.share < 1 && c.random.Float64() >= p.share {
			continue
		}
		return n, c.wait(p), true
	}
	return 0, 0, false
}

// wait is how long to wait for a planner's answer.
func (c *Chooser) wait(p *plannerState) time.Duration {
	if p.usual == 0 {
		return c.settings.MaxWait
	}
	return min(max(time.Duration(p.usual+lateDeviations*p.deviation), c.settings.MinWait), c.settings.MaxWait)
}

// AnswerReceived records an answer that came in time, after took. A planner that was given up
// meanwhile stays so: its backoff is not cut short.
func (c *Chooser) AnswerReceived(now time.Duration, n int, took time.Duration) {
	p := &c.planners[n]
	if p.down {
		return
	}
	p.recordTime(float64(took))
	p.missed = 0
	p.lateShare -= p.lateShare * lateGain
	if p.share < 1 && p.lateShare <= maxLateShare && now-p.sharedAt >= c.settings.RampInterval {
		p.share, p.sharedAt = min(1, 2*p.share), now
		if p.share == 1 {
			p.backoff = c.settings.Backoff // it has recovered
		}
	}
}

// recordTime smooths the time of an answer, in ns.
func (p *plannerState) recordTime(took float64) {
	if p.usual == 0 {
		p.usual, p.deviation = took, took/2
		return
	}
	difference := took - p.usual
	p.usual += difference * timeGain
	p.deviation += (max(difference, -difference) - p.deviation) * timeGain
}

// AnswerMissed records that an answer did not come in time.
func (c *Chooser) AnswerMissed(now time.Duration, n int) {
	p := &c.planners[n]
	if p.down {
		return
	}
	p.missed++
	p.lateShare += (1 - p.lateShare) * lateGain
	if p.missed >= maxMissedAnswers {
		c.giveUp(now, p)
		return
	}
	if p.lateShare > maxLateShare && now-p.sharedAt >= c.settings.RampInterval {
		p.share, p.sharedAt = max(minShare, p.share/2), now
	}
}

// ConnectionLost records that the connection to a planner has ended or could not be made.
func (c *Chooser) ConnectionLost(now time.Duration, n int) {
	if p := &c.planners[n]; !p.down {
		c.giveUp(now, p)
	}
}

// giveUp does not choose a planner for a backoff.
func (c *Chooser) giveUp(now time.Duration, p *plannerState) {
	backoff := time.Duration(float64(p.backoff) * (1 + backoffSpread*c.random.Float64()))
	*p = plannerState{down: true, retryAt: now + backoff, backoff: min(2*p.backoff, c.settings.MaxBackoff)}
}

// Share returns the share of requests, 0 to 1, for which a planner is asked now.
func (c *Chooser) Share(now time.Duration, n int) float64 {
	if p := &c.planners[n]; !p.down || now >= p.retryAt {
		return max(p.share, minShare)
	}
	return 0
}

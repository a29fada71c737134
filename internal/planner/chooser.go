package planner

import (
	"math/rand/v2"
	"time"
)

// ChooserSettings are the settings of a Chooser.
type ChooserSettings struct {
	// MinWait and MaxWait bound how long a forwarder waits for an answer. Between them the timeout is
	// the smoothed answer time plus four times its mean deviation.
	MinWait, MaxWait time.Duration
	// Backoff is the time for which a planner is not asked after its first failure. It doubles with
	// each further failure up to MaxBackoff, and each backoff is extended by up to half at random.
	Backoff, MaxBackoff time.Duration
	// RampStart is the share of requests, 0 to 1, for which a planner is asked after a failure. The
	// share doubles every RampInterval as long as answers arrive in time.
	RampStart    float64
	RampInterval time.Duration
}

// DefaultChooserSettings are settings for planners in the forwarder's own zone, where an answer takes
// less than a millisecond. A wait of 20 ms is short compared with the latency objectives of requests.
var DefaultChooserSettings = ChooserSettings{
	MinWait: 2 * time.Millisecond, MaxWait: 20 * time.Millisecond,
	Backoff: 250 * time.Millisecond, MaxBackoff: 4 * time.Second,
	RampStart: 0.05, RampInterval: 250 * time.Millisecond,
}

const (
	// maxMissedAnswers is the number of consecutive missed answers after which a planner is considered
	// failed. Fewer missed answers are not evidence of a failure: a pause of a few milliseconds makes the
	// requests of that moment miss their answers.
	maxMissedAnswers = 4
	// maxLateShare is the share of late answers, 0 to 1, above which a planner is asked for fewer
	// requests, since each further request would increase the delay of an overloaded planner.
	maxLateShare = 0.1
	// lateGain is the weight of one answer in the smoothed share of late answers. With this weight the
	// share covers about the last 32 answers.
	lateGain = 1.0 / 32
	// timeGain is the weight of one answer in the smoothed answer time and its deviation. With this weight
	// both cover about the last 16 answers.
	timeGain = 1.0 / 16
	// lateDeviations is the number of mean deviations above the smoothed answer time after which an
	// answer is late.
	lateDeviations = 4
	// backoffSpread is the maximum random extension of a backoff, as a fraction of it. Without it all
	// forwarders would return to a planner at the same time.
	backoffSpread = 0.5
	// minShare is the smallest share of requests for which a planner is asked. With a share of 0 the
	// forwarder could not detect that the planner has recovered.
	minShare = 0.01
	// chooserStream is the random stream of a seed that a Chooser uses.
	chooserStream = 3
)

// plannerState is a Chooser's state of one planner.
type plannerState struct {
	smoothedTime   float64       // smoothed answer time in ns; 0 before the first answer
	deviation      float64       // smoothed mean deviation of answer times from smoothedTime, in ns
	lateShare      float64       // smoothed share of late answers, 0 to 1
	missedInRow    int           // number of consecutive missed answers
	share          float64       // share of requests for which the planner is asked, 0 to 1
	shareChangedAt time.Duration // time of the last change of share
	inBackoff      bool          // whether the planner is not asked until retryAt
	retryAt        time.Duration
	nextBackoff    time.Duration // length of the next backoff before its random extension
}

// Chooser chooses the planner that a forwarder asks, how long the forwarder waits for the answer, and
// when a planner is not asked at all. Its inputs are answers, missed answers and lost connections, each
// with its time on the forwarder's clock. Planners are numbered from 0 in the order of preference,
// those of the forwarder's own zone first.
//
// A planner that misses maxMissedAnswers consecutive answers, or whose connection is lost, is in
// backoff, and the next planners are asked instead. After the backoff it is asked for RampStart of the
// requests, and for twice as many every RampInterval: all forwarders return at about the same time, and
// a planner that has just recovered must not get all of their requests at once. A planner that answers
// late too often is asked for half as many requests.
//
// A Chooser is not safe for concurrent use.
type Chooser struct {
	settings ChooserSettings
	random   *rand.Rand
	planners []plannerState
}

// NewChooser returns a Chooser for a number of planners, none of which has answered yet. All planners
// start with RampStart of the requests, since other forwarders already use them.
func NewChooser(settings ChooserSettings, planners int, seed uint64) *Chooser {
	c := &Chooser{settings: settings, random: rand.New(rand.NewPCG(seed, chooserStream))}
	c.reset(planners)
	return c
}

// reset replaces all planners with a number of new ones.
func (c *Chooser) reset(planners int) {
	c.planners = make([]plannerState, planners)
	for n := range c.planners {
		c.planners[n] = plannerState{share: c.settings.RampStart, nextBackoff: c.settings.Backoff}
	}
}

// Choose returns the planner to ask for a request and how long to wait for its answer. It returns false
// if the forwarder should choose a server by itself. After is the planner that was already asked for
// this request without success, or -1; only planners with a higher number are chosen.
func (c *Chooser) Choose(now time.Duration, after int) (n int, wait time.Duration, ok bool) {
	for n := after + 1; n < len(c.planners); n++ {
		p := &c.planners[n]
		if p.inBackoff {
			if now < p.retryAt {
				continue
			}
			p.inBackoff, p.share, p.shareChangedAt = false, c.settings.RampStart, now
		}
		if p.share < 1 && c.random.Float64() >= p.share {
			continue
		}
		return n, c.answerTimeout(p), true
	}
	return 0, 0, false
}

// answerTimeout returns how long to wait for a planner's answer.
func (c *Chooser) answerTimeout(p *plannerState) time.Duration {
	if p.smoothedTime == 0 {
		return c.settings.MaxWait
	}
	return min(max(time.Duration(p.smoothedTime+lateDeviations*p.deviation), c.settings.MinWait), c.settings.MaxWait)
}

// AnswerReceived records an answer that arrived in time; took is the time that it took. An answer does
// not shorten the backoff of a planner.
func (c *Chooser) AnswerReceived(now time.Duration, n int, took time.Duration) {
	p := &c.planners[n]
	if p.inBackoff {
		return
	}
	p.recordTime(float64(took))
	p.missedInRow = 0
	p.lateShare -= p.lateShare * lateGain
	if p.share < 1 && p.lateShare <= maxLateShare && now-p.shareChangedAt >= c.settings.RampInterval {
		p.share, p.shareChangedAt = min(1, 2*p.share), now
		if p.share == 1 {
			p.nextBackoff = c.settings.Backoff // the planner has recovered
		}
	}
}

// recordTime adds the time of an answer, in ns, to the smoothed answer time and its deviation.
func (p *plannerState) recordTime(took float64) {
	if p.smoothedTime == 0 {
		p.smoothedTime, p.deviation = took, took/2
		return
	}
	difference := took - p.smoothedTime
	p.smoothedTime += difference * timeGain
	p.deviation += (max(difference, -difference) - p.deviation) * timeGain
}

// AnswerMissed records that an answer did not arrive in time.
func (c *Chooser) AnswerMissed(now time.Duration, n int) {
	p := &c.planners[n]
	if p.inBackoff {
		return
	}
	p.missedInRow++
	p.lateShare += (1 - p.lateShare) * lateGain
	if p.missedInRow >= maxMissedAnswers {
		c.startBackoff(now, p)
		return
	}
	if p.lateShare > maxLateShare && now-p.shareChangedAt >= c.settings.RampInterval {
		p.share, p.shareChangedAt = max(minShare, p.share/2), now
	}
}

// ConnectionLost records that the connection to a planner was lost or could not be established.
func (c *Chooser) ConnectionLost(now time.Duration, n int) {
	if p := &c.planners[n]; !p.inBackoff {
		c.startBackoff(now, p)
	}
}

// startBackoff excludes a planner from Choose for a backoff.
func (c *Chooser) startBackoff(now time.Duration, p *plannerState) {
	backoff := time.Duration(float64(p.nextBackoff) * (1 + backoffSpread*c.random.Float64()))
	*p = plannerState{inBackoff: true, retryAt: now + backoff, nextBackoff: min(2*p.nextBackoff, c.settings.MaxBackoff)}
}

// Share returns the share of requests, 0 to 1, for which a planner is asked now; 0 during its backoff.
func (c *Chooser) Share(now time.Duration, n int) float64 {
	if p := &c.planners[n]; !p.inBackoff || now >= p.retryAt {
		return max(p.share, minShare)
	}
	return 0
}

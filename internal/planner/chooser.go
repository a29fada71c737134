// Package planner decides which planner a forwarder asks where a request should go,
// how long it waits for the answer, and when it decides by itself. It is pure: the
// caller brings the time and what happened.
package planner

import (
	"math/rand/v2"
	"time"
)

// Settings are how a forwarder deals with its planners.
type Settings struct {
	// Least and Most bound how long an answer is waited for; between them it is
	// the usual time and four times its spread.
	Least, Most time.Duration
	// Rest is how long a planner that failed is left alone at first. It doubles
	// with each failure up to RestMost, and is spread by half.
	Rest, RestMost time.Duration
	// Step is the part of the requests that a planner is asked for when it comes
	// back; it doubles every StepEvery, as long as answers come in time.
	Step      float64
	StepEvery time.Duration
}

// Defaults suit planners at the forwarder's own site.
var Defaults = Settings{
	Least: 2 * time.Millisecond, Most: 20 * time.Millisecond,
	Rest: 250 * time.Millisecond, RestMost: 4 * time.Second,
	Step: 0.05, StepEvery: 250 * time.Millisecond,
}

// Tuning of what counts as silent and slow.
const (
	// silentAfter answers missed in a row a planner is taken for dead: fewer are
	// what a pause of some ms does to the requests of that moment.
	silentAfter = 4
	// Where more than slowShare of the answers are late, fewer are asked for: a
	// planner that is behind gets further behind with every question.
	slowShare = 0.1
	lateGain  = 1.0 / 32
	timeGain  = 1.0 / 16
	leastPart = 0.01
)

// planner is what a forwarder knows of one planner.
type planner struct {
	usual, spread float64 // of its answers, ns; 0 before the first
	late          float64 // share of answers that came late, smoothed
	missed        int     // in a row
	part          float64 // of requests that it is asked for
	raised        time.Duration
	down          bool
	until         time.Duration // while down
	rest          time.Duration // the next one
}

// Chooser chooses for one forwarder. The planners are in the order of preference:
// the site's own first.
type Chooser struct {
	set      Settings
	rng      *rand.Rand
	planners []planner
}

// New makes a chooser among so many planners, none of which has been heard yet.
// They are asked in steps from the start: a forwarder that starts meets planners
// that others use.
func New(set Settings, planners int, seed uint64) *Chooser {
	c := &Chooser{set: set, rng: rand.New(rand.NewPCG(seed, 3))}
	c.move(planners)
	return c
}

// move forgets all planners for others.
func (c *Chooser) move(planners int) {
	c.planners = make([]planner, planners)
	for i := range c.planners {
		c.planners[i] = planner{part: c.set.Step, rest: c.set.Rest}
	}
}

// Ask names the planner to ask for a request and how long to wait, or says that
// the forwarder decides alone. After is the planner already asked in vain for this
// request, or -1: only those behind it are asked then.
func (c *Chooser) Ask(now time.Duration, after int) (n int, wait time.Duration, ok bool) {
	for i := after + 1; i < len(c.planners); i++ {
		p := &c.planners[i]
		if p.down {
			if now < p.until {
				continue
			}
			p.down, p.part, p.raised = false, c.set.Step, now
		}
		if p.part < 1 && c.rng.Float64() >= p.part {
			continue
		}
		return i, c.wait(p), true
	}
	return 0, 0, false
}

func (c *Chooser) wait(p *planner) time.Duration {
	if p.usual == 0 {
		return c.set.Most
	}
	return min(max(time.Duration(p.usual+4*p.spread), c.set.Least), c.set.Most)
}

// Answered takes an answer that came in time.
func (c *Chooser) Answered(now time.Duration, n int, took time.Duration) {
	p := &c.planners[n]
	if p.down {
		return // it was given up meanwhile; its rest is not cut short
	}
	if x := float64(took); p.usual == 0 {
		p.usual, p.spread = x, x/2
	} else {
		d := x - p.usual
		p.usual += d * timeGain
		p.spread += (max(d, -d) - p.spread) * timeGain
	}
	p.missed = 0
	p.late -= p.late * lateGain
	if p.part < 1 && p.late <= slowShare && now-p.raised >= c.set.StepEvery {
		p.part, p.raised = min(1, 2*p.part), now
		if p.part == 1 {
			p.rest = c.set.Rest // it has proved itself
		}
	}
}

// Late says that a planner's answer did not come in time.
func (c *Chooser) Late(now time.Duration, n int) {
	p := &c.planners[n]
	if p.down {
		return
	}
	p.missed++
	p.late += (1 - p.late) * lateGain
	if p.missed >= silentAfter {
		c.giveUp(now, p)
		return
	}
	if p.late > slowShare && now-p.raised >= c.set.StepEvery {
		p.part, p.raised = max(leastPart, p.part/2), now
	}
}

// Broke says that the connection to a planner has ended or cannot be made.
func (c *Chooser) Broke(now time.Duration, n int) {
	if p := &c.planners[n]; !p.down {
		c.giveUp(now, p)
	}
}

func (c *Chooser) giveUp(now time.Duration, p *planner) {
	// Spread, or all forwarders come back at once.
	rest := time.Duration(float64(p.rest) * (1 + 0.5*c.rng.Float64()))
	*p = planner{down: true, until: now + rest, rest: min(2*p.rest, c.set.RestMost)}
}

// Part is the part of the requests that a planner is asked for now.
func (c *Chooser) Part(now time.Duration, n int) float64 {
	if p := &c.planners[n]; !p.down || now >= p.until {
		return max(p.part, leastPart)
	}
	return 0
}

package core

import "time"

// event is what a pool's lock is taken for.
type event uint8

// The events of a pool.
const (
	eventArrival event = iota
	eventGuide
	eventBegin
	eventWritten
	eventOutcome
	eventClient
	eventTimer
	eventList
	eventStaff
	eventState
	events
)

var eventNames = [events]string{
	"arrival", "guide", "begin", "written", "outcome", "client", "timer", "list", "staff", "state",
}

func (e event) String() string {
	if e < events {
		return eventNames[e]
	}
	return "unknown"
}

// holdLogged is the shortest hold, or lateness of a timer, that is worth a line in the log.
const holdLogged = 10 * time.Millisecond

// Delays are the longest times for which a pool has kept its requests waiting.
type Delays struct {
	Hold  time.Duration // of the pool's lock, by one event
	For   string        // what it was held for
	Timer time.Duration // by which a timer ran late: how long the process had no turn
	Named int           // the most servers that one event of a list has named
}

// Delays tells the longest delays so far.
func (p *Pool) Delays() Delays {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delays
}

// held takes note of how long an event has held the lock. Called under it.
func (p *Pool) held(e event, span time.Duration) {
	if span <= p.delays.Hold {
		return
	}
	was := p.delays.Hold
	p.delays.Hold, p.delays.For = span, e.String()
	if span >= holdLogged && span >= 2*was { // each line doubles, so that they are few
		p.later(func() { p.set.Log.Info("the pool's lock was held for long", "for", e.String(), "held", span) })
	}
}

// late takes note of how late a timer has run. Called under the lock.
func (p *Pool) late(by time.Duration) {
	if by <= p.delays.Timer {
		return
	}
	was := p.delays.Timer
	p.delays.Timer = by
	if by >= holdLogged && by >= 2*was {
		p.later(func() { p.set.Log.Info("a timer ran late", "by", by) })
	}
}

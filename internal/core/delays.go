package core

import "time"

// event is what a pool's lock is taken for.
type event uint8

// The events of a pool.
const (
	eventArrival   event = iota // a request has arrived
	eventPlacement              // the Placer has answered
	eventBegin                  // an attempt has its connection
	eventWritten                // a streamed request's last byte is written
	eventOutcome                // an attempt has ended
	eventClient                 // a client has disconnected
	eventTimer                  // a timer of the Balancer
	eventEndpoints              // a batch of an endpoint list
	eventOperator               // a server is excluded or included by hand
	eventState                  // the pool itself: start, snapshot, drain, end
	eventCount
)

var eventNames = [eventCount]string{
	eventArrival:   "arrival",
	eventPlacement: "placement",
	eventBegin:     "begin",
	eventWritten:   "written",
	eventOutcome:   "outcome",
	eventClient:    "client",
	eventTimer:     "timer",
	eventEndpoints: "endpoints",
	eventOperator:  "operator",
	eventState:     "state",
}

func (e event) String() string {
	if e < eventCount {
		return eventNames[e]
	}
	return "unknown"
}

// delayLogThreshold is the shortest lock hold, or delay of a timer, that is logged: shorter ones are
// usual on a busy machine, and no client notices them. metrics.minDelayWritten is the same.
const delayLogThreshold = 10 * time.Millisecond

// delayLogGrowth is by how much a delay must exceed the longest before it to be logged again, so that
// the lines are few.
const delayLogGrowth = 2

// Delays are the longest times for which a pool has kept its requests waiting.
type Delays struct {
	LockHold      time.Duration // of the pool's lock, by one event
	LockHoldEvent string        // the event that it was held for
	TimerDelay    time.Duration // by which a timer ran late: how long the process had no turn
	LargestBatch  int           // the most servers that one event of an endpoint list has named
}

// Delays gives the longest delays so far.
func (p *Pool) Delays() Delays {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delays
}

// noteLockHold notes how long an event has held the lock. Called under it.
func (p *Pool) noteLockHold(kind event, duration time.Duration) {
	longest := p.delays.LockHold
	if duration <= longest {
		return
	}
	p.delays.LockHold, p.delays.LockHoldEvent = duration, kind.String()
	if duration >= delayLogThreshold && duration >= delayLogGrowth*longest {
		p.afterUnlock(func() {
			p.settings.Log.Info("pool lock held for long", "event", kind.String(), "duration", duration)
		})
	}
}

// noteTimerDelay notes how late a timer has run. Called under the lock.
func (p *Pool) noteTimerDelay(delay time.Duration) {
	longest := p.delays.TimerDelay
	if delay <= longest {
		return
	}
	p.delays.TimerDelay = delay
	if delay >= delayLogThreshold && delay >= delayLogGrowth*longest {
		p.afterUnlock(func() { p.settings.Log.Info("timer ran late", "duration", delay) })
	}
}

package core

import "time"

// event is a kind of event. Pool.handle handles each event with Pool.mu held.
type event uint8

// The events of a pool.
const (
	eventArrival   event = iota // a request has arrived
	eventPlacement              // the Placer has chosen a server
	eventBegin                  // an attempt has its connection
	eventWritten                // a streamed request's last byte is written
	eventOutcome                // an attempt has ended
	eventClient                 // a client has disconnected
	eventTimer                  // a timer of the Balancer has fired
	eventEndpoints              // a batch of an endpoint list is applied
	eventOperator               // an operator excludes or includes a server
	eventState                  // the pool itself starts, takes a snapshot, drains or ends
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

// delayLogThreshold is the shortest lock hold, or timer delay, that is logged: shorter ones are usual on a
// busy machine, and no client notices them. metrics.minDelayWritten has the same value.
const delayLogThreshold = 10 * time.Millisecond

// delayLogGrowth is the factor by which a delay must exceed the longest previous one to be logged. It bounds
// the number of log lines.
const delayLogGrowth = 2

// Delays are the longest delays that a pool has caused to its requests.
type Delays struct {
	LockHold      time.Duration // longest time for which one event held the pool's lock
	LockHoldEvent string        // name of the event that held the lock for LockHold
	TimerDelay    time.Duration // longest delay of a timer because the process was not scheduled
	LargestBatch  int           // largest number of servers of an endpoint list that one event has applied
}

// Delays returns the longest delays so far.
func (p *Pool) Delays() Delays {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delays
}

// noteLockHold records how long an event has held Pool.mu. It is called with Pool.mu held.
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

// noteTimerDelay records how late a timer has run. It is called with Pool.mu held.
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

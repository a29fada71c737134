package fleetsim

import (
	"time"

	"jasperpin/internal/slowstart"
)

// Result is what clients saw.
type Result struct {
	Asked, Missed, Rejected, Failed      int
	Attempts, Crossed                    int // crossed between sites
	Planned, Alone                       int // first attempts by a plan, and by a forwarder's own choice
	Twice                                int // unsafe requests that ran twice
	Open                                 int // requests or attempts that never ended
	PriorityWeight, PriorityWeightMissed float64
	SlowStartUse, WarmUse                float64          // the part of their cores' time that servers worked, while cold and otherwise
	MaxSlowStartLoad                     float64          // the most sent to a cold server in a second, in what it could do then
	BackMost                             float64          // likewise to one of a lost site from its first moment on
	Overloaded                           int              // of these, how many were sent more than fallMultiple
	SlowStartCalls, SlowStartWork        slowstart.Totals // the starts of servers held to their budgets, by calls and by their work
	Unmet                                int              // of those missed, how many found no node of their site up
	AfterGrace                           int              // sends to servers that drain, when the node had been told for drainGrace
	Calls, CallsFailed, Lines            int              // of discovery: first calls of watches, those that it failed, lines in its answers
	Connects                             int              // connections opened, at the least
	Latencies                            []time.Duration  // of answers, sorted
}

// MissedShare is the part of requests without an answer within their aim.
func (r *Result) MissedShare() float64 { return float64(r.Missed) / float64(max(r.Asked, 1)) }

// Quantile is a quantile of the latencies of answers.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(int(q*float64(len(r.Latencies))), len(r.Latencies)-1)]
}

package fleetsim

import (
	"time"

	"jasperpin/internal/slowstart"
)

// Result is the outcome of a run: its requests as clients saw them, the load of cold servers, and the calls to
// discovery.
type Result struct {
	Requests, Missed, Rejected, Failed   int
	Attempts, CrossZone                  int // attempts; CrossZone counts those sent to a server in another zone
	Planned, Unplanned                   int // first attempts to a planned server, and to one that the forwarder chose alone
	RanTwice                             int // requests that are not idempotent and ran twice
	Unended                              int // requests or attempts that never ended
	PriorityWeight, PriorityWeightMissed float64
	SlowStartUse, WarmUse                float64          // share of the cores' time that servers were busy, in slow start and otherwise
	MaxSlowStartLoad                     float64          // maximum load that a cold server was sent within a second, as a multiple of its capacity at that time
	MaxReturnLoad                        float64          // like MaxSlowStartLoad, for a server of a lost zone, from its return on
	Overloaded                           int              // servers of a lost zone that were sent more than overloadMultiple times their capacity
	SlowStartCalls, SlowStartWork        slowstart.Totals // starts of servers checked against their slow-start budgets, by requests and by their work
	NoNode                               int              // missed requests (part of Missed) that found no running node in their zone
	AfterGrace                           int              // attempts sent to a draining server later than drainGrace after its node was notified
	Calls, CallsFailed, Lines            int              // first calls of watches to discovery, calls that discovery failed, and lines in its answers
	Connections                          int              // lower bound of the number of connections opened
	Latencies                            []time.Duration  // latencies of answered requests, sorted
}

// MissedShare returns the share of requests that were not answered within their latency objective.
func (r *Result) MissedShare() float64 { return float64(r.Missed) / float64(max(r.Requests, 1)) }

// Quantile returns a quantile of the latencies of answered requests.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(int(q*float64(len(r.Latencies))), len(r.Latencies)-1)]
}

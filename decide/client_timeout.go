package decide

import "time"

const (
	// clientTimeoutTolerance is by how much clocks and the network may shift what a client has left.
	clientTimeoutTolerance = 25 * time.Millisecond
	// A class's client timeout is believed from clientTimeoutTrusted votes on, and collects
	// maxClientTimeoutVotes at most.
	clientTimeoutTrusted  = 16
	maxClientTimeoutVotes = clientTimeoutTrusted * 4
	// clientTimeoutMatch is what a request that shows the timeout adds in votes, where any other takes
	// one: in a retry storm three of four requests may show less.
	clientTimeoutMatch = 4
)

// requestAge returns how long ago the client first sent a request, as far as its remaining time shows; 0
// where it is not known.
//
// A client gives a new request its usual timeout, and a retry only what is left of its deadline over all
// retries. So a request whose remaining time is not the class's usual timeout, which is learned here by a
// weighted majority vote (Boyer-Moore), is a retry and as old as the deadline is longer than its remaining
// time. Without it, retries under overload count as new and are answered after their client's objective.
//
// It returns 0 while no load is shed, since then retries need no care, and until a usual timeout is known.
func (b *Balancer) requestAge(r *request) time.Duration {
	c := &b.classes[r.Class]
	left := r.Deadline - b.now
	difference := left - c.clientTimeout
	switch {
	case max(difference, -difference) <= clientTimeoutTolerance:
		c.clientTimeoutVotes = min(c.clientTimeoutVotes+clientTimeoutMatch, maxClientTimeoutVotes)
	case c.clientTimeoutVotes <= 0:
		c.clientTimeout, c.clientTimeoutVotes = left, 1
	default:
		c.clientTimeoutVotes--
		if c.clientTimeoutVotes >= clientTimeoutTrusted && b.concurrencyLimit > 0 {
			return max(0, b.settings.Classes[r.Class].Deadline-left)
		}
	}
	return 0
}

// setObjective sets until when an answer to a request of some age is wanted: until its class's latency
// objective after the client first sent it, and its deadline at the latest.
//
// Classes without an objective, and those with a value for late answers, are wanted until their deadline.
// Where less time is left than an answer takes on average the objective is now: no attempt is sent.
func (b *Balancer) setObjective(r *request, age time.Duration) {
	class := &b.settings.Classes[r.Class]
	r.objectiveAt = r.Deadline
	if class.LatePriorityWeight != 0 || class.LatencyObjective <= 0 {
		return
	}
	forWork := time.Duration(class.ObjectiveWorkFactor * float64(r.WorkHint))
	r.objectiveAt = min(r.Deadline, b.now-age+class.LatencyObjective+forWork)
	if r.objectiveAt < r.Deadline && float64(r.objectiveAt-b.now) < b.classes[r.Class].meanLatency {
		r.objectiveAt = b.now
	}
}

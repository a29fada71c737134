package decide

import "time"

const (
	// clientTimeoutTolerance is how much clocks and the network may change the remaining time of a request.
	clientTimeoutTolerance = 25 * time.Millisecond
	// A class's client timeout is trusted from trustedClientTimeoutVotes votes on. The class collects at most
	// maxClientTimeoutVotes votes.
	trustedClientTimeoutVotes = 16
	maxClientTimeoutVotes     = trustedClientTimeoutVotes * 4
	// clientTimeoutMatchVotes is the number of votes that a matching request adds; any other request removes
	// one. In a retry storm, three of four requests may have less remaining time.
	clientTimeoutMatchVotes = 4
)

// requestAge returns how long ago the client first sent a request, as far as the request's remaining time
// shows, or 0 if the age is unknown.
//
// A client gives a new request its usual timeout, and a retry only the time that remains until its
// overall deadline. requestAge learns the usual timeout of each class by a weighted majority vote
// (Boyer-Moore). A request with another remaining time is a retry, and its age is the class's deadline
// minus that remaining time. Without the age, retries under overload would count as new and be answered
// after their client's objective.
//
// requestAge returns 0 until the usual timeout is known, and while no load is shed, because retries need
// no special treatment then.
func (b *Balancer) requestAge(r *request) time.Duration {
	c := &b.classes[r.Class]
	remaining := r.Deadline - b.now
	difference := remaining - c.clientTimeout
	switch {
	case max(difference, -difference) <= clientTimeoutTolerance:
		c.clientTimeoutVotes = min(c.clientTimeoutVotes+clientTimeoutMatchVotes, maxClientTimeoutVotes)
	case c.clientTimeoutVotes <= 0:
		c.clientTimeout, c.clientTimeoutVotes = remaining, 1
	default:
		c.clientTimeoutVotes--
		if c.clientTimeoutVotes >= trustedClientTimeoutVotes && b.concurrencyLimit > 0 {
			return max(0, b.settings.Classes[r.Class].Deadline-remaining)
		}
	}
	return 0
}

// setObjective sets the time until which an answer to a request is useful: the class's latency objective,
// counted from when the client first sent the request (age ago), but at most the deadline.
//
// If the class has no objective, or gives late answers a value, that time is the deadline. If less time remains
// until the objective than an answer takes on average, the objective is set to now and no attempt is sent.
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

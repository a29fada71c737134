package decide

import (
	"cmp"
	"time"
)

// recordOutcome updates the state of the server, the class and the fleet's load with an attempt's outcome.
func (b *Balancer) recordOutcome(r *request, ended *attempt, o Outcome) {
	srv := ended.server
	took := b.now - ended.sentAt
	result := o.Result
	b.applyZoneSuspicion(srv)
	if result == OK || result == Failed || result == Overloaded {
		b.recordResponse(srv)
	}
	if r.lostToHedge(ended, result, took) {
		result = TimedOut
	}
	if result == OK && srv.Zone == b.settings.Zone {
		b.local.answerRate.add(b.now, 1)
		b.connectTimeouts = 0
	}
	// respondedSince is true if the server has responded to any request since this attempt was sent.
	respondedSince := srv.lastResponseAt > ended.sentAt
	switch result {
	case OK, TimedOut:
		b.recordLatency(r, ended, float64(took), result == TimedOut)
		// A first timeout counts as load even if its server has answered no other request: one node of
		// many seldom gets another answer in that time, and would not notice overload.
		b.observePressure(r, result, took, respondedSince || srv.consecutiveFailures == 0)
	case Overloaded:
		b.avoidOverloaded(r, srv)
	case ConnectFailed:
		b.recordConnectFailure(srv, took)
	}
	if countsForOutlierDetection(result) && !b.timeoutIsOverload(result, respondedSince) {
		b.recordCall(srv, result != OK)
	}
}

// recordResponse records that a server responded and was therefore reachable. A suspected restart is
// resolved once the endpoint list has had time to announce it.
func (b *Balancer) recordResponse(s *server) {
	s.suspicionEndsAt = cmp.Or(s.suspicionEndsAt, b.now+maxListDelay)
	s.lastResponseAt = b.now
}

// avoidOverloaded skips a server that declined an attempt, for the mean latency of a request: without
// attempts in flight the server would look idle. One server at capacity is no sign of overload of the
// fleet; a request that no server ran is, see advance.
func (b *Balancer) avoidOverloaded(r *request, s *server) {
	s.overloadedUntil = b.now + time.Duration(b.classes[r.Class].meanLatency)
}

// countsForOutlierDetection reports whether a result is a success or a failure of a call in the sense of gRFC
// A50. A full queue is caused by load, and cancelled or abandoned attempts are no evidence about their server.
func countsForOutlierDetection(result Result) bool {
	switch result {
	case OK, Failed, TimedOut, ConnectFailed, ConnectionReset:
		return true
	default:
		return false
	}
}

// timeoutIsOverload reports whether a timeout is caused by load rather than by its server: the server answers
// other requests, and answers are slow. The server's latency ratio accounts for such a timeout.
func (b *Balancer) timeoutIsOverload(result Result, respondedSince bool) bool {
	return result == TimedOut && respondedSince && !b.answersQuickly()
}

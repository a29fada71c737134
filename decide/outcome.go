package decide

import (
	"cmp"
	"time"
)

// recordOutcome takes what an attempt's outcome says of its server, its class and the fleet's load.
func (b *Balancer) recordOutcome(r *request, a *attempt, o Outcome) {
	s := a.server
	took := b.now - a.sentAt
	result := o.Result
	b.applyZoneSuspicion(s)
	if result == OK || result == Failed || result == Overloaded {
		b.recordResponse(s)
	}
	if r.lostToHedge(a, result, took) {
		result = TimedOut
	}
	if result == OK && s.Zone == b.settings.Zone {
		b.local.answerRate.add(b.now, 1)
		b.silentConnects = 0
	}
	// The server has responded to some request since this attempt was sent.
	answersOthers := s.lastResponseAt > a.sentAt
	switch result {
	case OK, TimedOut:
		b.recordLatency(r, a, float64(took), result == TimedOut)
		// A first timeout counts as load even without another answer from its server: one node among
		// many seldom gets one, and would not notice overload.
		b.observePressure(r, result, took, answersOthers || s.consecutiveFailures == 0)
	case Overloaded:
		b.avoidOverloaded(r, s)
	case ConnectFailed:
		b.recordConnectFailure(s, took)
	}
	if countsForOutlierDetection(result) && !b.timeoutIsLoad(result, answersOthers) {
		b.recordCall(s, result != OK)
	}
}

// recordResponse notes that a server responded, so that its connection was up: what it was suspected of is
// settled once the endpoint list has had time to announce a restart.
func (b *Balancer) recordResponse(s *server) {
	s.suspicionEndsAt = cmp.Or(s.suspicionEndsAt, b.now+maxListDelay)
	s.lastResponseAt = b.now
}

// avoidOverloaded passes over a server that declined for as long as one request takes: with none in flight
// it would look idle. That one server is full says nothing of the fleet; that no attempt of a request may
// have run does, see advance.
func (b *Balancer) avoidOverloaded(r *request, s *server) {
	s.overloadedUntil = b.now + time.Duration(b.classes[r.Class].meanLatency)
}

// countsForOutlierDetection reports whether a result is a call's success or failure by gRFC A50. A full
// queue is the load's fault, and cancelled or abandoned attempts say nothing of their server.
func countsForOutlierDetection(result Result) bool {
	switch result {
	case OK, Failed, TimedOut, ConnectFailed, ConnectionReset:
		return true
	default:
		return false
	}
}

// timeoutIsLoad reports whether a timeout is load and not its server's fault: the server answers others,
// and answers come slowly. It shows in the server's latency ratio.
func (b *Balancer) timeoutIsLoad(result Result, answersOthers bool) bool {
	return result == TimedOut && answersOthers && !b.answersQuickly()
}

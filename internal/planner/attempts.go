package planner

import (
	"time"

	"jasperpin/decide"
)

// addAttempt adds an attempt to those in flight and passes it to the balancer. Reported is the server
// to which the forwarder has sent the attempt, or 0 if the balancer is to choose the server; in that
// case the forwarder gets an answer.
func (p *Planner) addAttempt(f *forwarderState, from ConnectionID, key attemptKey, m Message, reported decide.ServerID) {
	if m.Class < 0 || m.Class >= len(p.settings.Classes) {
		if reported == 0 {
			p.decline(from, m.ID)
		}
		return
	}
	newAttempt := &attempt{key: key, id: p.unusedID(), forwarder: f, from: from, server: reported}
	f.inFlight[key], p.attempts[newAttempt.id] = newAttempt, newAttempt
	p.placing = newAttempt
	p.balancer.Arrive(p.now, decide.Request{
		ID: newAttempt.id, Class: m.Class, Key: m.Key, WorkHint: m.WorkHint, Deadline: p.now + m.Remaining, ClientRetry: m.ClientRetry,
		PlannedServer: reported,
	})
	p.placing = nil
	if reported == 0 {
		p.finishPlacement(newAttempt)
		return
	}
	switch {
	case !newAttempt.placed:
		p.removeAttempt(newAttempt) // the planner does not know the server, or the server is not in use
	case newAttempt.server != reported:
		p.endAttempt(newAttempt, decide.Abandoned) // the planner cannot use the reported server, and the balancer chose another one
	}
}

// finishPlacement declines a request for which the balancer chose no server, or one in another zone.
func (p *Planner) finishPlacement(a *attempt) {
	switch {
	case a.otherZone:
		p.endAttempt(a, decide.Abandoned)
		p.decline(a.from, a.key.id)
	case !a.placed: // no capacity; the forwarder knows more servers
		p.removeAttempt(a)
		p.decline(a.from, a.key.id)
	}
}

// unusedID returns a request ID for the balancer that no attempt in flight has.
func (p *Planner) unusedID() decide.RequestID {
	p.nextID++
	for p.attempts[p.nextID] != nil {
		p.nextID++
	}
	return p.nextID
}

// endAttempt removes an attempt from those in flight and reports its result to the balancer as that of a
// request's final attempt. If all servers are at capacity, the balancer finds no server for a further
// attempt and ends the request.
func (p *Planner) endAttempt(a *attempt, result decide.Result) {
	p.removeAttempt(a)
	p.balancer.AttemptFinished(p.now, decide.Outcome{ID: a.id, Result: result, Final: true})
}

// removeAttempt removes an attempt from those in flight without a report to the balancer.
func (p *Planner) removeAttempt(a *attempt) {
	delete(a.forwarder.inFlight, a.key)
	delete(p.attempts, a.id)
	p.removeIfIdle(a.from, a.forwarder)
}

// balancerEffects implements decide.Effects for a Planner's balancer.
type balancerEffects struct{ *Planner }

// Send records the server that the balancer chose for the attempt being placed, and sends it to the
// forwarder unless it is in another zone. Other calls have no effect, since each request of the
// balancer has only one attempt.
func (p balancerEffects) Send(_ decide.RequestID, to decide.ServerID, _ time.Duration) {
	a := p.placing
	if a == nil {
		return
	}
	a.placed = true
	if a.server == 0 { // the forwarder waits for an answer
		a.otherZone = p.zones.isInOtherZone(to)
		if !a.otherZone {
			p.effects.Send(a.from, Message{Kind: KindPlacement, ID: a.key.id, Server: to})
		}
	}
	a.server = to
}

// Cancel does nothing, since forwarders cancel their own attempts.
func (balancerEffects) Cancel(decide.RequestID, int) {}

// Reject ends a request of the balancer that has no server or whose deadline has passed.
func (p balancerEffects) Reject(id decide.RequestID, _ time.Duration) { p.expire(id) }

// Fail ends a request of the balancer whose deadline has passed.
func (p balancerEffects) Fail(id decide.RequestID) { p.expire(id) }

// expire sets the time until which an attempt counts as in flight after its client's deadline: the
// forwarder reports its end soon, or never.
func (p balancerEffects) expire(id decide.RequestID) {
	if a := p.attempts[id]; a != nil && a != p.placing {
		p.expiries = append(p.expiries, expiry{p.now + expiryDelay, id})
	}
}

// SetTimer sets a timer of the current balancer.
func (p balancerEffects) SetTimer(token uint64, at time.Duration) {
	p.effects.SetTimer(Timer{p.epoch, token}, at)
}

// WatchEndpoints forwards the balancer's request to watch endpoints.
func (p balancerEffects) WatchEndpoints(on bool) { p.effects.WatchEndpoints(on) }

// Log forwards a log line of the balancer.
func (p balancerEffects) Log(text string) { p.effects.Log(text) }

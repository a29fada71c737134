package planner

import (
	"time"

	"jasperpin/decide"
)

// addAttempt counts an attempt in and hands it to the balancer: one that is at a server already, or
// with 0 one for which the balancer is to choose. In the second case the forwarder gets an answer.
func (p *Planner) addAttempt(f *forwarderState, from ConnectionID, key attemptKey, m Message, reported decide.ServerID) {
	if m.Class < 0 || m.Class >= len(p.settings.Classes) {
		if reported == 0 {
			p.decline(from, m.ID)
		}
		return
	}
	a := &attempt{key: key, id: p.unusedID(), forwarder: f, from: from, server: reported}
	f.inFlight[key], p.attempts[a.id] = a, a
	p.placing = a
	p.balancer.Arrive(p.now, decide.Request{
		ID: a.id, Class: m.Class, Key: m.Key, WorkHint: m.WorkHint, Deadline: p.now + m.TimeLeft, ClientRetry: m.ClientRetry,
		PlannedServer: reported,
	})
	p.placing = nil
	if reported == 0 {
		p.finishPlacement(a)
		return
	}
	switch {
	case !a.placed:
		p.forget(a) // the server is not known here, or not in use
	case a.server != reported:
		p.endAttempt(a, decide.Abandoned) // as above, and the balancer chose another
	}
}

// finishPlacement declines a request that has no server in this planner's zone.
func (p *Planner) finishPlacement(a *attempt) {
	switch {
	case a.otherZone:
		p.endAttempt(a, decide.Abandoned)
		p.decline(a.from, a.key.id)
	case !a.placed: // no capacity: the forwarder knows more servers
		p.forget(a)
		p.decline(a.from, a.key.id)
	}
}

// unusedID returns an ID for an attempt at the balancer.
func (p *Planner) unusedID() decide.RequestID {
	p.nextID++
	for p.attempts[p.nextID] != nil {
		p.nextID++
	}
	return p.nextID
}

// endAttempt counts an attempt out, and ends what the balancer takes for its request. If all servers
// are full the balancer finds none for a next attempt, and gives that up.
func (p *Planner) endAttempt(a *attempt, result decide.Result) {
	p.forget(a)
	p.balancer.AttemptFinished(p.now, decide.Outcome{ID: a.id, Result: result, Final: true})
}

func (p *Planner) forget(a *attempt) {
	delete(a.forwarder.inFlight, a.key)
	delete(p.attempts, a.id)
	p.forgetIfIdle(a.from, a.forwarder)
}

// balancerEffects is the decide.Effects of a Planner.
type balancerEffects struct{ *Planner }

// Send takes the balancer's choice for the attempt being placed, and answers its forwarder unless
// the server is in another zone. At other times nothing is sent: a request has one attempt.
func (p balancerEffects) Send(_ decide.RequestID, to decide.ServerID, _ time.Duration) {
	a := p.placing
	if a == nil {
		return
	}
	a.placed = true
	if a.server == 0 { // the forwarder asked
		a.otherZone = p.zones.isElsewhere(to)
		if !a.otherZone {
			p.effects.Send(a.from, Message{Kind: KindPlacement, ID: a.key.id, Server: to})
		}
	}
	a.server = to
}

// Cancel does nothing: attempts are the forwarders'.
func (balancerEffects) Cancel(decide.RequestID, int) {}

// Reject ends a request of the balancer's that has no server or whose client has given up.
func (p balancerEffects) Reject(id decide.RequestID, _ time.Duration) { p.expire(id) }

// Fail ends a request of the balancer's whose client has given up.
func (p balancerEffects) Fail(id decide.RequestID) { p.expire(id) }

// expire sets the time until which the attempt of a client that has given up counts: its end is
// reported soon, or never.
func (p balancerEffects) expire(id decide.RequestID) {
	if a := p.attempts[id]; a != nil && a != p.placing {
		p.expiries = append(p.expiries, expiry{p.now + expiryDelay, id})
	}
}

// SetTimer sets a timer of the balancer in force.
func (p balancerEffects) SetTimer(token uint64, at time.Duration) {
	p.effects.SetTimer(Timer{p.epoch, token}, at)
}

// WatchEndpoints passes the balancer's wish on.
func (p balancerEffects) WatchEndpoints(on bool) { p.effects.WatchEndpoints(on) }

// Log passes the balancer's line on.
func (p balancerEffects) Log(text string) { p.effects.Log(text) }

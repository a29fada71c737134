package decide

import (
	"math/rand"
	"testing"
	"time"
)

// model drives a Balancer through random legal events. It checks the rules with its own record of
// requests, attempts and the endpoint list.
type model struct {
	t        *testing.T
	rng      *rand.Rand
	settings Settings
	now      time.Duration
	b        *Balancer
	effects  *effectLog
	requests map[RequestID]*modelRequest
	listed   map[ServerID]listedServer
	done     int
}

// listedServer is the last entry of a server in the endpoint list.
type listedServer struct {
	server Server
	at     time.Duration
}

// modelRequest is a request without a final answer, or with an attempt in flight.
type modelRequest struct {
	request  Request
	attempts []modelAttempt
	answered bool
}

// modelAttempt is an attempt of a request.
type modelAttempt struct {
	cell        int
	sentAt      time.Duration
	endsAt      time.Duration
	inFlight    bool
	countsAsRun bool
}

// check checks the effects of the last event.
func (m *model) check() {
	for _, s := range m.effects.sends {
		m.checkSend(s)
	}
	for id := range m.effects.rejected {
		m.checkRejection(id)
	}
	for id := range m.effects.failed {
		m.checkAnswer(id, "failed")
	}
	m.effects.sends, m.effects.cancels = nil, nil
	m.effects.rejected, m.effects.failed = map[RequestID]int{}, map[RequestID]int{}
}

// checkSend checks an attempt and records it.
func (m *model) checkSend(call sendCall) {
	tracked := m.requests[call.id]
	if tracked == nil || tracked.answered {
		m.t.Fatalf("request %d was sent, but is unknown or has its final answer", call.id)
	}
	listed, ok := m.listed[call.server]
	if !ok || listed.server.State != Ready && m.now > listed.at {
		m.t.Fatalf("request is sent to server %d, which is listed as %+v, want a server that may get requests", call.server, listed)
	}
	if len(tracked.attempts) >= m.settings.MaxAttempts {
		m.t.Fatalf("request %d has an attempt %d, want at most MaxAttempts", call.id, len(tracked.attempts)+1)
	}
	for _, a := range tracked.attempts {
		if a.inFlight && !m.settings.Hedging {
			m.t.Fatalf("request %d has two attempts in flight without Hedging, want one", call.id)
		}
		if a.countsAsRun {
			m.checkRepeat(call.id, tracked, a, listed.server)
		}
	}
	end := tracked.request.Deadline
	if call.timeout > 0 {
		end = min(end, m.now+call.timeout)
	}
	tracked.attempts = append(tracked.attempts, modelAttempt{
		cell: listed.server.Cell, sentAt: m.now, endsAt: end, inFlight: true, countsAsRun: true,
	})
}

// checkRepeat checks a send to a server after an earlier attempt that counts as run.
func (m *model) checkRepeat(id RequestID, tracked *modelRequest, earlier modelAttempt, to Server) {
	class := m.settings.Classes[tracked.request.Class]
	switch {
	case class.Idempotency == NotIdempotent:
		m.t.Fatalf("request %d is not idempotent, but was sent again", id)
	case class.Idempotency == IdempotentWithKey && m.now-earlier.sentAt > class.DedupWindow && earlier.sentAt == tracked.firstCountedAsRun():
		m.t.Fatalf("request %d is idempotent with a key, but was sent again after its dedup window", id)
	case class.Idempotency == IdempotentWithKey && class.DedupScope == DedupCell && earlier.cell != to.Cell:
		m.t.Fatalf("request %d is idempotent with a key, but was sent to another cell", id)
	}
}

// checkRejection checks that repeats are harmless at every server, or that no attempt counts as run.
func (m *model) checkRejection(id RequestID) {
	tracked := m.checkAnswer(id, "rejected")
	class := m.settings.Classes[tracked.request.Class]
	repeatsAreHarmless := class.Idempotency == Idempotent || class.Idempotency == IdempotentWithKey && class.DedupScope == DedupAll
	for _, a := range tracked.attempts {
		if a.countsAsRun && !repeatsAreHarmless {
			m.t.Fatalf("request %d of class %d is rejected though it may have run", id, tracked.request.Class)
		}
	}
}

// checkAnswer checks that a request has no earlier final answer.
func (m *model) checkAnswer(id RequestID, how string) *modelRequest {
	tracked := m.requests[id]
	if tracked == nil || tracked.answered {
		m.t.Fatalf("request %d is %s, but is unknown or has its final answer", id, how)
	}
	tracked.answered = true
	return tracked
}

// firstCountedAsRun returns when the first attempt that counts as run was sent.
func (tracked *modelRequest) firstCountedAsRun() time.Duration {
	for _, a := range tracked.attempts {
		if a.countsAsRun {
			return a.sentAt
		}
	}
	return 0
}

// end ends an attempt with a result.
func (m *model) end(id RequestID, tracked *modelRequest, i int, result Result) {
	a := &tracked.attempts[i]
	a.inFlight, a.countsAsRun = false, !result.NeverRan()
	final := tracked.answered || result == OK
	if result == OK {
		tracked.answered = true
	}
	m.b.AttemptFinished(m.now, Outcome{ID: id, Attempt: i, Result: result, Final: final})
	m.check()
}

// restart replaces the node by a new one with a cached list.
func (m *model) restart() {
	m.effects = newEffectLog()
	m.b = New(m.settings, m.rng.Uint64(), m.now, m.effects)
	m.requests = map[RequestID]*modelRequest{}
	var list []Server
	for id := ServerID(1); id <= 20; id++ {
		if s, ok := m.listed[id]; ok && s.server.State != Gone {
			list = append(list, s.server)
		}
	}
	m.b.UpdateEndpoints(m.now, UpdateCached, list)
	m.check()
}

// updateServer changes one random server of the endpoint list.
func (m *model) updateServer() {
	id := ServerID(1 + m.rng.Intn(20))
	s := Server{ID: id, Zone: int(id) % 2, Cell: int(id) % 4, State: ServerState(m.rng.Intn(3)), Capacity: 1}
	if m.rng.Intn(3) > 0 {
		s.State = Ready
	}
	if m.rng.Intn(3) == 0 {
		s.StartedAt = m.now
	}
	m.listed[id] = listedServer{s, m.now}
	m.b.UpdateEndpoints(m.now, UpdateDelta, []Server{s})
	m.check()
}

// run performs steps of a few milliseconds each.
func (m *model) run(steps int) {
	var last RequestID
	for range steps {
		m.now += time.Duration(m.rng.Intn(8)) * time.Millisecond
		m.randomEvent(&last)
		m.fireTimers()
		for id := RequestID(1); id <= last; id++ {
			if tracked := m.requests[id]; tracked != nil {
				m.advanceRequest(id, tracked)
			}
		}
	}
}

// randomEvent restarts the node, updates its endpoint list, adds a request, or does nothing.
func (m *model) randomEvent(last *RequestID) {
	switch k := m.rng.Intn(400); {
	case k == 0:
		m.restart()
	case k < 8:
		m.updateServer()
	case k == 8:
		m.b.UpdateEndpoints(m.now, UpdateFailed, nil)
	case k < 100:
		*last++
		q := Request{
			ID: *last, Class: m.rng.Intn(len(m.settings.Classes)), Key: uint64(m.rng.Intn(30)),
			Deadline: m.now + time.Duration(50+m.rng.Intn(1500))*time.Millisecond,
		}
		m.requests[*last] = &modelRequest{request: q}
		m.b.Arrive(m.now, q)
		m.check()
	}
}

// fireTimers fires the timers that are due.
func (m *model) fireTimers() {
	timers := m.effects.timers
	m.effects.timers = nil
	for _, timer := range timers {
		if timer.at > m.now {
			m.effects.timers = append(m.effects.timers, timer)
			continue
		}
		m.b.TimerFired(m.now, timer.token)
		m.check()
	}
}

// advanceRequest ends some of a request's attempts or disconnects its client, and checks that the request
// is answered by its deadline.
func (m *model) advanceRequest(id RequestID, tracked *modelRequest) {
	inFlight := m.endAttempts(id, tracked)
	if !tracked.answered && m.rng.Intn(2000) == 0 {
		tracked.answered = true
		m.b.ClientDisconnected(m.now, id)
		m.check()
	}
	if !tracked.answered && m.now > tracked.request.Deadline+20*time.Millisecond {
		m.t.Fatalf("request %d has no final answer %v after its deadline, want one at most 20 ms after the deadline", id, m.now-tracked.request.Deadline)
	}
	if tracked.answered && !inFlight {
		m.done++
		delete(m.requests, id)
	}
}

// endAttempts ends the attempts of a request that time out, and others at random. It reports whether any
// attempt is still in flight.
func (m *model) endAttempts(id RequestID, tracked *modelRequest) (inFlight bool) {
	for i := range tracked.attempts {
		a := &tracked.attempts[i]
		if !a.inFlight {
			continue
		}
		result := Result(m.rng.Intn(int(Abandoned) + 1))
		switch {
		case m.now >= a.endsAt:
			m.end(id, tracked, i, TimedOut)
		case result != TimedOut && m.rng.Intn(60) == 0:
			m.end(id, tracked, i, result)
		default:
			inFlight = true
		}
	}
	return inFlight
}

// Random legal events, including restarts of the node. After each event the model checks the rules independently.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range int64(12) {
		settings := testSettings()
		settings.Hedging = seed%2 == 1
		settings.PollDiscovery = seed%3 == 0
		settings.KeyAffinity = seed%4 < 2
		if seed%5 == 0 {
			settings.Classes[1].DedupScope = DedupAll
		}
		m := &model{t: t, rng: rand.New(rand.NewSource(seed)), settings: settings, now: 100 * second, listed: map[ServerID]listedServer{}}
		for id := ServerID(1); id <= 12; id++ {
			m.listed[id] = listedServer{Server{ID: id, Zone: int(id) % 2, Cell: int(id) % 4, State: Ready, Capacity: 1}, m.now}
		}
		m.restart()
		m.run(6000)
		if m.done < 500 {
			t.Errorf("seed %d: number of requests that ended is %d, want at least 500", seed, m.done)
		}
	}
}

package decide

import (
	"math/rand"
	"testing"
	"time"
)

// model drives a Balancer through random legal events. It checks the rules by an account of its own of
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

// listedServer is a server as it was last listed.
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
	cell       int
	sentAt     time.Duration
	endsAt     time.Duration
	inFlight   bool
	mayHaveRun bool
}

// check checks the effects since the last event.
func (w *model) check() {
	for _, s := range w.effects.sends {
		w.checkSend(s)
	}
	for id := range w.effects.rejected {
		w.checkRejection(id)
	}
	for id := range w.effects.failed {
		w.checkAnswer(id, "failed")
	}
	w.effects.sends, w.effects.cancels = nil, nil
	w.effects.rejected, w.effects.failed = map[RequestID]int{}, map[RequestID]int{}
}

// checkSend checks an attempt and takes it into the account.
func (w *model) checkSend(s sendCall) {
	h := w.requests[s.id]
	if h == nil || h.answered {
		w.t.Fatalf("send for request %d, which is not open", s.id)
	}
	listed, ok := w.listed[s.server]
	if !ok || listed.server.State != Ready && w.now > listed.at {
		w.t.Fatalf("send to server %d, which is listed as %+v", s.server, listed)
	}
	if len(h.attempts) >= w.settings.MaxAttempts {
		w.t.Fatalf("request %d: attempt %d", s.id, len(h.attempts)+1)
	}
	for _, a := range h.attempts {
		if a.inFlight && !w.settings.Hedging {
			w.t.Fatalf("request %d: two attempts at once", s.id)
		}
		if a.mayHaveRun {
			w.checkRepeat(s.id, h, a, listed.server)
		}
	}
	end := h.request.Deadline
	if s.timeout > 0 {
		end = min(end, w.now+s.timeout)
	}
	h.attempts = append(h.attempts, modelAttempt{
		cell: listed.server.Cell, sentAt: w.now, endsAt: end, inFlight: true, mayHaveRun: true,
	})
}

// checkRepeat checks a send to a server after an earlier attempt that may have run.
func (w *model) checkRepeat(id RequestID, h *modelRequest, earlier modelAttempt, to Server) {
	class := w.settings.Classes[h.request.Class]
	switch {
	case class.Idempotency == NotIdempotent:
		w.t.Fatalf("request %d: not idempotent, and sent again", id)
	case class.Idempotency == IdempotentWithKey && w.now-earlier.sentAt > class.DedupWindow && earlier.sentAt == h.firstPossiblyRun():
		w.t.Fatalf("request %d: idempotent with a key, and sent again after its window", id)
	case class.Idempotency == IdempotentWithKey && class.DedupScope == DedupCell && earlier.cell != to.Cell:
		w.t.Fatalf("request %d: idempotent with a key, and sent to another cell", id)
	}
}

// checkRejection checks a rejection: repeats must do no harm wherever they go, or nothing may have run.
func (w *model) checkRejection(id RequestID) {
	h := w.checkAnswer(id, "rejected")
	class := w.settings.Classes[h.request.Class]
	repeatsAreHarmless := class.Idempotency == Idempotent || class.Idempotency == IdempotentWithKey && class.DedupScope == DedupAll
	for _, a := range h.attempts {
		if a.mayHaveRun && !repeatsAreHarmless {
			w.t.Fatalf("request %d of class %d rejected though it may have run", id, h.request.Class)
		}
	}
}

// checkAnswer checks that a final answer is the first of its request.
func (w *model) checkAnswer(id RequestID, how string) *modelRequest {
	h := w.requests[id]
	if h == nil || h.answered {
		w.t.Fatalf("request %d %s after its end", id, how)
	}
	h.answered = true
	return h
}

// firstPossiblyRun is when the first attempt that may have run was sent.
func (h *modelRequest) firstPossiblyRun() time.Duration {
	for _, a := range h.attempts {
		if a.mayHaveRun {
			return a.sentAt
		}
	}
	return 0
}

// end ends an attempt.
func (w *model) end(id RequestID, h *modelRequest, i int, result Result) {
	a := &h.attempts[i]
	a.inFlight, a.mayHaveRun = false, !result.NeverRan()
	final := h.answered || result == OK
	if result == OK {
		h.answered = true
	}
	w.b.AttemptFinished(w.now, Outcome{ID: id, Attempt: i, Result: result, Final: final})
	w.check()
}

// restart starts the node anew, with a cached list.
func (w *model) restart() {
	w.effects = newEffectLog()
	w.b = New(w.settings, w.rng.Uint64(), w.now, w.effects)
	w.requests = map[RequestID]*modelRequest{}
	var list []Server
	for id := ServerID(1); id <= 20; id++ {
		if s, ok := w.listed[id]; ok && s.server.State != Gone {
			list = append(list, s.server)
		}
	}
	w.b.UpdateEndpoints(w.now, UpdateCached, list)
	w.check()
}

// updateServer changes one server of the endpoint list.
func (w *model) updateServer() {
	id := ServerID(1 + w.rng.Intn(20))
	s := Server{ID: id, Zone: int(id) % 2, Cell: int(id) % 4, State: ServerState(w.rng.Intn(3)), Capacity: 1}
	if w.rng.Intn(3) > 0 {
		s.State = Ready
	}
	if w.rng.Intn(3) == 0 {
		s.StartedAt = w.now
	}
	w.listed[id] = listedServer{s, w.now}
	w.b.UpdateEndpoints(w.now, UpdateDelta, []Server{s})
	w.check()
}

// run plays steps of some milliseconds.
func (w *model) run(steps int) {
	var last RequestID
	for range steps {
		w.now += time.Duration(w.rng.Intn(8)) * time.Millisecond
		w.randomEvent(&last)
		w.fireTimers()
		for id := RequestID(1); id <= last; id++ {
			if h := w.requests[id]; h != nil {
				w.advanceRequest(id, h)
			}
		}
	}
}

// randomEvent restarts the node, updates its endpoint list or has a request arrive, or does nothing.
func (w *model) randomEvent(last *RequestID) {
	switch k := w.rng.Intn(400); {
	case k == 0:
		w.restart()
	case k < 8:
		w.updateServer()
	case k == 8:
		w.b.UpdateEndpoints(w.now, UpdateFailed, nil)
	case k < 100:
		*last++
		q := Request{
			ID: *last, Class: w.rng.Intn(len(w.settings.Classes)), Key: uint64(w.rng.Intn(30)),
			Deadline: w.now + time.Duration(50+w.rng.Intn(1500))*time.Millisecond,
		}
		w.requests[*last] = &modelRequest{request: q}
		w.b.Arrive(w.now, q)
		w.check()
	}
}

// fireTimers fires the timers that are due.
func (w *model) fireTimers() {
	timers := w.effects.timers
	w.effects.timers = nil
	for _, timer := range timers {
		if timer.at > w.now {
			w.effects.timers = append(w.effects.timers, timer)
			continue
		}
		w.b.TimerFired(w.now, timer.token)
		w.check()
	}
}

// advanceRequest ends some of a request's attempts, or has its client leave, and checks that it is answered
// by its deadline.
func (w *model) advanceRequest(id RequestID, h *modelRequest) {
	inFlight := w.endAttempts(id, h)
	if !h.answered && w.rng.Intn(2000) == 0 {
		h.answered = true
		w.b.ClientDisconnected(w.now, id)
		w.check()
	}
	if !h.answered && w.now > h.request.Deadline+20*time.Millisecond {
		w.t.Fatalf("request %d has no answer %v after its deadline", id, w.now-h.request.Deadline)
	}
	if h.answered && !inFlight {
		w.done++
		delete(w.requests, id)
	}
}

// endAttempts ends those of a request's attempts that time out, and others at random. It returns whether
// any is left.
func (w *model) endAttempts(id RequestID, h *modelRequest) (left bool) {
	for i := range h.attempts {
		a := &h.attempts[i]
		if !a.inFlight {
			continue
		}
		result := Result(w.rng.Intn(int(Abandoned) + 1))
		switch {
		case w.now >= a.endsAt:
			w.end(id, h, i, TimedOut)
		case result != TimedOut && w.rng.Intn(60) == 0:
			w.end(id, h, i, result)
		default:
			left = true
		}
	}
	return left
}

// Random legal events, among them restarts of the node, with the rules checked after each by an account of
// its own.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range int64(12) {
		settings := testSettings()
		settings.Hedging = seed%2 == 1
		settings.PollDiscovery = seed%3 == 0
		settings.KeyAffinity = seed%4 < 2
		if seed%5 == 0 {
			settings.Classes[1].DedupScope = DedupAll
		}
		w := &model{t: t, rng: rand.New(rand.NewSource(seed)), settings: settings, now: 100 * second, listed: map[ServerID]listedServer{}}
		for id := ServerID(1); id <= 12; id++ {
			w.listed[id] = listedServer{Server{ID: id, Zone: int(id) % 2, Cell: int(id) % 4, State: Ready, Capacity: 1}, w.now}
		}
		w.restart()
		w.run(6000)
		if w.done < 500 {
			t.Errorf("seed %d: only %d requests ended", seed, w.done)
		}
	}
}

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

type listedServer struct {
	server Server
	at     time.Duration
}

type modelRequest struct {
	request  Request
	attempts []modelAttempt
	answered bool
}

type modelAttempt struct {
	server     ServerID
	zone       int
	cell       int
	sentAt     time.Duration
	endsAt     time.Duration
	inFlight   bool
	mayHaveRun bool
}

// check checks the effects since the last event.
func (w *model) check() {
	for _, s := range w.effects.sends {
		h := w.requests[s.id]
		if h == nil || h.answered {
			w.t.Fatalf("send for request %d, which is not open", s.id)
		}
		srv, ok := w.listed[s.server]
		if !ok || srv.server.State != Ready && w.now > srv.at {
			w.t.Fatalf("send to server %d, which is listed as %+v", s.server, srv)
		}
		cls := w.settings.Classes[h.request.Class]
		if len(h.attempts) >= w.settings.MaxAttempts {
			w.t.Fatalf("request %d: attempt %d", s.id, len(h.attempts)+1)
		}
		for _, a := range h.attempts {
			if a.inFlight && !w.settings.Hedging {
				w.t.Fatalf("request %d: two attempts at once", s.id)
			}
			if !a.mayHaveRun {
				continue
			}
			switch {
			case cls.Idempotency == NotIdempotent:
				w.t.Fatalf("request %d: not idempotent, and sent again", s.id)
			case cls.Idempotency == IdempotentWithKey && w.now-a.sentAt > cls.DedupWindow && a.sentAt == h.firstPossiblyRun():
				w.t.Fatalf("request %d: idempotent with a key, and sent again after its window", s.id)
			case cls.Idempotency == IdempotentWithKey && cls.DedupScope == DedupCell && a.cell != srv.server.Cell:
				w.t.Fatalf("request %d: idempotent with a key, and sent to another cell", s.id)
			}
		}
		end := h.request.Deadline
		if s.timeout > 0 {
			end = min(end, w.now+s.timeout)
		}
		h.attempts = append(h.attempts, modelAttempt{server: s.server, zone: srv.server.Zone, cell: srv.server.Cell, sentAt: w.now, endsAt: end, inFlight: true, mayHaveRun: true})
	}
	for id := range w.effects.rejected {
		h := w.requests[id]
		if h == nil || h.answered {
			w.t.Fatalf("request %d rejected after its end", id)
		}
		cls := w.settings.Classes[h.request.Class]
		for _, a := range h.attempts {
			repeatsAreHarmless := cls.Idempotency == Idempotent || cls.Idempotency == IdempotentWithKey && cls.DedupScope == DedupAll
			if a.mayHaveRun && !repeatsAreHarmless {
				w.t.Fatalf("request %d of class %d rejected though it may have run", id, h.request.Class)
			}
		}
		h.answered = true
	}
	for id := range w.effects.failed {
		h := w.requests[id]
		if h == nil || h.answered {
			w.t.Fatalf("request %d failed after its end", id)
		}
		h.answered = true
	}
	w.effects.sends, w.effects.cancels = nil, nil
	w.effects.rejected, w.effects.failed = map[RequestID]int{}, map[RequestID]int{}
}

func (h *modelRequest) firstPossiblyRun() time.Duration {
	for _, a := range h.attempts {
		if a.mayHaveRun {
			return a.sentAt
		}
	}
	return 0
}

func (w *model) end(id RequestID, h *modelRequest, i int, res Result) {
	a := &h.attempts[i]
	a.inFlight, a.mayHaveRun = false, !res.NeverRan()
	settled := h.answered || res == OK
	if res == OK {
		h.answered = true
	}
	w.b.AttemptFinished(w.now, Outcome{ID: id, Attempt: i, Result: res, Final: settled})
	w.check()
}

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

func (w *model) run(steps int) {
	var next RequestID
	for range steps {
		w.now += time.Duration(w.rng.Intn(8)) * time.Millisecond
		switch k := w.rng.Intn(400); {
		case k == 0:
			w.restart()
		case k < 8:
			w.updateServer()
		case k == 8:
			w.b.UpdateEndpoints(w.now, UpdateFailed, nil)
		case k < 100:
			next++
			q := Request{ID: next, Class: w.rng.Intn(len(w.settings.Classes)), Key: uint64(w.rng.Intn(30)), Deadline: w.now + time.Duration(50+w.rng.Intn(1500))*time.Millisecond}
			w.requests[next] = &modelRequest{request: q}
			w.b.Arrive(w.now, q)
			w.check()
		}
		timers := w.effects.timers
		w.effects.timers = nil
		for _, k := range timers {
			if k.at > w.now {
				w.effects.timers = append(w.effects.timers, k)
				continue
			}
			w.b.TimerFired(w.now, k.token)
			w.check()
		}
		for id := RequestID(1); id <= next; id++ {
			h := w.requests[id]
			if h == nil {
				continue
			}
			open := false
			for i := range h.attempts {
				a := &h.attempts[i]
				if !a.inFlight {
					continue
				}
				res := Result(w.rng.Intn(int(Abandoned) + 1))
				switch {
				case w.now >= a.endsAt:
					w.end(id, h, i, TimedOut)
				case res != TimedOut && w.rng.Intn(60) == 0:
					w.end(id, h, i, res)
				default:
					open = true
				}
			}
			if !h.answered && w.rng.Intn(2000) == 0 {
				h.answered = true
				w.b.ClientDisconnected(w.now, id)
				w.check()
			}
			if !h.answered && w.now > h.request.Deadline+20*time.Millisecond {
				w.t.Fatalf("request %d has no answer %v after its deadline", id, w.now-h.request.Deadline)
			}
			if h.answered && !open {
				w.done++
				delete(w.requests, id)
			}
		}
	}
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

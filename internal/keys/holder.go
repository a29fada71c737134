// Package keys holds the idempotency keys of a process for its fronts: it gives idem.Store
// its clock and its lock, and wakes those that wait. Fronts of any protocol ask it before a
// request goes on to a pool.
package keys

import (
	"context"
	"errors"
	"sync"
	"time"

	"jasperpin/internal/idem"
)

// ErrTimeUp says that a wait was longer than its client's.
var ErrTimeUp = errors.New("the first request still runs")

// Turn is what becomes of a request. The answer comes with idem.Replay, and the claim with
// idem.Run and idem.Wait. Retry is when there may be room, with idem.Full, or 0.
type Turn struct {
	Verdict idem.Verdict
	Answer  Answer
	Claim   *Claim
	Retry   time.Duration
}

// Holder holds keys.
type Holder struct {
	start time.Time

	mu      sync.Mutex
	store   *idem.Store
	waiting map[idem.Ticket]chan woken // each holds one
	set     idem.Settings
	copying int64 // bytes of answers that pass
}

// woken is what ended a wait.
type woken struct {
	verdict idem.Verdict
	answer  idem.Answer
}

// New makes a holder without a key.
func New(set idem.Settings) (*Holder, error) {
	store, err := idem.New(set)
	if err != nil {
		return nil, err
	}
	return &Holder{start: time.Now(), store: store, set: set, waiting: make(map[idem.Ticket]chan woken)}, nil
}

// Configure puts other settings in force. Keys that are held stay as they were promised.
func (h *Holder) Configure(set idem.Settings) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.store.Configure(set); err != nil {
		return err
	}
	h.set = set
	return nil
}

// Held is how many keys there are, and the bytes that they count for.
func (h *Holder) Held() (entries int, bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.Expire(h.now())
	return h.store.Held()
}

// now is monotonic: a step of the wall clock forgets nothing.
func (h *Holder) now() time.Duration { return time.Since(h.start) }

// Arrive says what becomes of a request. The zero digest is for one whose body still comes.
func (h *Holder) Arrive(k idem.Key, d idem.Digest) Turn {
	h.mu.Lock()
	verdict, ticket, kept := h.store.Arrive(h.now(), k, d)
	turn := Turn{Verdict: verdict}
	switch verdict {
	case idem.Run:
		turn.Claim = &Claim{h: h, ticket: ticket}
	case idem.Wait:
		turn.Claim = &Claim{h: h, ticket: ticket, woken: make(chan woken, 1)}
		h.waiting[ticket] = turn.Claim.woken
	case idem.Full:
		turn.Retry = h.store.Room(h.now())
	}
	h.mu.Unlock()
	if verdict == idem.Replay {
		turn.Answer = unpack(kept)
	}
	return turn
}

// wake ends the waits of some. Called under the lock.
func (h *Holder) wake(all []idem.Ticket, w woken) {
	for _, t := range all {
		if c := h.waiting[t]; c != nil {
			c <- w
			delete(h.waiting, t)
		}
	}
}

// Claim is a request's hold on a key: it runs, or waits for the one that does.
type Claim struct {
	h      *Holder
	ticket idem.Ticket
	woken  chan woken // nil for one that runs
}

// Wait waits for the end of the run, no longer than until: the turn is idem.Run where this
// one runs now, else idem.Replay or idem.Mismatch. Its error is ErrTimeUp, or that of ctx,
// whose client has gone.
func (c *Claim) Wait(ctx context.Context, until time.Time) (Turn, error) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	var w woken
	var err error
	select {
	case w = <-c.woken:
	case <-ctx.Done():
		w, err = c.give(), ctx.Err()
	case <-t.C:
		w, err = c.give(), ErrTimeUp
	}
	if err != nil {
		if w.verdict == idem.Run { // it came at the last moment: the next one's
			c.Settle(idem.NeverRan, Answer{})
		}
		return Turn{}, err
	}
	turn := Turn{Verdict: w.verdict, Claim: c}
	if w.verdict == idem.Replay {
		turn.Answer = unpack(w.answer)
	}
	return turn, nil
}

// give ends a wait, and gives what has come of it meanwhile, or idem.Wait.
func (c *Claim) give() woken {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	select {
	case w := <-c.woken:
		return w
	default:
	}
	delete(c.h.waiting, c.ticket)
	c.h.store.Gone(c.ticket)
	return woken{verdict: idem.Wait}
}

// Digested tells the digest of a run, once its body has passed. Those that wait with
// another one wait no more.
func (c *Claim) Digested(d idem.Digest) {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	c.h.wake(c.h.store.Digested(c.ticket, d), woken{verdict: idem.Mismatch})
}

// Settle tells how a run ended. Calls after the first change nothing.
func (c *Claim) Settle(end idem.End, a Answer) {
	var kept idem.Answer
	if end != idem.NeverRan {
		kept = pack(a)
	}
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	done := c.h.store.Settle(c.h.now(), c.ticket, end, kept)
	c.h.wake(done.Waiters, woken{idem.Replay, kept})
	if done.Runner != 0 {
		c.h.wake([]idem.Ticket{done.Runner}, woken{verdict: idem.Run})
	}
}

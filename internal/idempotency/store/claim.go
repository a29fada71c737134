package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jasperpin/internal/idempotency"
)

// ErrWaitTimeout says that the first request still runs at the end of a wait.
var ErrWaitTimeout = errors.New("the first request still runs")

// Claim is a request's claim on a key: it runs, or waits for the request that does.
type Claim struct {
	holder *KeyStore
	key    idempotency.Key
	ticket idempotency.Ticket
	wake   chan wakeUp // nil for one that runs from the beginning
}

// Wait waits for the end of the first request's run, until a deadline at most. The verdict is idempotency.Run
// where this request runs now, else Replay or Mismatch. Its error is ErrWaitTimeout, or wraps that of ctx, which
// ends with the client; the claim is void then.
func (c *Claim) Wait(ctx context.Context, deadline time.Time) (Decision, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var err error
	select {
	case w := <-c.wake:
		return c.follow(w), nil
	case <-ctx.Done():
		err = fmt.Errorf("waiting for the first request under a key: %w", ctx.Err())
	case <-timer.C:
		err = ErrWaitTimeout
	}
	if w := c.giveUp(); w.verdict == idempotency.Run { // its turn came at the last moment: the next request runs
		c.Settle(idempotency.NeverRan, Answer{})
	}
	return Decision{}, err
}

// follow turns the end of a wait into a decision.
func (c *Claim) follow(w wakeUp) Decision {
	decision := Decision{Verdict: w.verdict, Claim: c}
	switch w.verdict {
	case idempotency.Run:
		return c.recordRun(decision)
	case idempotency.Replay:
		decision.Answer = unpack(w.answer)
	}
	return decision
}

// giveUp ends a wait. It returns what has come of it meanwhile, or idempotency.Wait.
func (c *Claim) giveUp() wakeUp {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	select {
	case w := <-c.wake:
		return w
	default:
	}
	delete(c.holder.waiting, c.ticket)
	c.holder.store.Cancel(c.ticket)
	return wakeUp{verdict: idempotency.Wait}
}

// recordRun writes to the disk that a key runs, before it does. Where the write fails the request must not run:
// a process that starts later would not know of it.
func (c *Claim) recordRun(decision Decision) Decision {
	h := c.holder
	h.mu.Lock()
	j := h.journal
	record, ok := h.store.Export(h.now(), c.key)
	h.mu.Unlock()
	if j == nil || !ok {
		return decision
	}
	if err := <-j.put(record); err != nil {
		h.log.Error("idempotency key not written, its request is rejected", "err", err)
		c.Settle(idempotency.NeverRan, Answer{})
		return Decision{Verdict: idempotency.Full, RetryAfter: retryWhileClosed}
	}
	return decision
}

// SetDigest sets the digest of a run whose body is complete. Requests that wait with another digest get
// idempotency.Mismatch.
func (c *Claim) SetDigest(d idempotency.Digest) {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	c.holder.wakeAll(c.holder.store.SetDigest(c.ticket, d), wakeUp{verdict: idempotency.Mismatch})
}

// HasWaiters reports whether repeats wait for the end of the run. It does not block.
func (c *Claim) HasWaiters() bool {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	return c.holder.store.HasWaiters(c.ticket)
}

// Settle ends the run. Calls after the first change nothing. With a file the end is on the disk before any
// client hears of it; an end that cannot be written is known to this process only.
func (c *Claim) Settle(how idempotency.Outcome, a Answer) {
	h := c.holder
	var packed idempotency.Answer
	if how != idempotency.NeverRan {
		packed = pack(a)
		if err := c.recordEnd(how, packed); err != nil {
			h.log.Error("end of an idempotent run not written, a restart will forget it", "err", err)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	settled := h.store.Settle(h.now(), c.ticket, how, packed)
	if settled.Done && how == idempotency.NeverRan && settled.Next == 0 && h.journal != nil {
		h.journal.remove(c.key) // under the lock, so that a new run under the key is written after it
	}
	h.wakeAll(settled.Waiters, wakeUp{idempotency.Replay, packed})
	if settled.Next != 0 {
		h.wakeAll([]idempotency.Ticket{settled.Next}, wakeUp{verdict: idempotency.Run})
	}
}

// recordEnd writes the end of the run to the disk.
func (c *Claim) recordEnd(how idempotency.Outcome, packed idempotency.Answer) error {
	h := c.holder
	h.mu.Lock()
	j := h.journal
	record, ok := h.store.ExportSettled(h.now(), c.key, c.ticket, how, packed)
	h.mu.Unlock()
	if j == nil || !ok {
		return nil
	}
	return <-j.put(record)
}

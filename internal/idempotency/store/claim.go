package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jasperpin/internal/idempotency"
)

// ErrWaitTimeout means that the first request was still running at the deadline of a wait.
var ErrWaitTimeout = errors.New("the first request still runs")

// Claim is the claim of a request on a key: the request runs, or waits for the request that runs.
type Claim struct {
	holder *KeyStore
	key    idempotency.Key
	ticket idempotency.Ticket
	wake   chan wakeUp // nil if the request runs without waiting
}

// Wait waits until the run of the first request ends or the deadline passes. The verdict is idempotency.Run if
// this request runs now, and otherwise Replay or Mismatch. The error is ErrWaitTimeout, or wraps that of ctx,
// which is done when the client disconnects. After an error the claim is no longer valid.
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
	if w := c.giveUp(); w.verdict == idempotency.Run { // selected to run as the wait ended: let the next request run
		c.Settle(idempotency.NeverRan, Answer{})
	}
	return Decision{}, err
}

// follow returns the decision that follows from the end of a wait.
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

// giveUp cancels a wait. It returns the wake-up that was sent in the meantime, or one with the verdict
// idempotency.Wait.
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

// recordRun writes the record of a run to the disk before the run begins. If the write fails the request must
// not run: a process that starts later would have no record of it.
func (c *Claim) recordRun(decision Decision) Decision {
	s := c.holder
	s.mu.Lock()
	j := s.journal
	record, ok := s.store.Export(s.now(), c.key)
	s.mu.Unlock()
	if j == nil || !ok {
		return decision
	}
	if err := <-j.put(record); err != nil {
		s.log.Error("writing idempotency key failed, request rejected", "err", err)
		c.Settle(idempotency.NeverRan, Answer{})
		return Decision{Verdict: idempotency.Full, RetryAfter: retryWhileClosed}
	}
	return decision
}

// SetDigest sets the digest of a run once its body is complete. Waiting requests with a different digest get
// the verdict idempotency.Mismatch.
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

// Settle ends the run. Calls after the first do nothing. With a file, the end is durable before any client
// receives the answer; if the write fails, only this process has the answer.
func (c *Claim) Settle(how idempotency.Outcome, a Answer) {
	s := c.holder
	var packed idempotency.Answer
	if how != idempotency.NeverRan {
		packed = pack(a)
		if err := c.recordEnd(how, packed); err != nil {
			s.log.Error("writing the end of a keyed run failed, its answer will be lost at a restart", "err", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	settled := s.store.Settle(s.now(), c.ticket, how, packed)
	if settled.Done && how == idempotency.NeverRan && settled.Next == 0 && s.journal != nil {
		s.journal.remove(c.key) // under the lock, so that a new run under the key is written after the deletion
	}
	s.wakeAll(settled.Waiters, wakeUp{idempotency.Replay, packed})
	if settled.Next != 0 {
		s.wakeAll([]idempotency.Ticket{settled.Next}, wakeUp{verdict: idempotency.Run})
	}
}

// recordEnd writes the end of the run to the disk.
func (c *Claim) recordEnd(how idempotency.Outcome, packed idempotency.Answer) error {
	s := c.holder
	s.mu.Lock()
	j := s.journal
	record, ok := s.store.ExportSettled(s.now(), c.key, c.ticket, how, packed)
	s.mu.Unlock()
	if j == nil || !ok {
		return nil
	}
	return <-j.put(record)
}

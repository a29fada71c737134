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
	keyStore *KeyStore
	key      idempotency.Key
	ticket   idempotency.Ticket
	wake     chan wakeUp // nil if the request runs without waiting
}

// Wait waits until the run of the first request ends or the deadline passes. The verdict is idempotency.Run if
// this request runs now, and otherwise Replay or Mismatch. The error is ErrWaitTimeout, or wraps the error of ctx,
// which is done when the client disconnects. After an error the claim is no longer valid.
func (c *Claim) Wait(ctx context.Context, deadline time.Time) (Decision, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var err error
	select {
	case w := <-c.wake:
		return c.endWait(w), nil
	case <-ctx.Done():
		err = fmt.Errorf("waiting for the first request under a key: %w", ctx.Err())
	case <-timer.C:
		err = ErrWaitTimeout
	}
	c.Abandon()
	return Decision{}, err
}

// Abandon ends the claim of a waiting request that waits no longer. If it has been selected to run, the next request runs.
func (c *Claim) Abandon() {
	if w := c.cancelWait(); w.verdict == idempotency.Run {
		c.Settle(idempotency.NeverRan, Answer{})
	}
}

// endWait returns the decision that follows from the end of a wait.
func (c *Claim) endWait(w wakeUp) Decision {
	decision := Decision{Verdict: w.verdict, Claim: c}
	switch w.verdict {
	case idempotency.Run:
		return c.recordRun(decision)
	case idempotency.Replay:
		decision.Answer = unpack(w.answer)
	}
	return decision
}

// cancelWait cancels a wait. It returns the wake-up that was sent in the meantime, or one with the verdict
// idempotency.Wait.
func (c *Claim) cancelWait() wakeUp {
	c.keyStore.mu.Lock()
	defer c.keyStore.mu.Unlock()
	select {
	case w := <-c.wake:
		return w
	default:
	}
	delete(c.keyStore.waiting, c.ticket)
	c.keyStore.store.Cancel(c.ticket)
	return wakeUp{verdict: idempotency.Wait}
}

// recordRun writes the record of a run to the disk before the run begins. If the write fails the request must
// not run: a process that starts later would have no record of it.
func (c *Claim) recordRun(decision Decision) Decision {
	keyStore := c.keyStore
	keyStore.mu.Lock()
	j := keyStore.journal
	record, ok := keyStore.store.Export(keyStore.now(), c.key)
	keyStore.mu.Unlock()
	if j == nil || !ok {
		return decision
	}
	if err := <-j.put(record); err != nil {
		keyStore.log.Error("writing idempotency key failed, request rejected", "err", err)
		c.Settle(idempotency.NeverRan, Answer{})
		return Decision{Verdict: idempotency.Full, RetryAfter: unavailableRetryAfter}
	}
	return decision
}

// SetDigest sets the digest of a run once its body is complete. Waiting requests with a different digest get
// the verdict idempotency.Mismatch.
func (c *Claim) SetDigest(d idempotency.Digest) {
	c.keyStore.mu.Lock()
	defer c.keyStore.mu.Unlock()
	c.keyStore.wakeAll(c.keyStore.store.SetDigest(c.ticket, d), wakeUp{verdict: idempotency.Mismatch})
}

// HasWaiters reports whether repeats wait for the end of the run. It does not block.
func (c *Claim) HasWaiters() bool {
	c.keyStore.mu.Lock()
	defer c.keyStore.mu.Unlock()
	return c.keyStore.store.HasWaiters(c.ticket)
}

// Settle ends the run. Calls after the first do nothing. With a file, the end is durable before any client
// receives the answer; if the write fails, only this process has the answer.
func (c *Claim) Settle(outcome idempotency.Outcome, a Answer) {
	keyStore := c.keyStore
	var packed idempotency.Answer
	if outcome != idempotency.NeverRan {
		packed = pack(a)
		if err := c.recordEnd(outcome, packed); err != nil {
			keyStore.log.Error("writing the end of a keyed run failed, its answer will be lost at a restart", "err", err)
		}
	}
	keyStore.mu.Lock()
	defer keyStore.mu.Unlock()
	settled := keyStore.store.Settle(keyStore.now(), c.ticket, outcome, packed)
	if settled.Done && outcome == idempotency.NeverRan && settled.Next == 0 && keyStore.journal != nil {
		keyStore.journal.remove(c.key) // under the lock, so that a new run under the key is written after the deletion
	}
	keyStore.wakeAll(settled.Waiters, wakeUp{idempotency.Replay, packed})
	if settled.Next != 0 {
		keyStore.wakeAll([]idempotency.Ticket{settled.Next}, wakeUp{verdict: idempotency.Run})
	}
}

// recordEnd writes the end of the run to the disk.
func (c *Claim) recordEnd(outcome idempotency.Outcome, packed idempotency.Answer) error {
	keyStore := c.keyStore
	keyStore.mu.Lock()
	j := keyStore.journal
	record, ok := keyStore.store.ExportSettled(keyStore.now(), c.key, c.ticket, outcome, packed)
	keyStore.mu.Unlock()
	if j == nil || !ok {
		return nil
	}
	return <-j.put(record)
}

package consensus

import (
	"context"
	"errors"
	"sync"
	"time"

	"jasperpin/internal/consensus/fsm"
)

// Held is a lease that is kept for as long as the group lets it be.
type Held struct {
	c            *Client
	name, holder string
	start        time.Time
	stop         context.CancelFunc
	ended        chan struct{}

	mu     sync.Mutex
	keeper *fsm.Keeper
}

// Hold takes a lease as soon as it may, and renews it, until Release.
func (c *Client) Hold(name, holder string, ttl time.Duration) *Held {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Held{c: c, name: name, holder: holder, start: time.Now(), stop: cancel, ended: make(chan struct{}), keeper: fsm.NewKeeper(ttl)}
	go h.run(ctx, ttl)
	return h
}

// Fence is the lease's fencing number, and false where it is not held. What the lease
// protects is told the number, and refuses one lower than it has seen.
func (h *Held) Fence() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keeper.Holds(h.now())
}

// Until is when the lease ends if it is not renewed; in the past where it is not held.
func (h *Held) Until() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, held := h.keeper.Holds(h.now()); !held {
		return time.Now().Add(-1)
	}
	return h.start.Add(h.keeper.Until())
}

func (h *Held) now() time.Duration { return time.Since(h.start) }

func (h *Held) run(ctx context.Context, ttl time.Duration) {
	defer close(h.ended)
	for {
		h.mu.Lock()
		wait := h.keeper.Next() - h.now()
		cmd := h.keeper.Command(h.now()+max(wait, 0), h.name, h.holder)
		h.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		sent := h.now()
		asking, cancel := context.WithTimeout(ctx, ttl/2)
		r, err := h.c.Do(asking, cmd)
		cancel()
		h.mu.Lock()
		switch {
		case err == nil:
			h.keeper.Granted(sent, r.Fence)
		case errors.Is(err, fsm.ErrHeld), errors.Is(err, fsm.ErrLost):
			h.keeper.Refused(h.now())
		default:
			h.keeper.Unheard(h.now())
		}
		h.mu.Unlock()
	}
}

// Release gives the lease back, or leaves it to end by itself where the group does not
// answer before ctx ends.
func (h *Held) Release(ctx context.Context) {
	h.stop()
	<-h.ended
	h.mu.Lock()
	fence, held := h.keeper.Holds(h.now())
	h.keeper.Refused(h.now())
	h.mu.Unlock()
	if held {
		_, _ = h.c.Do(ctx, fsm.Command{Op: fsm.Release, Name: h.name, Holder: h.holder, Fence: fence})
	}
}

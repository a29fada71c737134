package consensus

import (
	"context"
	"errors"
	"sync"
	"time"

	"jasperpin/internal/consensus/fsm"
)

// HeldLease acquires one lease and renews it until Release. It is safe for concurrent use.
type HeldLease struct {
	client       *Client
	name, holder string
	ttl          time.Duration
	start        time.Time // the origin of the times in state
	stop         context.CancelFunc
	stopped      chan struct{} // closed when run returns

	mu    sync.Mutex
	state *fsm.Holder
}

// HoldLease starts a goroutine that acquires a lease and renews it. The caller must call Release to stop it.
func (c *Client) HoldLease(name, holder string, ttl time.Duration) *HeldLease {
	ctx, cancel := context.WithCancel(context.Background())
	l := &HeldLease{
		client:  c,
		name:    name,
		holder:  holder,
		ttl:     ttl,
		start:   time.Now(),
		stop:    cancel,
		stopped: make(chan struct{}),
		state:   fsm.NewHolder(ttl),
	}
	go l.run(ctx)
	return l
}

// FencingToken returns the lease's fencing token, and false while the lease is not held. The holder passes the
// token to the resource that the lease protects, which must reject a token lower than one it has seen.
func (l *HeldLease) FencingToken() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Holds(l.now())
}

// Deadline returns the time at which the lease ends unless it is renewed. It is in the past while the lease is
// not held.
func (l *HeldLease) Deadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, held := l.state.Holds(l.now()); !held {
		return time.Now().Add(-time.Nanosecond)
	}
	return l.start.Add(l.state.Deadline())
}

// now returns the time on the holder's monotonic clock.
func (l *HeldLease) now() time.Duration { return time.Since(l.start) }

// run sends the requests when they are due, until ctx is done.
func (l *HeldLease) run(ctx context.Context) {
	defer close(l.stopped)
	for {
		l.mu.Lock()
		wait := l.state.NextRequest() - l.now()
		// The command is built before the wait, for the time at which it will be sent: a lease that has expired
		// at that time must be acquired again instead of renewed.
		cmd := l.state.Request(l.now()+max(wait, 0), l.name, l.holder)
		l.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		l.request(ctx, cmd)
	}
}

// request sends one request and reports its outcome to the Holder. It waits at most half of the TTL, so that there
// is time for another request before the lease ends.
func (l *HeldLease) request(ctx context.Context, cmd fsm.Command) {
	sent := l.now()
	ctx, cancel := context.WithTimeout(ctx, l.ttl/2)
	defer cancel()
	r, err := l.client.Do(ctx, cmd)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.state.Granted(sent, r.FencingToken)
	case errors.Is(err, fsm.ErrHeld), errors.Is(err, fsm.ErrLost):
		l.state.Rejected(l.now())
	default:
		l.state.Unanswered(l.now())
	}
}

// Release stops the renewals and releases the lease. If the cluster does not respond before ctx is done, the lease
// expires at its deadline. Release must be called only once.
func (l *HeldLease) Release(ctx context.Context) {
	l.stop()
	<-l.stopped
	l.mu.Lock()
	token, held := l.state.Holds(l.now())
	l.state.Rejected(l.now())
	l.mu.Unlock()
	if held {
		// After an error the lease expires at its deadline.
		_, _ = l.client.Do(ctx, fsm.Command{Op: fsm.Release, Name: l.name, Holder: l.holder, FencingToken: token})
	}
}

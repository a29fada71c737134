package consensus

import (
	"context"
	"errors"
	"sync"
	"time"

	"jasperpin/internal/consensus/fsm"
)

// HeldLease acquires one lease and keeps it renewed until Release. It is safe for concurrent use.
type HeldLease struct {
	client       *Client
	name, holder string
	ttl          time.Duration
	start        time.Time // the origin of the times in state
	stop         context.CancelFunc
	stopped      chan struct{} // closed when the goroutine of run has ended

	mu    sync.Mutex
	state *fsm.Holder
}

// HoldLease starts to acquire a lease, and renews it from then on. The caller ends that by Release.
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

// FencingToken returns the lease's fencing token, and false while it is not held. What the lease protects
// is to be given the token, and rejects any lower than it has seen.
func (l *HeldLease) FencingToken() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Holds(l.now())
}

// Deadline is when the lease ends unless it is renewed. It is in the past while the lease is not held.
func (l *HeldLease) Deadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, held := l.state.Holds(l.now()); !held {
		return time.Now().Add(-time.Nanosecond)
	}
	return l.start.Add(l.state.Deadline())
}

// now is the time on the holder's monotonic clock.
func (l *HeldLease) now() time.Duration { return time.Since(l.start) }

// run sends the requests as they are due, until ctx ends.
func (l *HeldLease) run(ctx context.Context) {
	defer close(l.stopped)
	for {
		l.mu.Lock()
		wait := l.state.NextRequest() - l.now()
		// The command is made before the wait, for the moment at which it will be sent: by then a lease may
		// have expired and has to be acquired anew.
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

// request sends one request and reports its outcome. It waits for half of the TTL at most, so that
// there is time for another before the lease ends.
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

// Release stops renewing and gives the lease back. Where the cluster does not answer before ctx ends, the
// lease ends by its deadline. It is called once.
func (l *HeldLease) Release(ctx context.Context) {
	l.stop()
	<-l.stopped
	l.mu.Lock()
	token, held := l.state.Holds(l.now())
	l.state.Rejected(l.now())
	l.mu.Unlock()
	if held {
		// After an error the lease ends by its deadline.
		_, _ = l.client.Do(ctx, fsm.Command{Op: fsm.Release, Name: l.name, Holder: l.holder, FencingToken: token})
	}
}

package core

import (
	"log/slog"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/invariant"
	"jasperpin/internal/starttime"
)

// Settings are the settings of a pool. They must not change after NewPool.
type Settings struct {
	Balancer       decide.Settings
	Seed           uint64
	Shared         *SharedState // shared with the other pools of the same name; nil for a pool without others
	Upstream       Upstream
	Placer         Placer            // chooses the first attempt's server; nil if the Balancer chooses it
	WatchEndpoints func()            // called when the Balancer starts a watch on discovery; may be nil
	RequestWritten func(class int)   // called when an attempt's last byte is written; may be nil
	ClassNames     []string          // the names of Balancer.Classes, in order; they identify classes in snapshots
	Snapshot       *Snapshot         // snapshot of the pool that this one replaces; may be nil
	Log            *slog.Logger      // nil for no log
	Violations     *invariant.Counts // counts invariant violations; nil for no counts
}

// Pool owns a Balancer, its servers and the open requests. Its methods may be called concurrently.
type Pool struct {
	clock
	settings Settings
	shared   *SharedState

	// endpointMu is held while an endpoint list is applied. It is locked before mu.
	endpointMu sync.Mutex

	mu            sync.Mutex // guards the following fields; held for one event at a time, and never during I/O
	balancer      *decide.Balancer
	unlockActions []func() // run in order after mu is unlocked
	requests      map[decide.RequestID]*OpenRequest
	lastRequestID decide.RequestID
	servers       map[string]*server // servers by name
	serversByID   map[decide.ServerID]*server
	serversAt     map[string][]*server // servers by address; usually one
	startTimes    starttime.Tracker
	fleetPosition FleetPosition // the position that was set last; Until is zero once it has passed
	quotaReleased bool          // another pool or process uses the node's quota
	drainDeadline time.Duration // latest deadline of any request; 0 until a drain begins
	retired       bool          // the pool accepts no further requests
	closed        bool          // timers do nothing any more
	drained       chan struct{} // closed once the pool is retired and no request is open
	delays        Delays
}

// NewPool returns a pool without servers; UpdateEndpoints adds them. The pool must be closed with Close.
func NewPool(settings Settings) *Pool {
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	if settings.Shared == nil {
		settings.Shared = NewSharedState(time.Now())
	}
	pool := &Pool{
		clock:    settings.Shared.clock,
		settings: settings,
		shared:   settings.Shared,
		fleetPosition: FleetPosition{
			Index: settings.Balancer.NodeIndex, Count: settings.Balancer.NodeCount, UnusedQuotaShare: settings.Balancer.UnusedQuotaShare,
		},
		requests:    make(map[decide.RequestID]*OpenRequest),
		servers:     make(map[string]*server),
		serversByID: make(map[decide.ServerID]*server),
		serversAt:   make(map[string][]*server),
		drained:     make(chan struct{}),
	}
	pool.shared.attach(pool)
	pool.handle(eventState, func(now time.Duration) {
		pool.balancer = decide.New(settings.Balancer, settings.Seed, now, effects{pool})
	})
	if settings.Snapshot != nil {
		pool.handle(eventState, func(now time.Duration) {
			pool.restoreStartTimes(now)
		})
	}
	if settings.Placer != nil {
		settings.Placer.Start(pool.handlePlacement)
	}
	return pool
}

// Classes returns the pool's classes of requests. They never change.
func (p *Pool) Classes() []decide.Class { return p.settings.Balancer.Classes }

// handle calls feed, which passes one event to the Balancer, with mu held. After the unlock it runs the actions
// that afterUnlock has queued.
func (p *Pool) handle(kind event, feed func(now time.Duration)) {
	p.mu.Lock()
	began := time.Now()
	now := p.clockTime(began)
	p.expireFleetPosition(now)
	feed(now)
	p.noteLockHold(kind, time.Since(began))
	actions := p.unlockActions
	p.unlockActions = nil
	p.mu.Unlock()
	for _, act := range actions {
		act()
	}
}

// afterUnlock queues an action that must not run with mu held. It is called with mu held.
func (p *Pool) afterUnlock(act func()) { p.unlockActions = append(p.unlockActions, act) }

// Retire makes the pool reject new requests with ErrRetired. Open requests continue to their final answers;
// Drained reports when the last one has ended.
func (p *Pool) Retire() {
	p.handle(eventState, func(time.Duration) {
		if p.retired {
			return
		}
		p.retired = true
		if len(p.requests) == 0 {
			close(p.drained)
		}
	})
}

// Drained returns a channel that is closed once the pool is retired and has no open request and no attempt in
// flight.
func (p *Pool) Drained() <-chan struct{} { return p.drained }

// DrainBy limits the deadlines of open and new requests to t, by which the process ends.
func (p *Pool) DrainBy(t time.Time) {
	p.handle(eventState, func(now time.Duration) {
		p.drainDeadline = p.clockTime(t)
		for id, r := range p.requests {
			if r.deadline > p.drainDeadline {
				r.deadline = p.drainDeadline
				p.balancer.SetDeadline(now, id, r.deadline)
			}
		}
	})
}

// capDeadline limits a deadline to the end of the drain, if a drain has begun.
func (p *Pool) capDeadline(deadline time.Duration) time.Duration {
	if p.drainDeadline > 0 {
		return min(deadline, p.drainDeadline)
	}
	return deadline
}

// Close closes a pool that is no longer used, with its Placer and its Upstream.
func (p *Pool) Close() {
	p.handle(eventState, func(time.Duration) { p.retired, p.closed = true, true })
	p.shared.detach(p)
	if p.settings.Placer != nil {
		p.settings.Placer.Close()
	}
	p.settings.Upstream.Close()
}

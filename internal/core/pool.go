package core

import (
	"log/slog"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/invariant"
	"jasperpin/internal/maintenance"
	"jasperpin/internal/requestid"
	"jasperpin/internal/starttime"
)

// Settings are what a pool is made of. They do not change.
type Settings struct {
	Balancer decide.Settings
	Seed     uint64
	// ClockStart is when the Balancer's clock began. It is one for all pools of a process, so that a step
	// of the wall clock moves none that is made later; the zero time stands for now.
	ClockStart     time.Time
	Upstream       Upstream
	Placer         Placer            // chooses the first attempt's server; nil where the pool decides alone
	WatchEndpoints func()            // called when the Balancer wants discovery watched; may be nil
	RequestWritten func(class int)   // called when an attempt's last byte is written; may be nil
	ClassNames     []string          // the names of Balancer.Classes, by which snapshots find them again
	Snapshot       *Snapshot         // of the pool that this one replaces; may be nil
	Log            *slog.Logger      // nil for none
	Violations     *invariant.Counts // broken invariants; nil for none
}

// Pool owns a Balancer, the servers that it decides about and the requests that are open.
type Pool struct {
	settings   Settings
	clockStart time.Time

	// endpointMu is held while an endpoint list is applied, and taken ahead of mu.
	endpointMu sync.Mutex

	mu            sync.Mutex // guards what follows; held for one event at a time, and over no I/O
	balancer      *decide.Balancer
	unlockActions []func() // run in order once mu is free again
	requests      map[decide.RequestID]*OpenRequest
	lastRequestID decide.RequestID
	requestIDs    *requestid.Registry // the clients' names of requests, and those open in other processes
	servers       map[string]*server  // by name
	serversByID   map[decide.ServerID]*server
	startTimes    starttime.Tracker
	maintenance   *maintenance.Registry
	fleetPosition FleetPosition // as last set; its Until is zero once it has passed
	drainDeadline time.Duration // no request's deadline lies later; 0 until a drain begins
	retired       bool          // takes no further requests
	closed        bool          // its timers do nothing more
	drained       chan struct{} // closed once retired and no request is open
	delays        Delays
}

// NewPool makes a pool that knows no server yet.
func NewPool(settings Settings) *Pool {
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	if settings.ClockStart.IsZero() {
		settings.ClockStart = time.Now()
	}
	p := &Pool{
		settings:    settings,
		clockStart:  settings.ClockStart,
		requests:    make(map[decide.RequestID]*OpenRequest),
		requestIDs:  requestid.New(),
		servers:     make(map[string]*server),
		serversByID: make(map[decide.ServerID]*server),
		maintenance: maintenance.New(),
		drained:     make(chan struct{}),
	}
	p.handle(eventState, func(now time.Duration) {
		p.balancer = decide.New(settings.Balancer, settings.Seed, now, effects{p})
	})
	if settings.Snapshot != nil {
		p.handle(eventState, func(now time.Duration) {
			p.maintenance.Restore(now, settings.Snapshot.Maintenance)
			p.restoreStartTimes(now)
		})
	}
	if settings.Placer != nil {
		settings.Placer.Start(p.placed)
	}
	return p
}

// Classes are the pool's classes of requests. They never change.
func (p *Pool) Classes() []decide.Class { return p.settings.Balancer.Classes }

// clockTime puts a moment on the Balancer's clock: Unix time, so that start times that servers report
// need no conversion, but monotonic, so that a step of the wall clock moves no deadline.
func (p *Pool) clockTime(t time.Time) time.Duration {
	return time.Duration(p.clockStart.UnixNano()) + t.Sub(p.clockStart)
}

// wallTime is the inverse of clockTime.
func (p *Pool) wallTime(t time.Duration) time.Time {
	return p.clockStart.Add(t - time.Duration(p.clockStart.UnixNano()))
}

// handle feeds the Balancer one event under the pool's lock, and carries out what was queued by
// afterUnlock once the lock is free.
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

// afterUnlock queues what must not run under the lock. Called under it.
func (p *Pool) afterUnlock(act func()) { p.unlockActions = append(p.unlockActions, act) }

// Retire has the pool take no further requests. Those that are open end as they would have; Drained says
// when they have.
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

// Drained is closed once a retired pool has no open request and no attempt in flight.
func (p *Pool) Drained() <-chan struct{} { return p.drained }

// DrainBy moves all later deadlines forward to t, those of open requests as well: the process ends by
// then.
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

// capDeadline keeps a deadline before the end of a drain that has begun.
func (p *Pool) capDeadline(deadline time.Duration) time.Duration {
	if p.drainDeadline > 0 {
		return min(deadline, p.drainDeadline)
	}
	return deadline
}

// Close ends a pool that is no longer used, with its Placer and its Upstream.
func (p *Pool) Close() {
	p.handle(eventState, func(time.Duration) { p.retired, p.closed = true, true })
	if p.settings.Placer != nil {
		p.settings.Placer.Close()
	}
	p.settings.Upstream.Close()
}

package planner

import (
	"time"

	"jasperpin/decide"
)

const (
	// syncPeriod is the time after its start for which a planner declines all requests. In this time
	// forwarders connect and report their attempts in flight, and the planner learns the state of the
	// servers from the ends of these attempts.
	syncPeriod = time.Second
	// maxTimerDelay is the longest time without an expired timer, of which the balancer sets ten a
	// second, before the planner concludes that it was paused and resets itself. Without the reset it
	// would mistake attempts that ended during the pause for slow ones, and shed load for seconds.
	maxTimerDelay = 400 * time.Millisecond
	// expiryDelay is the time after the client's deadline for which an attempt without a reported end
	// still counts as in flight, since the report takes time to arrive.
	expiryDelay = 500 * time.Millisecond
	// maxAttemptsInFlight limits the attempts in flight of one forwarder, and so the memory that it can
	// use. Requests beyond the limit are declined.
	maxAttemptsInFlight = 1 << 16
)

// ConnectionID identifies a forwarder's connection. 0 stands for none.
type ConnectionID uint32

// Timer identifies a timer of a Planner.
type Timer struct {
	epoch int // of the balancer that set the timer
	token uint64
}

// PlannerEffects carries out what a Planner decides. Its methods must not call the Planner.
type PlannerEffects interface {
	// Send sends a message to a forwarder.
	Send(to ConnectionID, m Message)
	// SetTimer arranges for a call of TimerFired at a time on the Planner's clock.
	SetTimer(t Timer, at time.Duration)
	// WatchEndpoints has the meaning of decide.Effects.WatchEndpoints.
	WatchEndpoints(on bool)
	// Reset reports that the planner has discarded its state: all connections count as closed, and
	// forwarders must connect again.
	Reset()
	// Log writes a log line for operators.
	Log(text string)
}

// Planner is a planner's state machine for one pool. It tracks the attempts that all forwarders have in
// flight, and places their requests with one decide.Balancer. The balancer sees each attempt as a
// request of its own with a single attempt, since forwarders decide on retries.
//
// All times are on one clock of the caller. A Planner is not safe for concurrent use.
type Planner struct {
	settings decide.Settings
	seed     uint64
	effects  PlannerEffects
	zones    zoneFilter

	now      time.Duration
	balancer *decide.Balancer
	epoch    int           // number of balancers so far
	timerAt  time.Duration // when the last timer expired; reveals a pause
	syncedAt time.Duration // from then on requests are placed
	nextID   decide.RequestID
	nextConn ConnectionID

	forwarders map[ConnectionID]*forwarderState
	attempts   map[decide.RequestID]*attempt
	expiries   []expiry // in the order of time
	placing    *attempt // the attempt that the balancer is placing, or nil
}

// forwarderState is the state of a forwarder's connection. The planner stores the state until the connection is closed and
// none of its attempts is in flight.
type forwarderState struct {
	name     string
	synced   bool // the forwarder has reported all its attempts in flight
	closed   bool // the connection is closed
	inFlight map[attemptKey]*attempt
}

// attemptKey identifies an attempt among those of its forwarder.
type attemptKey struct {
	id     decide.RequestID
	number int
}

// attempt is an attempt that counts as in flight.
type attempt struct {
	key       attemptKey
	id        decide.RequestID // assigned for the balancer
	forwarder *forwarderState
	from      ConnectionID
	server    decide.ServerID // reported by the forwarder or chosen by the balancer; 0 before that
	placed    bool            // whether the balancer has chosen a server
	otherZone bool            // whether the chosen server is in another zone
}

// expiry is the time at which an attempt stops counting as in flight.
type expiry struct {
	at time.Duration
	id decide.RequestID
}

// NewPlanner returns a Planner without servers and forwarders. It uses only the settings of servers and
// classes. A zoned planner places requests on the servers of its own zone, settings.Zone; see
// zoneFilter.
func NewPlanner(settings decide.Settings, zoned bool, seed uint64, now time.Duration, effects PlannerEffects) *Planner {
	settings.NodeIndex, settings.NodeCount, settings.MaxAttempts = 0, 1, 1
	settings.Hedging, settings.CancelAttempts = false, false
	p := &Planner{settings: settings, seed: seed, effects: effects, now: now}
	p.zones = zoneFilter{
		enabled: zoned, zone: settings.Zone,
		slowStartShare: settings.SlowStartShare, slowStartWindow: settings.SlowStartWindow,
	}
	p.reset()
	return p
}

// reset discards all state except the list of servers.
func (p *Planner) reset() {
	p.epoch++
	p.timerAt, p.syncedAt = p.now, p.now+syncPeriod
	p.forwarders = make(map[ConnectionID]*forwarderState)
	p.attempts, p.expiries = make(map[decide.RequestID]*attempt), nil
	p.balancer = decide.New(p.settings, p.seed, p.now, balancerEffects{p})
	if len(p.zones.servers) > 0 {
		p.balancer.UpdateEndpoints(p.now, decide.UpdateCached, p.zones.visible(p.zones.servers))
	}
}

// advance moves the clock forward at the start of each event. It resets a planner that was paused, and
// ends expired attempts.
func (p *Planner) advance(now time.Duration) {
	p.now = max(p.now, now)
	if p.now-p.timerAt > maxTimerDelay {
		p.effects.Log("planner was paused; discarding its state")
		p.reset()
		p.effects.Reset()
		return
	}
	for len(p.expiries) > 0 && p.expiries[0].at <= p.now {
		if a := p.attempts[p.expiries[0].id]; a != nil {
			p.endAttempt(a, decide.Cancelled)
		}
		p.expiries = p.expiries[1:]
	}
}

// TimerFired reports that a timer has expired. Timers of a balancer before the last reset only show that
// the planner is running.
func (p *Planner) TimerFired(now time.Duration, t Timer) {
	p.advance(now)
	p.timerAt = p.now
	if t.epoch == p.epoch {
		p.balancer.TimerFired(p.now, t.token)
	}
	if p.zones.reassess(p.now) {
		p.balancer.UpdateEndpoints(p.now, decide.UpdateFull, p.zones.visible(p.zones.servers))
	}
}

// UpdateEndpoints applies a complete list of servers or a delta.
func (p *Planner) UpdateEndpoints(now time.Duration, kind decide.UpdateKind, servers []decide.Server) {
	p.advance(now)
	if kind != decide.UpdateFailed && p.zones.update(p.now, servers, kind != decide.UpdateDelta) {
		kind, servers = decide.UpdateFull, p.zones.servers
	}
	p.balancer.UpdateEndpoints(p.now, kind, p.zones.visible(servers))
}

// ForwarderConnected adds a forwarder's new connection and returns its ID. The state of earlier
// connections under the same name is discarded, since the forwarder reports its attempts in flight
// again.
func (p *Planner) ForwarderConnected(now time.Duration, name string) ConnectionID {
	p.advance(now)
	for conn, f := range p.forwarders {
		if f.name != name {
			continue
		}
		for _, a := range f.inFlight {
			p.endAttempt(a, decide.Cancelled)
		}
		delete(p.forwarders, conn)
	}
	p.nextConn++
	p.forwarders[p.nextConn] = &forwarderState{name: name, inFlight: make(map[attemptKey]*attempt)}
	return p.nextConn
}

// ForwarderDisconnected reports that a forwarder's connection is closed. Its attempts may still run on
// the servers, and count as in flight until their expiry.
func (p *Planner) ForwarderDisconnected(now time.Duration, from ConnectionID) {
	p.advance(now)
	if f := p.forwarders[from]; f != nil {
		f.closed = true
		p.removeIfIdle(from, f)
	}
}

// removeIfIdle removes the state of a closed connection that has no attempt in flight.
func (p *Planner) removeIfIdle(from ConnectionID, f *forwarderState) {
	if f.closed && len(f.inFlight) == 0 && p.forwarders[from] == f {
		delete(p.forwarders, from)
	}
}

// Receive handles a forwarder's message. Messages from unknown or closed connections, and messages of
// kinds that only planners send, are ignored.
func (p *Planner) Receive(now time.Duration, from ConnectionID, message Message) {
	p.advance(now)
	f := p.forwarders[from]
	if f == nil || f.closed {
		return
	}
	switch message.Kind {
	case KindSynced:
		f.synced = true
	case KindPlace:
		p.place(f, from, message)
	case KindAttemptSent:
		key := attemptKey{message.ID, message.Attempt}
		if f.inFlight[key] == nil && len(f.inFlight) < maxAttemptsInFlight && message.Server != 0 {
			p.addAttempt(f, from, key, message, message.Server)
		}
	case KindAttemptEnded:
		if a := f.inFlight[attemptKey{message.ID, message.Attempt}]; a != nil {
			p.endAttempt(a, message.Result)
		}
	}
}

// place answers a KindPlace message with a server, or declines.
func (p *Planner) place(f *forwarderState, from ConnectionID, m Message) {
	key := attemptKey{m.ID, 0}
	ready := f.synced && p.now >= p.syncedAt
	if !ready || f.inFlight[key] != nil || len(f.inFlight) >= maxAttemptsInFlight {
		p.decline(from, m.ID)
		return
	}
	p.addAttempt(f, from, key, m, 0)
}

func (p *Planner) decline(from ConnectionID, id decide.RequestID) {
	p.effects.Send(from, Message{Kind: KindDeclined, ID: id})
}

// AttemptsInFlight returns the number of attempts in flight over all forwarders.
func (p *Planner) AttemptsInFlight() int { return len(p.attempts) }

// Forwarders returns the number of open forwarder connections.
func (p *Planner) Forwarders() (n int) {
	for _, f := range p.forwarders {
		if !f.closed {
			n++
		}
	}
	return n
}

package planner

import (
	"time"

	"jasperpin/decide"
)

const (
	// syncPeriod is how long a planner that starts declines all requests: forwarders connect
	// meanwhile and report what they have in flight, and the ends of these teach it.
	syncPeriod = time.Second
	// maxTimerDelay is the time without one of its timers, of which the balancer sets ten a second,
	// after which a planner was paused. Attempts that ended meanwhile it would take for slow ones, and
	// shed load for seconds.
	maxTimerDelay = 400 * time.Millisecond
	// expiryDelay is how long after its client has given up an attempt still counts whose end was not
	// reported: a report takes a while to arrive.
	expiryDelay = 500 * time.Millisecond
	// maxAttemptsInFlight bounds the attempts of one forwarder that count, and so the memory that it
	// can take; requests beyond are declined.
	maxAttemptsInFlight = 1 << 16
)

// ConnectionID is a forwarder's connection. 0 stands for none.
type ConnectionID uint32

// Timer is a timer of a Planner.
type Timer struct {
	epoch int // of the balancer that set it
	token uint64
}

// PlannerEffects carries out what a Planner decides. Its methods must not call the Planner.
type PlannerEffects interface {
	// Send sends a message to a forwarder.
	Send(to ConnectionID, m Message)
	// SetTimer has TimerFired called at a time on the Planner's clock.
	SetTimer(t Timer, at time.Duration)
	// WatchEndpoints is that of decide.Effects.
	WatchEndpoints(on bool)
	// Reset says that the planner has begun anew: all connections count as closed, and forwarders
	// are to connect again.
	Reset()
	// Log writes a line of what operators should know.
	Log(text string)
}

// Planner is a planner's state machine for one pool. It counts the attempts that all forwarders have
// in flight, and places their requests with one decide.Balancer. To that each attempt is a request
// of its own with one attempt, since what follows a failed one is its forwarder's affair.
//
// Times are on one clock of the caller's. A Planner is not safe for concurrent use.
type Planner struct {
	settings decide.Settings
	seed     uint64
	effects  PlannerEffects
	zones    zoneFilter

	now      time.Duration
	balancer *decide.Balancer
	epoch    int           // counts balancers
	timerAt  time.Duration // of the last timer, by which a pause shows
	syncedAt time.Duration // when requests are placed
	nextID   decide.RequestID
	nextConn ConnectionID

	forwarders map[ConnectionID]*forwarderState
	attempts   map[decide.RequestID]*attempt
	expiries   []expiry // by time
	placing    *attempt // that the balancer is being asked about, or nil
}

// forwarderState is a forwarder's connection, from its start until none of its attempts counts.
type forwarderState struct {
	name     string
	synced   bool // it has reported all that was in flight
	closed   bool // the connection
	inFlight map[attemptKey]*attempt
}

// attemptKey is the name of an attempt at its forwarder.
type attemptKey struct {
	id     decide.RequestID
	number int
}

// attempt is an attempt that counts as in flight.
type attempt struct {
	key       attemptKey
	id        decide.RequestID // the balancer's
	forwarder *forwarderState
	from      ConnectionID
	server    decide.ServerID // reported by the forwarder or chosen by the balancer; 0 before that
	placed    bool            // the balancer has chosen a server
	otherZone bool            // that server is in another zone
}

// expiry is the time at which an attempt counts no more.
type expiry struct {
	at time.Duration
	id decide.RequestID
}

// NewPlanner returns a Planner that knows no server and no forwarder. Of the settings it uses those
// of servers and classes. A zoned planner places requests on the servers of its zone, settings.Zone:
// see zoneFilter.
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

// reset begins anew with nothing but the list of servers.
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

// advance moves the clock, at the beginning of each event: it resets a planner that was paused, and
// ends attempts that have expired.
func (p *Planner) advance(now time.Duration) {
	p.now = max(p.now, now)
	if p.now-p.timerAt > maxTimerDelay {
		p.effects.Log("the planner was paused and begins anew")
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

// TimerFired says that the time of a timer has come. Timers of a balancer before the last reset do
// nothing but show that time passes.
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

// UpdateEndpoints takes a list of servers, or changes of it.
func (p *Planner) UpdateEndpoints(now time.Duration, kind decide.UpdateKind, servers []decide.Server) {
	p.advance(now)
	if kind != decide.UpdateFailed && p.zones.update(p.now, servers, kind != decide.UpdateDelta) {
		kind, servers = decide.UpdateFull, p.zones.servers
	}
	p.balancer.UpdateEndpoints(p.now, kind, p.zones.visible(servers))
}

// ForwarderConnected takes a forwarder's new connection. What was known of earlier ones under its name is
// forgotten: it reports what it has in flight now.
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

// ForwarderDisconnected says that a forwarder's connection has ended. Its attempts go on at the servers, and count
// until their clients give up.
func (p *Planner) ForwarderDisconnected(now time.Duration, from ConnectionID) {
	p.advance(now)
	if f := p.forwarders[from]; f != nil {
		f.closed = true
		p.forgetIfIdle(from, f)
	}
}

// forgetIfIdle forgets a closed connection of which no attempt counts.
func (p *Planner) forgetIfIdle(from ConnectionID, f *forwarderState) {
	if f.closed && len(f.inFlight) == 0 && p.forwarders[from] == f {
		delete(p.forwarders, from)
	}
}

// Receive takes a forwarder's message. Messages of unknown or closed connections, and those of kinds
// that planners send, are ignored.
func (p *Planner) Receive(now time.Duration, from ConnectionID, m Message) {
	p.advance(now)
	f := p.forwarders[from]
	if f == nil || f.closed {
		return
	}
	switch m.Kind {
	case KindSynced:
		f.synced = true
	case KindPlace:
		p.place(f, from, m)
	case KindAttemptSent:
		key := attemptKey{m.ID, m.Attempt}
		if f.inFlight[key] == nil && len(f.inFlight) < maxAttemptsInFlight && m.Server != 0 {
			p.addAttempt(f, from, key, m, m.Server)
		}
	case KindAttemptEnded:
		if a := f.inFlight[attemptKey{m.ID, m.Attempt}]; a != nil {
			p.endAttempt(a, m.Result)
		}
	}
}

// place answers a forwarder's question with a server, or declines.
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

// AttemptsInFlight returns the number of attempts that count as in flight.
func (p *Planner) AttemptsInFlight() int { return len(p.attempts) }

// Forwarders returns the number of open connections.
func (p *Planner) Forwarders() (n int) {
	for _, f := range p.forwarders {
		if !f.closed {
			n++
		}
	}
	return n
}

package planner

import (
	"slices"
	"time"

	"jasperpin/decide"
)

// Tuning of a planner.
const (
	// settleFor is how long a planner that starts hands everything back: forwarders
	// connect meanwhile and tell it what is out, and their attempts teach it.
	settleFor = time.Second
	// staleAfter: a planner that heard nothing, its own clock's ticks among it, for
	// so long was paused. What ended meanwhile it would take for slow, and shed for
	// seconds; it begins anew instead.
	staleAfter = 400 * time.Millisecond
	// fadeAfter the time at which its client has given up, an attempt of which no
	// end was told counts no more.
	fadeAfter = 500 * time.Millisecond
	// shortOf is the part of the zones' mean size below which one is short of servers,
	// as one that has lost some, or has them cold.
	shortOf = 0.95
	// seeEvery is how often that is looked into: servers grow warm meanwhile.
	seeEvery = time.Second
	// maxOut bounds the attempts that one forwarder may have counted.
	maxOut = 1 << 16
)

// Source is a forwarder's connection.
type Source uint32

// Timer is a time that a Planner wants to be called at.
type Timer struct {
	life  int // of the balancer that set it
	token uint64
}

// PlannerEffects carries out what a Planner decides. Methods must not call back.
type PlannerEffects interface {
	Tell(to Source, m Message)
	SetTimer(t Timer, at time.Duration)
	WatchEndpoints(on bool) // as decide.Effects
	// Reset says that the planner has begun anew: all sources are gone, and
	// forwarders are to connect again.
	Reset()
	Log(text string)
}

// Planner holds what the forwarders of one pool have out, and places their
// requests by one decide.Balancer. It treats each attempt as a request of its own:
// what follows a failed one is its forwarder's affair.
type Planner struct {
	set     decide.Settings
	seed    uint64
	out     PlannerEffects
	now     time.Duration
	life    int
	b       *decide.Balancer
	heard   time.Duration
	settled time.Duration
	list    []decide.Server // the last whole one, with what came since
	zoned   bool            // requests go to servers of the planner's own zone
	short   bool            // which has few of them: the balancer is told of all
	seen    time.Duration   // when that was last looked into

	lastSource Source
	sources    map[Source]*source
	last       decide.RequestID
	byID       map[decide.RequestID]*belief
	overdue    []overdue // by time
	current    *belief   // that the balancer is being asked about
}

// source is a forwarder, from its first connection on for as long as anything of
// it counts.
type source struct {
	name   string
	synced bool
	gone   bool
	out    map[place]*belief
}

// place is an attempt's name at its forwarder.
type place struct {
	id      decide.RequestID
	attempt int
}

// belief is an attempt that is believed to be out.
type belief struct {
	place
	id     decide.RequestID // the balancer's
	source *source
	from   Source
	to     decide.ServerID // where it is, as the forwarder says; 0 where it asks
	sent   bool            // the balancer has placed it
	away   bool            // in another zone
}

type overdue struct {
	at time.Duration
	id decide.RequestID
}

// NewPlanner makes one that knows no server and no forwarder. Of the settings it
// takes what concerns servers and classes.
//
// A zoned planner places requests on its own zone's servers. Told of all, it would
// spread the work of a busy zone over the others, where no server has met its keys,
// and all zones together do less for it. Where its zone is short of servers it is told
// of all nevertheless, and hands back what the balancer would send to another zone.
func NewPlanner(set decide.Settings, zoned bool, seed uint64, now time.Duration, out PlannerEffects) *Planner {
	set.NodeIndex, set.NodeCount, set.MaxAttempts = 0, 1, 1
	set.Hedging, set.CancelAttempts = false, false
	p := &Planner{set: set, zoned: zoned, seed: seed, out: out, now: now}
	p.begin()
	return p
}

// begin starts with no memory but the list of servers.
func (p *Planner) begin() {
	p.life++
	p.heard, p.settled = p.now, p.now+settleFor
	p.sources, p.byID, p.overdue = make(map[Source]*source), make(map[decide.RequestID]*belief), nil
	p.b = decide.New(p.set, p.seed, p.now, balancerEffects{p})
	if len(p.list) > 0 {
		p.b.UpdateEndpoints(p.now, decide.UpdateCached, p.told(p.list))
	}
}

// event is the beginning of every event.
func (p *Planner) event(now time.Duration) {
	p.now = max(p.now, now)
	if p.now-p.heard > staleAfter {
		p.out.Log("the planner was paused and begins anew")
		p.begin()
		p.out.Reset()
		return
	}
	for len(p.overdue) > 0 && p.overdue[0].at <= p.now {
		if e := p.byID[p.overdue[0].id]; e != nil {
			p.end(e, decide.Cancelled)
		}
		p.overdue = p.overdue[1:]
	}
}

// Timer says that a time set by Wake has come.
func (p *Planner) Timer(now time.Duration, t Timer) {
	p.event(now)
	p.heard = p.now
	if t.life == p.life {
		p.b.TimerFired(p.now, t.token)
	}
	if was := p.short; p.zoned && p.now-p.seen >= seeEvery && p.see() != was {
		p.b.UpdateEndpoints(p.now, decide.UpdateFull, p.told(p.list))
	}
}

// Listed takes news of the servers.
func (p *Planner) Listed(now time.Duration, kind decide.UpdateKind, list []decide.Server) {
	p.event(now)
	if kind != decide.UpdateFailed {
		p.note(list, kind != decide.UpdateDelta)
		if was := p.short; p.see() != was {
			kind, list = decide.UpdateFull, p.list
		}
	}
	p.b.UpdateEndpoints(p.now, kind, p.told(list))
}

// told are the servers of a list that the balancer is told of.
func (p *Planner) told(list []decide.Server) (told []decide.Server) {
	for _, s := range list {
		if !p.zoned || p.short || s.Zone == p.set.Zone {
			told = append(told, s)
		}
	}
	return told
}

// see finds out whether the planner's zone is short of servers. One that is cold
// counts for what it can do by now.
func (p *Planner) see() bool {
	p.seen = p.now
	zones := make(map[int]float64)
	all := 0.0
	for _, s := range p.list {
		if s.State == decide.Ready {
			size := s.Capacity * p.warmth(s)
			zones[s.Zone] += size
			all += size
		}
	}
	p.short = p.zoned && zones[p.set.Zone] < shortOf*all/float64(max(1, len(zones)))
	return p.short
}

// note takes what is listed into the planner's own list, in one pass: each server once, as told last.
func (p *Planner) note(news []decide.Server, whole bool) {
	told := make(map[decide.ServerID]int, len(news))
	for i, s := range news {
		told[s.ID] = i
	}
	if whole {
		p.list = nil
	}
	p.list = slices.DeleteFunc(p.list, func(was decide.Server) bool {
		_, again := told[was.ID]
		return again
	})
	for i, s := range news {
		if told[s.ID] == i && s.State != decide.Gone {
			p.list = append(p.list, s)
		}
	}
}

// warmth is the part of what a server can do that it has by now.
func (p *Planner) warmth(s decide.Server) float64 {
	age := p.now - s.StartedAt
	if s.StartedAt <= 0 || age >= p.set.SlowStartWindow {
		return 1
	}
	return p.set.SlowStartShare + (1-p.set.SlowStartShare)*float64(max(age, 0))/float64(p.set.SlowStartWindow)
}

// Join takes a forwarder's new connection. What it had out under the same name
// before is forgotten: it tells what it has out now.
func (p *Planner) Join(now time.Duration, name string) Source {
	p.event(now)
	for id, s := range p.sources {
		if s.name != name {
			continue
		}
		for _, e := range s.out {
			p.end(e, decide.Cancelled)
		}
		delete(p.sources, id)
	}
	p.lastSource++
	p.sources[p.lastSource] = &source{name: name, out: make(map[place]*belief)}
	return p.lastSource
}

// Leave says that a forwarder's connection has ended. What it has out goes on at the
// servers, and counts until its clients' time is up.
func (p *Planner) Leave(now time.Duration, from Source) {
	p.event(now)
	if s := p.sources[from]; s != nil {
		s.gone = true
		p.tidy(from, s)
	}
}

func (p *Planner) tidy(from Source, s *source) {
	if s.gone && len(s.out) == 0 && p.sources[from] == s {
		delete(p.sources, from)
	}
}

// Take takes a forwarder's message.
func (p *Planner) Take(now time.Duration, from Source, m Message) {
	p.event(now)
	s := p.sources[from]
	if s == nil || s.gone {
		return
	}
	switch m.Kind {
	case Synced:
		s.synced = true
	case Ask:
		at := place{m.ID, 0}
		if !s.synced || p.now < p.settled || s.out[at] != nil || len(s.out) >= maxOut {
			p.out.Tell(from, Message{Kind: Back, ID: m.ID})
			return
		}
		p.arrive(s, from, at, m, 0)
	case Sent:
		at := place{m.ID, m.Attempt}
		if s.out[at] == nil && len(s.out) < maxOut && m.Server != 0 {
			p.arrive(s, from, at, m, m.Server)
		}
	case Ended:
		if e := s.out[place{m.ID, m.Attempt}]; e != nil {
			p.end(e, m.Result)
		}
	}
}

// arrive puts an attempt before the balancer: where it is, or for it to say where.
func (p *Planner) arrive(s *source, from Source, at place, m Message, to decide.ServerID) {
	if m.Class < 0 || m.Class >= len(p.set.Classes) {
		if to == 0 {
			p.out.Tell(from, Message{Kind: Back, ID: m.ID})
		}
		return
	}
	for p.last++; p.byID[p.last] != nil; p.last++ {
	}
	e := &belief{place: at, id: p.last, source: s, from: from, to: to}
	s.out[at], p.byID[e.id] = e, e
	p.current = e
	p.b.Arrive(p.now, decide.Request{
		ID: e.id, Class: m.Class, Key: m.Key, WorkHint: m.Hint, Deadline: p.now + m.Left, ClientRetry: m.Repeat, PlannedServer: to,
	})
	p.current = nil
	switch {
	case e.away:
		p.end(e, decide.Abandoned)
		p.out.Tell(from, Message{Kind: Back, ID: m.ID})
	case !e.sent && to == 0: // no room: the forwarder knows more servers
		p.forget(e)
		p.out.Tell(from, Message{Kind: Back, ID: m.ID})
	case !e.sent:
		p.forget(e) // at a server that is not known here, or not in use
	case to != 0 && to != e.to: // the same, and another was chosen for it
		p.end(e, decide.Abandoned)
	}
}

// end ends an attempt, and with it what the balancer takes for a request. Where all
// servers are full it finds none for the next, and hands that back.
func (p *Planner) end(e *belief, r decide.Result) {
	p.forget(e)
	p.b.AttemptFinished(p.now, decide.Outcome{ID: e.id, Result: r, Final: true})
}

func (p *Planner) forget(e *belief) {
	delete(e.source.out, e.place)
	delete(p.byID, e.id)
	p.tidy(e.from, e.source)
}

// Out counts the attempts that are believed to be out, Forwarders those that are
// connected.
func (p *Planner) Out() int { return len(p.byID) }

// Forwarders counts the connected ones.
func (p *Planner) Forwarders() (n int) {
	for _, s := range p.sources {
		if !s.gone {
			n++
		}
	}
	return n
}

// balancerEffects is decide.Effects.
type balancerEffects struct{ *Planner }

func (p balancerEffects) Send(_ decide.RequestID, to decide.ServerID, _ time.Duration) {
	e := p.current
	if e == nil {
		return // nothing is sent but on arrival: one attempt a request
	}
	if e.sent = true; e.to == 0 && p.elsewhere(to) {
		e.away = true
	} else if e.to == 0 {
		p.out.Tell(e.from, Message{Kind: Plan, ID: e.place.id, Server: to})
	}
	e.to = to
}

// elsewhere says whether a server is in another zone than a zoned planner's.
func (p *Planner) elsewhere(id decide.ServerID) bool {
	return p.zoned && p.short && slices.ContainsFunc(p.list, func(s decide.Server) bool { return s.ID == id && s.Zone != p.set.Zone })
}

func (balancerEffects) Cancel(decide.RequestID, int) {}

func (p balancerEffects) Reject(id decide.RequestID, _ time.Duration) { p.due(id) }
func (p balancerEffects) Fail(id decide.RequestID)                    { p.due(id) }

// due notes a request whose client has given up: its end must be told soon, or
// never will.
func (p balancerEffects) due(id decide.RequestID) {
	if e := p.byID[id]; e != nil && e != p.current {
		p.overdue = append(p.overdue, overdue{p.now + fadeAfter, id})
	}
}

func (p balancerEffects) SetTimer(token uint64, at time.Duration) {
	p.out.SetTimer(Timer{p.life, token}, at)
}

func (p balancerEffects) WatchEndpoints(on bool) { p.out.WatchEndpoints(on) }
func (p balancerEffects) Log(text string)        { p.out.Log(text) }

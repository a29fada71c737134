// Package core is the life of requests, whatever protocol they come and go by.
// A Pool owns one decide.Balancer and the servers that it decides about; it sees
// to it that a request gets one final answer and an attempt one outcome. Fronts
// hand it requests, an Upstream carries its attempts out.
package core

import (
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/invariant"
	"jasperpin/internal/maintenance"
	"jasperpin/internal/requestid"
	"jasperpin/internal/starttime"
)

// Why an attempt was given up: the cause of its context.
var (
	ErrTimedOut  = errors.New("the attempt's time is over")
	ErrCancelled = errors.New("called off")
)

// Why a request was not taken.
var (
	ErrIDInUse = errors.New("a request under this name is open")
	ErrRetired = errors.New("the pool takes nothing any more")
)

// ErrUnknown says that no server of this id is listed.
var ErrUnknown = errors.New("no such server is listed")

// MaxBody is the longest body, either way, in bytes, of a pool that says no other.
// ShortAnswer is the longest answer
// that is read whole before it goes on: until then another attempt may do better.
const (
	MaxBody     = 32 << 20
	ShortAnswer = 64 << 10
)

// LongestUpload bounds how long a request that streams may take until its last byte.
const LongestUpload = 15 * time.Minute

// LongestWait bounds the deadlines taken where the class tells none, and so how
// long a timer may be kept.
const LongestWait = time.Minute

// A request is served with a server's answer, refused (trying again is harmless),
// failed (it may have run), or left by its client, who is owed nothing any more.
const (
	Served Status = iota
	Rejected
	Failed
	ClientLeft
)

// Settings are what a pool is made of.
type Settings struct {
	Balancer decide.Settings
	Seed     uint64
	// Start is when the module's clock began. It is one for all pools of a process, so that a step
	// of the wall clock moves none that is made later; the zero time stands for now.
	Start      time.Time
	Upstream   Upstream
	Placer     Placer            // nil where the pool decides all alone
	Watch      func()            // the module's order to watch discovery; may be nil
	Wrote      func(class int)   // an attempt has been written whole; may be nil
	Classes    []string          // the names of Decide.Classes, for memories
	Snapshot   *Snapshot         // of the pool in whose place this one goes on; may be nil
	Log        *slog.Logger      // nil for none
	Violations *invariant.Counts // of promises; nil for none
}

// Exchange is a request from its last byte to its end.
type Exchange struct {
	*Request
	id       decide.RequestID
	due      time.Duration
	attempts []*attempt
	out      int         // attempts without an outcome
	settled  atomic.Bool // answered, or its client is gone: nothing more is owed; set under the lock
	left     bool        // its client is gone, and nobody else waits
	leftAt   time.Time   // since when
	asking   bool        // the guide has yet to say where it should go
	final    chan Final  // holds one
}

// Pool owns a Balancer. Every event enters through do, under one lock, and the
// module's effects are carried out once the lock is free again.
type Pool struct {
	set   Settings
	start time.Time

	listing sync.Mutex // held while a list is taken, ahead of mu

	mu      sync.Mutex
	b       *decide.Balancer
	todo    []func()
	reqs    map[decide.RequestID]*Exchange
	names   *requestid.Registry // the clients' names of reqs, and those open in other processes
	last    decide.RequestID
	servers map[string]*server
	births  starttime.Book
	byID    map[decide.ServerID]*server
	rota    *maintenance.Registry
	stand   FleetPosition // as it was told last; its Until is zero once it has passed
	endBy   time.Duration // no deadline lies later, where a drain has begun
	retired bool
	closed  bool
	empty   chan struct{} // closed once retired and nothing is held
	delays  Delays
}

// NewPool makes a pool that knows no server yet.
func NewPool(set Settings) *Pool {
	if set.Log == nil {
		set.Log = slog.New(slog.DiscardHandler)
	}
	if set.Start.IsZero() {
		set.Start = time.Now()
	}
	p := &Pool{
		set: set, start: set.Start, empty: make(chan struct{}),
		reqs: make(map[decide.RequestID]*Exchange), names: requestid.New(),
		servers: make(map[string]*server), byID: make(map[decide.ServerID]*server),
		rota: maintenance.New(),
	}
	p.do(eventState, func(now time.Duration) { p.b = decide.New(set.Balancer, set.Seed, now, effects{p}) })
	if set.Snapshot != nil {
		p.do(eventState, func(now time.Duration) {
			p.rota.Restore(now, set.Snapshot.Maintenance)
			p.recallBirths(now)
		})
	}
	if set.Placer != nil {
		set.Placer.Start(p.guided)
	}
	return p
}

// Classes are the pool's classes of requests. They never change.
func (p *Pool) Classes() []decide.Class { return p.set.Balancer.Classes }

// since puts a moment on the module's clock: Unix time, so that born_ms needs no
// conversion, but monotonic, so that a step of the wall clock moves no deadline.
func (p *Pool) since(t time.Time) time.Duration {
	return time.Duration(p.start.UnixNano()) + t.Sub(p.start)
}

// moment is a time of the module's clock.
func (p *Pool) moment(t time.Duration) time.Time {
	return p.start.Add(t - time.Duration(p.start.UnixNano()))
}

// do feeds the Balancer one event and carries out what it decided.
func (p *Pool) do(kind event, event func(now time.Duration)) {
	p.mu.Lock()
	began := time.Now()
	now := p.since(began)
	p.lapse(now)
	event(now)
	p.held(kind, time.Since(began))
	todo := p.todo
	p.todo = nil
	p.mu.Unlock()
	for _, f := range todo {
		f()
	}
}

func (p *Pool) later(f func()) { p.todo = append(p.todo, f) }

// Arrive takes a request, which is owed one final answer from now on. It takes
// none under the name of one that is open: names are new with every request,
// servers and clients tell answers apart by them, and one that is used twice is
// somebody else's.
func (p *Pool) Arrive(q *Request) (*Exchange, error) {
	r := &Exchange{Request: q, final: make(chan Final, 1)}
	var err error
	p.do(eventArrival, func(time.Duration) {
		switch {
		case p.retired:
			err = ErrRetired
			return
		case !p.names.Open(q.ID):
			err = ErrIDInUse
			return
		}
		for p.last++; p.reqs[p.last] != nil; p.last++ {
		}
		r.id, r.due = p.last, p.within(p.since(q.ReceivedAt)+q.Timeout)
		if q.Rest != nil {
			r.due = p.within(p.since(time.Now()) + LongestUpload)
		}
		p.reqs[r.id] = r
		// The module's clock never runs back, and a request that waited to be read
		// has its true deadline all the same.
		now := p.since(time.Now())
		if g := p.set.Placer; g != nil && g.Place(r.decide(0), r.due-now) {
			r.asking = true
			return
		}
		p.b.Arrive(now, r.decide(0))
	})
	if err != nil {
		return nil, err
	}
	return r, nil
}

// within keeps a deadline before the pool's end, where a drain has begun.
func (p *Pool) within(due time.Duration) time.Duration {
	if p.endBy > 0 {
		return min(due, p.endBy)
	}
	return due
}

// guided takes the guide's answer: the server to send a request to, or 0.
func (p *Pool) guided(id decide.RequestID, server decide.ServerID) {
	p.do(eventGuide, func(now time.Duration) {
		r := p.reqs[id]
		if r == nil || !r.asking {
			return
		}
		r.asking = false
		p.b.Arrive(now, r.decide(server))
	})
}

// decide is the request as the module takes it.
func (r *Exchange) decide(planned decide.ServerID) decide.Request {
	return decide.Request{ID: r.id, Class: r.Class, Key: r.Key, WorkHint: r.WorkHint, Deadline: r.due, ClientRetry: r.ClientRetry, Streaming: r.Rest != nil, PlannedServer: planned}
}

// Final brings the request's one answer.
func (r *Exchange) Final() <-chan Final { return r.final }

// Gone ends a request whose client waits for it no more. It says false of one that others may
// wait for, and that goes on.
func (p *Pool) Gone(r *Exchange) (ended bool) {
	p.do(eventClient, func(now time.Duration) { ended = p.gone(now, r) })
	return ended
}

// gone is Gone under the lock. What was not sent yet is not sent any more, whatever the
// settings say of calling off: that is for what is at a server.
func (p *Pool) gone(now time.Duration, r *Exchange) bool {
	if r.left {
		return true
	}
	if r.goesOn() {
		return false
	}
	r.settled.Store(true)
	r.left, r.leftAt = true, time.Now()
	fin := Final{Status: ClientLeft}
	if slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayRun }) {
		fin.Status = Failed // whoever asks for its end is to know
	}
	select {
	case fin := <-r.final:
		p.later(fin.Answer.drop)
	default:
	}
	r.final <- fin
	p.b.ClientDisconnected(now, r.id)
	p.withdraw(r)
	p.release(r)
	return true
}

// dismiss answers a request of which nobody can say whether its client still waits, and begins
// nothing more for it: a refusal where none of it may have run.
func (p *Pool) dismiss(now time.Duration, r *Exchange) {
	if r.settled.Load() || r.goesOn() {
		return
	}
	fin := Final{Status: Rejected}
	if r.mayHaveRun() {
		fin.Status = Failed
	}
	r.settled.Store(true)
	r.final <- fin
	p.b.ClientDisconnected(now, r.id)
	p.withdraw(r)
	p.release(r)
}

// mayHaveRun says whether an attempt is out that has begun, or has ended with no proof that it never ran.
func (r *Exchange) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).mayHaveRun)
}

// goesOn says whether a request goes on whose client has gone. What is out does, where others may
// ask for its end; what has not begun only for others that wait.
func (r *Exchange) goesOn() bool {
	if r.Awaited == nil || !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.begun }) {
		return false
	}
	if r.settled.Load() || r.Awaited() {
		return true
	}
	out := false
	for _, a := range r.attempts {
		switch {
		case a.ended:
		case a.begun:
			out = true
		default:
			a.idle = true
			a.giveUp(ErrCancelled)
		}
	}
	return out
}

// withdraw gives up the attempts of a settled request that have not begun.
func (p *Pool) withdraw(r *Exchange) {
	for _, a := range r.attempts {
		if !a.begun && !a.ended {
			p.later(func() { a.giveUp(ErrCancelled) })
		}
	}
}

// Retire takes nothing more. What is held ends as it would have; Empty tells when.
func (p *Pool) Retire() {
	p.do(eventState, func(time.Duration) {
		if !p.retired {
			p.retired = true
			if len(p.reqs) == 0 {
				close(p.empty)
			}
		}
	})
}

// Empty is closed once a retired pool holds no request and has no attempt out.
func (p *Pool) Empty() <-chan struct{} { return p.empty }

// Close ends a pool that is not used any more.
func (p *Pool) Close() {
	p.do(eventState, func(time.Duration) { p.retired, p.closed = true, true })
	if p.set.Placer != nil {
		p.set.Placer.Close()
	}
	p.set.Upstream.Close()
}

// release forgets a request that owes nothing and waits for nothing.
func (p *Pool) release(r *Exchange) {
	if r.settled.Load() && r.out == 0 && p.reqs[r.id] == r {
		delete(p.reqs, r.id)
		p.names.End(r.ID)
		if p.set.Placer != nil {
			p.set.Placer.RequestClosed(r.id)
		}
		if p.retired && len(p.reqs) == 0 {
			close(p.empty)
		}
	}
}

// DrainBy moves all later deadlines forward, those of requests that are open as well: the
// process ends by then.
func (p *Pool) DrainBy(t time.Time) {
	p.do(eventState, func(now time.Duration) {
		p.endBy = p.since(t)
		for id, r := range p.reqs {
			if r.due > p.endBy {
				r.due = p.endBy
				p.b.SetDeadline(now, id, r.due)
			}
		}
	})
}

// FleetPosition is a node's place in its fleet.
type FleetPosition struct {
	Index, Count  int
	WithheldShare float64   // of its part of bounds over all nodes, 0 to 1
	Until         time.Time // from then on all of it; the zero time stands for no end
}

// SetFleetPosition takes the node's place in its fleet, which may change at any time.
func (p *Pool) SetFleetPosition(s FleetPosition) {
	p.do(eventState, func(time.Duration) {
		p.b.SetFleetPosition(s.Index, s.Count, s.WithheldShare)
		p.stand = s
	})
}

// lapse withholds the node's part once its time is over, before anything is decided: a process that
// was stopped for a while goes on with nothing.
func (p *Pool) lapse(now time.Duration) {
	if !p.stand.Until.IsZero() && now >= p.since(p.stand.Until) {
		p.stand.Until = time.Time{}
		p.b.SetFleetPosition(p.stand.Index, p.stand.Count, 1)
	}
}

// effects is decide.Effects; each method is called under the lock.
type effects struct{ *Pool }

func (p effects) Reject(id decide.RequestID, retryAfter time.Duration) {
	p.explain(id, "refused")
	p.settle(id, Final{Status: Rejected, RetryAfter: retryAfter})
}

func (p effects) Fail(id decide.RequestID) {
	p.explain(id, "failed")
	p.settle(id, Final{Status: Failed})
}

func (p *Pool) settle(id decide.RequestID, fin Final) {
	if r := p.reqs[id]; r != nil && !r.settled.Load() {
		r.settled.Store(true)
		r.final <- fin
		p.withdraw(r)
		p.release(r)
	}
}

func (p effects) SetTimer(token uint64, at time.Duration) {
	time.AfterFunc(at-p.since(time.Now()), func() {
		late := p.since(time.Now()) - at
		p.do(eventTimer, func(now time.Duration) {
			if !p.closed { // a timer of the module sets the next one, for ever
				p.late(late)
				p.b.TimerFired(now, token)
			}
		})
	})
}

func (p effects) WatchEndpoints(on bool) {
	if on && p.set.Watch != nil {
		p.set.Watch()
	}
}

func (p effects) Log(text string) { p.later(func() { p.set.Log.Info(text) }) }

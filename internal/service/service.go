// Package service holds what a node serves: the route table, the services with
// their limits, and the pools behind them. Fronts of any protocol ask it where a
// request goes and whether there is room; a new configuration takes effect here.
package service

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/figures"
	"jasperpin/internal/keys"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// ErrNoRoute says that no service takes such requests.
var ErrNoRoute = errors.New("no route")

// Pool is a pool under its name, as the configuration has it.
type Pool struct {
	*core.Pool
	Name    string
	Plain   bool  // speaks HTTP at large
	Body    int64 // the longest body, either way, in bytes
	classes map[string]int
	counts  []*figures.Class // by class
	own     *owned
	line    *line // kept by the pool's name, as its budgets are
}

// Class gives a class's position by its name, as it is or as a path has it.
func (p *Pool) Class(name string) (int, bool) {
	i, ok := p.classes[name]
	if !ok {
		if plain, err := url.PathUnescape(name); err == nil {
			i, ok = p.classes[plain]
		}
	}
	return i, ok
}

// Counts are the figures of a class by its position.
func (p *Pool) Counts(class int) *figures.Class { return p.counts[class] }

// Service is a service under its name.
type Service struct {
	Name         string
	TenantHeader string // canonical; "" where tenants are not told apart
	line         *line
}

// Target is where a request goes.
type Target struct {
	*Service
	*Pool
	Class string
	Keyed *Keyed // nil where no keys of the class are kept here
}

// Keyed is what is done about the keys of a class.
type Keyed struct {
	*keys.Holder
	config.KeyRule
	Name string // of the class among those of all pools
}

// table is one configuration in force. It never changes.
type table struct {
	routes   *route.Table
	services map[string]*Service
	pools    map[string]*Pool
	keyed    map[string]*Keyed // by config.KeyClass; nil where there are none
	only     *Target           // where everything goes, where there is no choice
}

// Find finds where a request goes by its Host header and what else the query
// tells. Its error is ErrNoRoute, or tells what is wrong with host or path.
func (s *Set) Find(host string, q route.Query) (Target, error) {
	t := s.now.Load()
	if t.only != nil {
		target := *t.only
		target.Class = route.Class(q.Path)
		return target, nil
	}
	if q.Pick == 0 {
		q.Pick = rand.Uint64()
	}
	m, ok, err := t.routes.Find(host, q)
	if err != nil {
		return Target{}, err
	}
	if !ok {
		return Target{}, ErrNoRoute
	}
	target := Target{Service: t.services[m.Rule.Service], Pool: t.pools[m.Pool], Class: m.Class}
	if t.keyed != nil {
		target.Keyed = t.keyed[config.KeyClass(m.Pool, m.Class)]
	}
	return target, nil
}

// Refusal says that a request was not let in, and when to come back, if known.
type Refusal struct {
	Tenant     bool // the tenant asks for more than it may
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	if r.Tenant {
		return "the tenant's limit is reached"
	}
	return "the limit is reached"
}

// Ask is what a request wants to be let in with.
type Ask struct {
	Tenant string
	Bytes  int       // of its body
	Due    time.Time // when its client's time is up
}

// Pass lets one request in, from Enter to Leave.
type Pass struct {
	set    *Set
	target Target
	tenant string
	need   need
}

// Enter lets a request in or refuses it with a *Refusal; it may wait in its
// service's line and then in its pool's for as long as these let it, or until the
// context ends. With the request are taken the goroutines of all its attempts and
// room for an answer, so that none fails for want of them.
func (s *Set) Enter(ctx context.Context, t Target, ask Ask) (*Pass, error) {
	p := &Pass{set: s, target: t}
	if s.budgets == nil {
		return p, nil
	}
	name, err := t.Service.line.enter(ctx, s.clock(), ask.Tenant, ask.Due)
	if err != nil {
		return nil, s.bound(t, err)
	}
	p.tenant = name
	p.need = need{requests: 1, held: ask.Bytes + core.ShortAnswer, goroutines: 1 + t.Pool.own.attempts}
	// The budgets come before the pool's line: who waits there holds a body.
	if !s.budgets.take(t.Pool.Name, p.need) {
		t.Service.line.leave(name)
		return nil, s.bound(t, &Refusal{RetryAfter: t.Pool.own.retry})
	}
	if _, err := t.Pool.line.enter(ctx, s.clock(), limit.Others, ask.Due); err != nil {
		s.budgets.give(t.Pool.Name, p.need)
		t.Service.line.leave(name)
		return nil, s.bound(t, err)
	}
	return p, nil
}

// Refusal refuses with a wait within what the pool's settings allow.
func (t Target) Refusal(wait time.Duration) *Refusal {
	return &Refusal{RetryAfter: min(wait, t.Pool.own.retry)}
}

// bound keeps a refusal's wait within what the pool's settings allow.
func (s *Set) bound(t Target, err error) error {
	if r, ok := err.(*Refusal); ok {
		r.RetryAfter = min(r.RetryAfter, t.Pool.own.retry)
	}
	return err
}

// End says how the request of a pass did, as far as it tells of its pool.
type End uint8

// Void tells nothing: the client was at fault, or did not wait.
const (
	Void End = iota
	Served
	Unserved
)

// Leave ends a pass.
func (p *Pass) Leave(end End) {
	if p.set.budgets == nil {
		return
	}
	p.target.Pool.line.leave(limit.Others)
	p.set.budgets.give(p.target.Pool.Name, p.need)
	p.target.Service.line.leave(p.tenant)
	if end != Void {
		p.set.ended(p.target.Pool.own, end == Served)
	}
}

// health is how a pool's requests end.
type health struct {
	mu sync.Mutex
	limit.Health
	trouble bool
}

// ended notes how a request did, and tells the budgets of a pool's trouble.
func (s *Set) ended(o *owned, served bool) {
	h := &o.health
	h.mu.Lock()
	was := h.trouble
	h.trouble = h.Saw(s.clock(), served)
	is := h.trouble
	h.mu.Unlock()
	if is == was {
		return
	}
	s.trouble(o.name, is)
	s.log.Info("pool in trouble", "pool", o.name, "trouble", is)
}

func (s *Set) trouble(pool string, is bool) {
	s.budgets.trouble(pool, is)
	s.room.Trouble(pool, is)
}

func (s *Set) clock() time.Duration { return time.Since(s.start) }

// Set is all that a node serves.
type Set struct {
	Figures *figures.Board

	log     *slog.Logger
	start   time.Time
	now     atomic.Pointer[table]
	room    Room
	budgets *budgets // nil where one pool has all to itself
	make    MakeUpstream
	guide   MakeGuide // nil where pools decide alone

	mu    sync.Mutex // one configuration at a time
	cfg   *config.Config
	keys  *keys.Holder           // from the first configuration on that has keys
	known map[string]core.Memory // of the process before, until the first Apply
	endBy time.Time
	stand *core.Standing  // nil where the configuration says it
	old   map[*owned]bool // pools that drain
}

// Room is where connections to servers are counted.
type Room interface {
	Configure(total int, guarantees map[string]int) error
	Trouble(pool string, on bool)
}

// MakeUpstream makes a pool's upstream.
type MakeUpstream func(p *config.Pool) core.Upstream

// MakeGuide makes a pool's guide.
type MakeGuide func(p *config.Pool) core.Guide

// New makes a set of what a configuration names. Guide may be nil; known is what another
// process's pools knew, if there was one.
func New(cfg *config.Config, room Room, upstream MakeUpstream, guide MakeGuide, known map[string]core.Memory, board *figures.Board, log *slog.Logger) (*Set, error) {
	s := &Set{Figures: board, log: log, start: time.Now(), room: room, make: upstream, guide: guide, known: known, old: make(map[*owned]bool)}
	if cfg.Budgets {
		s.budgets = newBudgets()
	}
	s.now.Store(&table{})
	if err := s.Apply(cfg); err != nil {
		return nil, err
	}
	return s, nil
}

// Apply puts a configuration in force, or changes nothing and says why. A pool
// that did not change keeps all it has learned; one that did, or that is gone,
// takes nothing more, and what it holds ends there.
func (s *Set) Apply(cfg *config.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	routes, err := cfg.Table()
	if err != nil {
		return fmt.Errorf("applying a configuration: %w", err)
	}
	if err := s.share(cfg, cfg.Limits); err != nil {
		return fmt.Errorf("applying a configuration: %w", err)
	}
	keyed, err := s.keep(cfg)
	if err != nil {
		return fmt.Errorf("applying a configuration: %w", err)
	}
	was := s.now.Load()
	next := &table{keyed: keyed, routes: routes, services: make(map[string]*Service), pools: make(map[string]*Pool)}
	for i := range cfg.Pools {
		c := &cfg.Pools[i]
		old := was.pools[c.Name]
		if old != nil {
			old.line.configure(c.Gate)
		}
		if old != nil && old.own.update(c) {
			next.pools[c.Name] = old
			continue
		}
		var known *core.Memory
		if m, ok := s.known[c.Name]; ok && old == nil {
			known = &m // of the process before
		}
		if old != nil {
			m := old.Memory()
			known = &m
		}
		p := s.begin(c, cfg.Seed, old, known)
		if p.line = newLine(c.Gate); old != nil {
			p.line = old.line // who is in the old one still counts
		}
		next.pools[c.Name] = p
		if s.budgets != nil {
			s.trouble(c.Name, false) // the one before may have been
		}
	}
	for i := range cfg.Services {
		c := &cfg.Services[i]
		next.services[c.Name] = was.services[c.Name].configure(c)
	}
	if !cfg.Budgets && len(cfg.Pools) == 1 && len(cfg.Services) == 1 {
		next.only = &Target{Service: next.services[cfg.Services[0].Name], Pool: next.pools[cfg.Pools[0].Name]}
	}
	s.cfg, s.known = cfg, nil
	s.now.Store(next)
	for name, p := range was.pools {
		if next.pools[name] != p {
			s.retire(p)
		}
	}
	return nil
}

// keep has keys kept as a configuration says. Called under the lock.
func (s *Set) keep(cfg *config.Config) (map[string]*Keyed, error) {
	set, any := cfg.KeySettings()
	if !any {
		return nil, nil
	}
	if s.keys == nil {
		h, err := keys.New(keys.Options{Bounds: set, File: cfg.Keys.Durable, Log: s.log})
		if err != nil {
			return nil, err
		}
		s.keys = h
		s.Figures.Keys(h)
	} else if err := s.keys.Configure(set); err != nil {
		return nil, err
	}
	keyed := make(map[string]*Keyed)
	for i := range cfg.Pools {
		for class, rule := range cfg.Pools[i].Keys {
			name := config.KeyClass(cfg.Pools[i].Name, class)
			keyed[name] = &Keyed{s.keys, rule, name}
		}
	}
	return keyed, nil
}

// share lays out what the pools share. Called under the lock.
func (s *Set) share(cfg *config.Config, m limit.Machine) error {
	guarantees := func(total int) map[string]int {
		g := cfg.Guarantees(total)
		for name := range s.now.Load().pools {
			g[name] += 0 // what drains still connects, but is guaranteed nothing
		}
		for o := range s.old {
			g[o.name] += 0
		}
		return g
	}
	conns := m.Conns()
	if err := s.room.Configure(conns, guarantees(conns)); err != nil {
		return fmt.Errorf("connections: %w", err)
	}
	if s.budgets == nil {
		return nil
	}
	return s.budgets.configure(m, guarantees)
}

// configure gives the service under a new configuration. Who is in and who waits
// stay; one that was not there, or whose tenants are told apart by another header,
// begins anew.
func (s *Service) configure(c *config.Service) *Service {
	if s == nil || s.TenantHeader != c.TenantHeader {
		return &Service{Name: c.Name, TenantHeader: c.TenantHeader, line: newLine(c.Gate)}
	}
	s.line.configure(c.Gate)
	return s
}

// retire lets a pool end what it holds and closes it then. Called under the lock.
func (s *Set) retire(p *Pool) {
	p.Retire()
	if !s.endBy.IsZero() {
		p.DrainBy(s.endBy)
	}
	s.old[p.own] = true
	s.log.Info("pool drains", "pool", p.Name)
	go func() {
		<-p.Empty()
		p.own.end()
		s.mu.Lock()
		delete(s.old, p.own)
		s.mu.Unlock()
		s.log.Info("pool drained", "pool", p.Name)
	}()
}

// DrainBy moves all later deadlines forward: the process ends by then.
func (s *Set) DrainBy(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endBy = t
	s.each(func(p *core.Pool) { p.DrainBy(t) })
}

// Stand tells all pools, and those to come, of the node's place in its fleet.
func (s *Set) Stand(st core.Standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stand = &st
	s.each(func(p *core.Pool) { p.Stand(st) })
}

// each does something to all pools, those that drain too. The lock is held.
func (s *Set) each(do func(*core.Pool)) {
	for _, p := range s.now.Load().pools {
		do(p.Pool)
	}
	for o := range s.old {
		do(o.pool)
	}
}

// Resize lays what the pools share out anew, for other limits of the machine. What is
// held stays held until it is given back.
func (s *Set) Resize(m limit.Machine) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share(s.cfg, m)
}

// Memory is what the pools in force know, by name.
func (s *Set) Memory() map[string]core.Memory {
	m := make(map[string]core.Memory)
	for name, p := range s.now.Load().pools {
		m[name] = p.Memory()
	}
	return m
}

// Pools are the pools in force, by name.
func (s *Set) Pools() map[string]*Pool { return s.now.Load().pools }

// Close ends all pools. No request may be open.
func (s *Set) Close() {
	s.mu.Lock()
	pools := s.now.Load().pools
	old := make([]*owned, 0, len(s.old))
	for o := range s.old {
		old = append(old, o)
	}
	s.mu.Unlock()
	for _, p := range pools {
		p.own.end()
	}
	for _, o := range old {
		o.end()
	}
	if s.keys != nil {
		s.keys.Close()
	}
}

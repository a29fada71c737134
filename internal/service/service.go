// Package service holds what a node serves: the route table, the services with
// their limits, and the pools behind them. Fronts of any protocol ask it where a
// request goes and whether there is room; a new configuration takes effect here.
package service

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/idempotency/store"
	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
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
	counts  []*metrics.Class // by class
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
func (p *Pool) Counts(class int) *metrics.Class { return p.counts[class] }

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
	*store.Holder
	config.KeyRule
	Name string // of the class among those of all pools
}

// table is one configuration in force. It never changes, and the next one shares with it what is
// the same.
type table struct {
	routes   *route.Table
	services byName[*Service]
	pools    byName[*member]
	only     *Target // where everything goes, where there is no choice
}

// member is a pool with what is done about the keys of its classes.
type member struct {
	*Pool
	keyed map[string]*Keyed // nil where there are none
}

// byName is a map that is changed at the cost of what differs. Readers need no lock.
type byName[T any] struct{ tree *iradix.Tree[T] }

func newByName[T any]() byName[T] { return byName[T]{iradix.New[T]()} }

// get gives what has a name, or T's zero value.
func (m byName[T]) get(name string) T {
	v, _ := m.tree.Root().Get([]byte(name))
	return v
}

// all are what has a name, in the order of names.
func (m byName[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		m.tree.Root().Walk(func(_ []byte, v T) bool { return !yield(v) })
	}
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
	p := t.pools.get(m.Pool)
	return Target{Service: t.services.get(m.Rule.Service), Pool: p.Pool, Class: m.Class, Keyed: p.keyed[m.Class]}, nil
}

// Refusal says that a request was not let in, and when to come back, if known.
type Refusal struct {
	Tenant     bool // the tenant asks for more than it may
	Reason     Reason
	RetryAfter time.Duration
}

// Reason says for the log what a request was not let in for.
type Reason string

// What a request may not be let in for. The budgets' kinds are reasons of their own.
const (
	ReasonTenant  Reason = "the tenant's limits"
	ReasonCrowded Reason = "the limits of the service or the pool: the line is full"
	ReasonWaited  Reason = "the limits of the service or the pool: it has waited in line for as long as it may"
	ReasonKeys    Reason = "no room for its key"
	ReasonEnding  Reason = "the node ends"
)

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
	if short, ok := s.budgets.take(t.Pool.Name, p.need); !ok {
		t.Service.line.leave(name)
		return nil, s.bound(t, &Refusal{Reason: short, RetryAfter: t.Pool.own.retry})
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
	return &Refusal{Reason: ReasonKeys, RetryAfter: min(wait, t.Pool.own.retry)}
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
	Figures *metrics.Registry

	log     *slog.Logger
	start   time.Time
	now     atomic.Pointer[table]
	room    ConnectionLimiter
	budgets *budgets // nil where one pool has all to itself
	make    NewUpstream
	guide   NewPlacer // nil where pools decide alone

	mu       sync.Mutex // one configuration at a time
	limits   limit.Machine
	seed     uint64
	share    float64       // the guaranteed part of pools that name none
	keys     *store.Holder // from the first configuration on that has keys
	keyTerms config.Keys
	known    map[string]core.Snapshot // of the process before, until there are pools
	endBy    time.Time
	stand    *core.FleetPosition // nil where the configuration says it
	old      map[*owned]bool     // pools that drain
}

// ConnectionLimiter is where connections to servers are counted.
type ConnectionLimiter interface {
	Configure(total int, guarantees map[string]int) error
	Trouble(pool string, on bool)
}

// NewUpstream makes a pool's upstream.
type NewUpstream func(p *config.Pool) core.Upstream

// NewPlacer makes a pool's guide.
type NewPlacer func(p *config.Pool) core.Placer

// New makes a set of what a configuration names. Guide may be nil; known is what another
// process's pools knew, if there was one.
func New(cfg *config.Config, room ConnectionLimiter, upstream NewUpstream, guide NewPlacer, known map[string]core.Snapshot, board *metrics.Registry, log *slog.Logger) (*Set, error) {
	s := &Set{Figures: board, log: log, start: time.Now(), room: room, make: upstream, guide: guide, known: known, old: make(map[*owned]bool)}
	if cfg.Budgets {
		s.budgets = newBudgets()
	}
	s.now.Store(&table{services: newByName[*Service](), pools: newByName[*member]()})
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
	d := config.Delta{Routes: routes, Shares: true}
	was := s.now.Load()
	named := make(map[string]bool)
	for i := range cfg.Pools {
		named[cfg.Pools[i].Name] = true
		d.Pools = append(d.Pools, &cfg.Pools[i])
	}
	for p := range was.pools.all() {
		if !named[p.Name] {
			d.GonePools = append(d.GonePools, p.Name)
		}
	}
	clear(named)
	for i := range cfg.Services {
		named[cfg.Services[i].Name] = true
		d.Services = append(d.Services, &cfg.Services[i])
	}
	for svc := range was.services.all() {
		if !named[svc.Name] {
			d.GoneServices = append(d.GoneServices, svc.Name)
		}
	}
	return s.change(d, terms{cfg.Limits, cfg.Seed, cfg.Keys, true})
}

// Change puts in force what differs, or changes nothing and says why. What the delta does not name
// stays the same, and costs nothing.
func (s *Set) Change(d config.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change(d, terms{s.limits, s.seed, s.keyTerms, false})
}

// Reterm puts in force what a configuration says of the node itself: its limits and the bounds of
// keys, or changes nothing and says why. Pools and services stay as they are.
func (s *Set) Reterm(cfg *config.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change(config.Delta{Routes: s.now.Load().routes, Shares: true, Share: s.share}, terms{cfg.Limits, cfg.Seed, cfg.Keys, true})
}

// terms are what a node says of itself; differ says that they may not be those in force.
type terms struct {
	limits limit.Machine
	seed   uint64
	keys   config.Keys
	differ bool
}

func (s *Set) change(d config.Delta, by terms) error {
	was := s.now.Load()
	pools := s.after(was, d)
	if d.Shares {
		if err := s.lay(pools, by.limits, d.Share); err != nil {
			return fmt.Errorf("applying a configuration: %w", err)
		}
	}
	if by.differ || s.keysDiffer(was, d) {
		if err := s.keep(by.keys, pools); err != nil {
			if d.Shares { // nothing has changed
				err = errors.Join(err, s.lay(s.after(was, config.Delta{}), s.limits, s.share))
			}
			return fmt.Errorf("applying a configuration: %w", err)
		}
	}
	if s.limits, s.seed, s.keyTerms = by.limits, by.seed, by.keys; d.Shares {
		s.share = d.Share
	}
	next := &table{routes: d.Routes}
	var over []*Pool
	members := was.pools.tree.Txn()
	for _, c := range d.Pools {
		old := was.pools.get(c.Name)
		p := s.pool(c, old)
		if old != nil && old.Pool != p {
			over = append(over, old.Pool)
		}
		members.Insert([]byte(c.Name), &member{p, s.keyed(c)})
	}
	for _, name := range d.GonePools {
		if old, ok := members.Delete([]byte(name)); ok {
			over = append(over, old.Pool)
		}
	}
	services := was.services.tree.Txn()
	for _, c := range d.Services {
		services.Insert([]byte(c.Name), was.services.get(c.Name).configure(c))
	}
	for _, name := range d.GoneServices {
		services.Delete([]byte(name))
	}
	next.pools.tree, next.services.tree = members.Commit(), services.Commit()
	if s.budgets == nil && len(d.Pools) == 1 && len(d.Services) == 1 {
		next.only = &Target{Service: next.services.get(d.Services[0].Name), Pool: next.pools.get(d.Pools[0].Name).Pool}
	}
	if next.pools.tree.Len() > 0 {
		s.known = nil
	}
	s.now.Store(next)
	for _, p := range over {
		s.retire(p)
	}
	return nil
}

// pool gives a pool under its configuration, beside the one in force, if any.
func (s *Set) pool(c *config.Pool, was *member) *Pool {
	if was == nil {
		var known *core.Snapshot
		if m, ok := s.known[c.Name]; ok {
			known = &m // of the process before
		}
		p := s.begin(c, s.seed, nil, known)
		p.line = newLine(c.Gate)
		s.well(c.Name)
		return p
	}
	old := was.Pool
	if old.line.configure(c.Gate); old.own.update(c) {
		return old
	}
	m := old.Snapshot()
	p := s.begin(c, s.seed, old, &m)
	p.line = old.line // who is in the old one still counts
	s.well(c.Name)
	return p
}

// well has the budgets forget the trouble of a pool's name: the one before may have been in some.
func (s *Set) well(pool string) {
	if s.budgets != nil {
		s.trouble(pool, false)
	}
}

// after are the configurations of the pools once a delta is in force.
func (s *Set) after(was *table, d config.Delta) iter.Seq[*config.Pool] {
	return func(yield func(*config.Pool) bool) {
		other := make(map[string]bool, len(d.Pools)+len(d.GonePools))
		for _, name := range d.GonePools {
			other[name] = true
		}
		for _, c := range d.Pools {
			if other[c.Name] = true; !yield(c) {
				return
			}
		}
		for p := range was.pools.all() {
			if !other[p.Name] && !yield(p.own.cfg) {
				return
			}
		}
	}
}

// keysDiffer says whether what is done about keys is other than it was.
func (s *Set) keysDiffer(was *table, d config.Delta) bool {
	for _, c := range d.Pools {
		old := was.pools.get(c.Name)
		if old == nil && len(c.Keys) > 0 || old != nil && !maps.Equal(old.own.cfg.Keys, c.Keys) {
			return true
		}
	}
	for _, name := range d.GonePools {
		if old := was.pools.get(name); old != nil && len(old.own.cfg.Keys) > 0 {
			return true
		}
	}
	return false
}

// keep has keys kept as a configuration says. Called under the lock.
func (s *Set) keep(terms config.Keys, pools iter.Seq[*config.Pool]) error {
	set, any := terms.Settings(pools)
	if s.keys != nil && any {
		return s.keys.Configure(set)
	}
	if !any {
		return nil
	}
	h, err := store.New(store.Options{Bounds: set, File: terms.Durable, Log: s.log})
	if err != nil {
		return err
	}
	s.keys = h
	s.Figures.Keys(h)
	return nil
}

// keyed is what is done about the keys of a pool's classes.
func (s *Set) keyed(c *config.Pool) map[string]*Keyed {
	if len(c.Keys) == 0 {
		return nil
	}
	keyed := make(map[string]*Keyed, len(c.Keys))
	for class, rule := range c.Keys {
		keyed[class] = &Keyed{s.keys, rule, config.KeyClass(c.Name, class)}
	}
	return keyed
}

// lay lays out what the pools share. Called under the lock.
func (s *Set) lay(pools iter.Seq[*config.Pool], m limit.Machine, share float64) error {
	guarantees := func(total int) map[string]int {
		g := make(map[string]int)
		for c := range pools {
			g[c.Name] = c.Guarantee(total, share)
		}
		for p := range s.now.Load().pools.all() {
			g[p.Name] += 0 // what drains still connects, but is guaranteed nothing
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

// SetFleetPosition tells all pools, and those to come, of the node's place in its fleet.
func (s *Set) SetFleetPosition(st core.FleetPosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stand = &st
	s.each(func(p *core.Pool) { p.SetFleetPosition(st) })
}

// each does something to all pools, those that drain too. The lock is held.
func (s *Set) each(do func(*core.Pool)) {
	for p := range s.now.Load().pools.all() {
		do(p.Pool.Pool)
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
	if err := s.lay(s.after(s.now.Load(), config.Delta{}), m, s.share); err != nil {
		return err
	}
	s.limits = m
	return nil
}

// Longest is the longest time that a request of any class may take.
func (s *Set) Longest() (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.now.Load().pools.all() {
		for _, c := range p.own.cfg.Settings.Classes {
			longest = max(longest, c.Deadline)
		}
	}
	return longest
}

// Snapshot is what the pools in force know, by name.
func (s *Set) Snapshot() map[string]core.Snapshot {
	m := make(map[string]core.Snapshot)
	for name, p := range s.Pools() {
		m[name] = p.Snapshot()
	}
	return m
}

// Pools are the pools in force, by name.
func (s *Set) Pools() iter.Seq2[string, *Pool] {
	return func(yield func(string, *Pool) bool) {
		for p := range s.now.Load().pools.all() {
			if !yield(p.Name, p.Pool) {
				return
			}
		}
	}
}

// Pool is the one in force under a name, or nil.
func (s *Set) Pool(name string) *Pool {
	if p := s.now.Load().pools.get(name); p != nil {
		return p.Pool
	}
	return nil
}

// Close ends all pools. No request may be open.
func (s *Set) Close() {
	s.mu.Lock()
	pools := s.Pools()
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

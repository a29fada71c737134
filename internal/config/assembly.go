package config

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"maps"
	"math"
	"reflect"
	"slices"

	"jasperpin/internal/limit"
	"jasperpin/internal/peers/conf"
	"jasperpin/internal/route"
)

// Assembly is what the records of a configuration say, parsed by the code that reads a file. It
// holds the parsed forms alone. One owner at a time uses it.
type Assembly struct {
	number, nodes int
	pools         map[string]*heldPool
	services      map[string]*heldService
	routes        *route.Table
	tally         tally
	refused       map[conf.Key]refusal
	waiting       map[conf.Key]map[conf.Key]bool // refused ones, by the record that they want
	unused        map[conf.Key]bool              // refused ones, since what differs could not be used
}

// heldPool is a pool in force, with the routes that lead to it.
type heldPool struct {
	*Pool
	users map[conf.Key]bool
}

// heldService is a service in force. What others were given of it never changes.
type heldService struct {
	head    Service // without routes and tenants
	tenants map[string]limit.TenantSettings
	routes  map[string][]route.Rule
}

// tally is what is counted over all pools.
type tally struct {
	parts   int64 // guaranteed by name, in wholePart of all
	unnamed int   // pools whose guaranteed part no record names
	pools   int
	watched int // whose servers a discovery tells
}

func (t *tally) count(p *Pool, sign int) {
	if part, named := p.part(); named {
		t.parts += int64(sign) * part
	} else {
		t.unnamed += sign
	}
	t.pools += sign
	if p.Discovery != "" {
		t.watched += sign
	}
}

// refusal is why a record is not in force as it was last written, and, where that may change with
// another record, which one and what it says.
type refusal struct {
	why   Mistakes
	wants conf.Key
	value []byte
}

// wholePart is how finely guaranteed parts are counted, and slackPart by how much of it they may go
// beyond the whole.
const (
	wholePart = 1e12
	slackPart = 1e3
)

// NewAssembly makes one without records, for a node that is this one of so many.
func NewAssembly(number, nodes int) *Assembly {
	routes, _ := route.New(nil) // no rule can be wrong
	return &Assembly{
		number: number, nodes: nodes, pools: make(map[string]*heldPool), services: make(map[string]*heldService), routes: routes,
		refused: make(map[conf.Key]refusal), waiting: make(map[conf.Key]map[conf.Key]bool), unused: make(map[conf.Key]bool),
	}
}

// Delta is what differs in force.
type Delta struct {
	Pools        []*Pool // new, or other than they were
	GonePools    []string
	Services     []*Service // new, or other than they were, without their routes
	GoneServices []string
	Routes       *route.Table // all of them
	// Shares says that guaranteed parts differ; Share is that of each pool that names none, whose
	// own is below 0.
	Shares bool
	Share  float64
	// Count is how many pools there are, and Watched those whose servers a discovery tells.
	Count, Watched int
}

// Update has a change in force, as far as this program can use its records. Use is called with what
// differs, if anything does; with its error nothing has changed, and what differs is tried again with
// the next update, which may be one of no records. The mistakes tell of the records that are left as
// they were, by key: a later change, of these or of what they want, has them in force.
func (a *Assembly) Update(c conf.Change, use func(Delta) error) (Mistakes, error) {
	return a.update(c.Records, use)
}

// Replace has a whole configuration in force, in place of all before.
func (a *Assembly) Replace(records iter.Seq[conf.Record], use func(Delta) error) (Mistakes, error) {
	gone := make(map[conf.Key]bool)
	for k := range a.keys() {
		gone[k] = true
	}
	var all []conf.Record
	for k := range a.refused {
		gone[k] = true
	}
	for r := range records {
		delete(gone, r.Key)
		all = append(all, r)
	}
	for k := range gone {
		all = append(all, conf.Record{Key: k})
	}
	return a.update(all, use)
}

// keys are those of all records in force.
func (a *Assembly) keys() iter.Seq[conf.Key] {
	return func(yield func(conf.Key) bool) {
		for name := range a.pools {
			if !yield(conf.PoolKey(name)) {
				return
			}
		}
		for name, s := range a.services {
			if !yield(conf.ServiceKey(name)) {
				return
			}
			for route := range s.routes {
				if !yield(conf.RouteKey(name, route)) {
					return
				}
			}
			for tenant := range s.tenants {
				if !yield(conf.TenantKey(name, cmp.Or(tenant, "*"))) {
					return
				}
			}
		}
	}
}

// Refused is how many records are not in force as they were last written.
func (a *Assembly) Refused() int { return len(a.refused) }

// Check says all that is wrong with a change, or nil; nothing is in force.
func (a *Assembly) Check(c conf.Change) error {
	p := a.plan(c.Records)
	p.lackRoutes()
	var all Mistakes
	for _, r := range p.refused {
		if r.wants == "" || !p.unreadable[r.wants] { // else that one's mistake is what is to be mended
			all = append(all, r.why...)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all.sorted()
}

func (ms Mistakes) sorted() Mistakes {
	slices.SortStableFunc(ms, func(a, b Mistake) int { return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Text, b.Text)) })
	return slices.Compact(ms)
}

func (a *Assembly) update(records []conf.Record, use func(Delta) error) (Mistakes, error) {
	if len(a.unused) > 0 {
		all := slices.Clone(records)
		for k := range a.unused {
			if !slices.ContainsFunc(records, func(r conf.Record) bool { return r.Key == k }) {
				all = append(all, conf.Record{Key: k, Value: a.refused[k].value})
			}
		}
		if p := a.plan(all); len(p.in) == 0 || use(p.delta()) == nil {
			return p.commit(), nil
		}
	}
	p := a.plan(records)
	if len(p.in) > 0 {
		if err := use(p.delta()); err != nil {
			p.keep(err)
			return nil, err
		}
	}
	return p.commit(), nil
}

// keep has the plan tried again with the next update.
func (p *plan) keep(err error) {
	for k := range p.named {
		p.settle(k)
	}
	for k, r := range p.in {
		p.Assembly.refused[k] = refusal{why: Mistakes{{string(k), 0, err.Error()}}, value: r.Value}
		p.unused[k] = true
	}
	p.refuse()
}

// parsed is a record as it was read.
type parsed struct {
	conf.Record
	kind          conf.Kind
	service, name string
	pool          *Pool
	head          Service
	tenant        limit.TenantSettings
	rules         []route.Rule
}

func (r *parsed) gone() bool { return len(r.Value) == 0 }

// parse reads a record, as a table of a file is read.
func (a *Assembly) parse(rec conf.Record) (*parsed, error) {
	r := &reader{file: string(rec.Key)}
	kind, service, name, err := rec.Key.Split()
	if err != nil {
		return nil, Mistakes{{r.file, 0, err.Error()}}
	}
	out := &parsed{Record: rec, kind: kind, service: service, name: name}
	if out.gone() {
		return out, nil
	}
	m, err := decode(rec.Value)
	if err != nil {
		return nil, Mistakes{{r.file, 0, err.Error()}}
	}
	t := &table{part: &part{reader: r, record: true}, m: m}
	if is := m["name"]; is != nil && is != name {
		t.wrong("name", is, "the name that the record's key has, or none")
	}
	m["name"] = name
	switch kind {
	case conf.Pool:
		p := readPool(t)
		p.Settings.Self, p.Settings.Nodes = a.number, a.nodes
		out.pool = &p
	case conf.Service:
		out.head = readHead(t)
		t.done()
	case conf.Tenant:
		out.name, out.tenant = readTenant(t)
	case conf.Route:
		_, out.rules = readRoute(t, service, nil)
	}
	return out, r.result()
}

// plan is what becomes of some records beside those in force.
type plan struct {
	*Assembly
	in         map[conf.Key]*parsed
	keys       []conf.Key        // of in, in order
	named      map[conf.Key]bool // all that were looked at
	refused    map[conf.Key]refusal
	unreadable map[conf.Key]bool // refused for what they say by themselves
	routes     *route.Table
	tenants    map[string]map[string]limit.TenantSettings // of services whose limits differ, from delta on
	edited     map[string]bool                            // of these, those whose tenants do
}

// plan finds which of some records, and of those that have waited for them, can be in force. One
// that is wrong by itself, or beside the others, is refused alone.
func (a *Assembly) plan(records []conf.Record) *plan {
	p := &plan{Assembly: a, in: make(map[conf.Key]*parsed, len(records)), refused: make(map[conf.Key]refusal), unreadable: make(map[conf.Key]bool), edited: make(map[string]bool), named: make(map[conf.Key]bool, len(records))}
	all := slices.Clone(records)
	for _, r := range records {
		p.named[r.Key] = true
	}
	for i := 0; i < len(all); i++ {
		for k := range a.waiting[all[i].Key] {
			if !p.named[k] {
				p.named[k] = true
				all = append(all, conf.Record{Key: k, Value: a.refused[k].value})
			}
		}
	}
	for _, rec := range all {
		r, err := a.parse(rec)
		if ms := (Mistakes)(nil); errors.As(err, &ms) {
			p.refused[rec.Key] = refusal{why: ms}
			p.unreadable[rec.Key] = true
			continue
		}
		if !a.has(r) {
			p.in[rec.Key] = r
		}
	}
	for {
		p.keys = slices.Sorted(maps.Keys(p.in))
		bad := p.unfit()
		if len(bad) == 0 {
			return p
		}
		for k, r := range bad {
			if r.wants != "" {
				r.value = p.in[k].Value
			}
			p.refused[k] = r
			delete(p.in, k)
		}
	}
}

// has says whether a record is in force as it is.
func (a *Assembly) has(r *parsed) bool {
	if r.kind == conf.Pool {
		was := a.pools[r.name]
		return was == nil && r.gone() || was != nil && !r.gone() && reflect.DeepEqual(was.Pool, r.pool)
	}
	service := r.service
	if r.kind == conf.Service {
		service = r.name
	}
	s := a.services[service]
	if s == nil {
		return r.gone()
	}
	switch r.kind {
	case conf.Tenant:
		was, ok := s.tenants[r.tenantName()]
		return ok != r.gone() && was == r.tenant
	case conf.Route:
		was, ok := s.routes[r.name]
		return ok != r.gone() && reflect.DeepEqual(was, r.rules)
	}
	return !r.gone() && reflect.DeepEqual(s.head, r.head)
}

// tenantName is the name of a tenant's settings.
func (r *parsed) tenantName() string {
	if r.name == "*" {
		return limit.Others
	}
	return r.name
}

// refuse words what is wrong with a record beside others.
func refuse(key, wants conf.Key, format string, args ...any) refusal {
	return refusal{why: Mistakes{{string(key), 0, fmt.Sprintf(format, args...)}}, wants: wants}
}

// unfit finds the records of the plan that do not go with the others.
func (p *plan) unfit() map[conf.Key]refusal {
	bad := make(map[conf.Key]refusal)
	for _, k := range p.keys {
		r := p.in[k]
		if no, ok := p.beside(k, r); ok {
			bad[k] = no
		}
	}
	p.unfitShares(bad)
	if len(bad) == 0 {
		p.unfitRoutes(bad)
	}
	return bad
}

func (p *plan) beside(k conf.Key, r *parsed) (refusal, bool) {
	switch {
	case r.kind == conf.Pool:
		return p.poolBesideRoutes(k, r)
	case r.kind == conf.Service:
		return p.serviceBesideParts(k, r)
	case r.gone():
		return refusal{}, false
	}
	head := p.head(r.service)
	at := conf.ServiceKey(r.service)
	if head == nil {
		return refuse(k, at, "stands without %s, which is not there", at), true
	}
	if r.kind == conf.Tenant {
		if head.TenantHeader == "" {
			return refuse(k, at, "stands in a service whose tenant_header %s", noTenantHeader), true
		}
		return refusal{}, false
	}
	for _, g := range r.rules[0].Targets {
		at := conf.PoolKey(g.Pool)
		to := p.pool(g.Pool)
		if to == nil {
			return refuse(k, at, "pool %q is no pool of this configuration", g.Pool), true
		}
		if text := to.unknown(r.rules[0]); len(text) > 0 {
			return refuse(k, at, "pool %s", text[0]), true
		}
	}
	return refusal{}, false
}

// poolBesideRoutes holds a pool against the routes that lead to it and stay as they are.
func (p *plan) poolBesideRoutes(k conf.Key, r *parsed) (refusal, bool) {
	was := p.pools[r.name]
	if was == nil {
		return refusal{}, false
	}
	for _, user := range slices.Sorted(maps.Keys(was.users)) {
		if p.in[user] != nil {
			continue
		}
		if r.gone() {
			return refuse(k, user, "is to be deleted, and %s leads to it", user), true
		}
		_, service, name, _ := user.Split()
		if text := r.pool.unknown(p.services[service].routes[name][0]); len(text) > 0 {
			return refuse(k, user, "class does not go with %s: %s", user, text[0]), true
		}
	}
	return refusal{}, false
}

// serviceBesideParts holds a service against its tenants and routes that stay as they are.
func (p *plan) serviceBesideParts(k conf.Key, r *parsed) (refusal, bool) {
	was := p.services[r.name]
	if was == nil || !r.gone() && r.head.TenantHeader != "" {
		return refusal{}, false
	}
	for tenant := range was.tenants {
		at := conf.TenantKey(r.name, cmp.Or(tenant, "*"))
		if p.in[at] != nil {
			continue
		}
		if r.gone() {
			return refuse(k, at, "is to be deleted, and %s is not", at), true
		}
		return refuse(k, at, "tenant_header %s", noTenantHeader), true
	}
	for name := range was.routes {
		if at := conf.RouteKey(r.name, name); r.gone() && p.in[at] == nil {
			return refuse(k, at, "is to be deleted, and %s is not", at), true
		}
	}
	return refusal{}, false
}

// part is a pool's guaranteed part, and whether its record names it.
func (p *Pool) part() (int64, bool) {
	if p.Share < 0 {
		return 0, false
	}
	return int64(math.Round(p.Share * wholePart)), true
}

// count is the tally of the pools as the plan has them.
func (p *plan) count() tally {
	t := p.tally
	for _, r := range p.in {
		if r.kind != conf.Pool {
			continue
		}
		if was := p.pools[r.name]; was != nil {
			t.count(was.Pool, -1)
		}
		if !r.gone() {
			t.count(r.pool, 1)
		}
	}
	return t
}

// unfitShares refuses pools, the last first, that want more than there is to be guaranteed.
func (p *plan) unfitShares(bad map[conf.Key]refusal) {
	parts := p.count().parts
	for _, k := range slices.Backward(p.keys) {
		r := p.in[k]
		if parts <= wholePart+slackPart {
			return
		}
		if r.kind != conf.Pool || r.gone() {
			continue
		}
		more, _ := r.pool.part()
		if was := p.pools[r.name]; was != nil {
			before, _ := was.part()
			more -= before
		}
		if more > 0 {
			bad[k] = refuse(k, "", "share is %g: all pools' shares add up to %.3g with it, want 1 at the most, since each is guaranteed", r.pool.Share, float64(parts)/wholePart)
			parts -= more
		}
	}
}

// unfitRoutes makes the route table, and refuses the routes that it cannot take.
func (p *plan) unfitRoutes(bad map[conf.Key]refusal) {
	var without, with []*route.Rule
	add := func(to []*route.Rule, rules []route.Rule) []*route.Rule {
		for i := range rules {
			to = append(to, &rules[i])
		}
		return to
	}
	for _, k := range p.keys {
		if r := p.in[k]; r.kind == conf.Route {
			if s := p.services[r.service]; s != nil {
				without = add(without, s.routes[r.name])
			}
			with = add(with, r.rules)
		}
	}
	if p.routes = p.Assembly.routes; len(without)+len(with) == 0 {
		return
	}
	var err error
	p.routes, err = p.Assembly.routes.Change(without, with)
	if err == nil {
		return
	}
	for _, e := range err.(interface{ Unwrap() []error }).Unwrap() {
		var rule *route.RuleError
		var same *route.SameError
		if !errors.As(e, &rule) {
			continue
		}
		k := conf.Key(rule.Origin)
		no := refuse(k, "", "%v", rule.Err)
		if errors.As(e, &same) {
			no.wants = conf.Key(same.Origin)
		}
		bad[k] = no
	}
}

// pool is a pool as the plan has it, nil for none.
func (p *plan) pool(name string) *Pool {
	if r := p.in[conf.PoolKey(name)]; r != nil {
		return r.pool
	}
	if was := p.pools[name]; was != nil {
		return was.Pool
	}
	return nil
}

// head is a service as the plan has it, nil for none.
func (p *plan) head(name string) *Service {
	if r := p.in[conf.ServiceKey(name)]; r != nil {
		if r.gone() {
			return nil
		}
		return &r.head
	}
	if was := p.services[name]; was != nil {
		return &was.head
	}
	return nil
}

// lackRoutes complains of the services that the plan leaves without a route, as a file's reader does.
func (p *plan) lackRoutes() {
	for service, n := range p.routesOf() {
		k := conf.ServiceKey(service)
		if _, known := p.refused[k]; n == 0 && !known && p.head(service) != nil {
			p.refused[k] = refuse(k, "", "route %s", noRoute)
		}
	}
	for k := range p.unreadable { // whose own mistake it is that there is none
		if kind, service, _, err := k.Split(); err == nil && kind == conf.Route {
			if at := conf.ServiceKey(service); p.in[at] != nil {
				delete(p.refused, at)
			}
		}
	}
}

// routesOf counts the routes of each service that the plan touches.
func (p *plan) routesOf() map[string]int {
	count := make(map[string]int)
	touch := func(service string) {
		if _, ok := count[service]; !ok {
			count[service] = 0
			if was := p.services[service]; was != nil {
				count[service] = len(was.routes)
			}
		}
	}
	for _, k := range p.keys {
		switch r := p.in[k]; r.kind {
		case conf.Service:
			touch(r.name)
		case conf.Route:
			touch(r.service)
			was := p.services[r.service]
			there := was != nil && was.routes[r.name] != nil
			if there && r.gone() {
				count[r.service]--
			} else if !there && !r.gone() {
				count[r.service]++
			}
		}
	}
	return count
}

// delta is what the plan changes in force.
func (p *plan) delta() Delta {
	t := p.count()
	d := Delta{Routes: p.routes, Share: shareOf(float64(t.parts)/wholePart, t.unnamed), Count: t.pools, Watched: t.watched}
	p.tenants = make(map[string]map[string]limit.TenantSettings)
	for _, k := range p.keys {
		switch r := p.in[k]; r.kind {
		case conf.Pool:
			if was := p.pools[r.name]; was == nil || r.gone() || was.Share != r.pool.Share {
				d.Shares = true
			}
			if r.gone() {
				d.GonePools = append(d.GonePools, r.name)
			} else {
				d.Pools = append(d.Pools, r.pool)
			}
		case conf.Service:
			if r.gone() {
				d.GoneServices = append(d.GoneServices, r.name)
			} else if p.tenants[r.name] = nil; p.services[r.name] != nil {
				p.tenants[r.name] = p.services[r.name].tenants
			}
		case conf.Tenant:
			p.setTenant(r)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.tenants)) {
		s := *p.head(name)
		s.Gate.Tenants = p.tenants[name]
		d.Services = append(d.Services, &s)
	}
	return d
}

// setTenant has a tenant be in the plan's settings, which those in force know nothing of.
func (p *plan) setTenant(r *parsed) {
	if p.head(r.service) == nil {
		return // it goes with its service
	}
	if !p.edited[r.service] {
		p.edited[r.service] = true
		set := make(map[string]limit.TenantSettings)
		if was := p.services[r.service]; was != nil {
			maps.Copy(set, was.tenants)
		}
		p.tenants[r.service] = set
	}
	if r.gone() {
		delete(p.tenants[r.service], r.tenantName())
	} else {
		p.tenants[r.service][r.tenantName()] = r.tenant
	}
}

// commit has the plan in force, and gives what is wrong with what is not.
func (p *plan) commit() Mistakes {
	a := p.Assembly
	a.tally = p.count()
	if p.routes != nil {
		a.routes = p.routes
	}
	for _, k := range p.keys {
		switch r := p.in[k]; r.kind {
		case conf.Pool:
			was := a.pools[r.name]
			switch {
			case r.gone():
				delete(a.pools, r.name)
			case was != nil:
				was.Pool = r.pool
			default:
				a.pools[r.name] = &heldPool{r.pool, make(map[conf.Key]bool)}
			}
		case conf.Service:
			was := a.services[r.name]
			switch {
			case r.gone(): // its routes leave their pools below, and then it goes
			case was != nil:
				was.head = r.head
			default:
				a.services[r.name] = &heldService{head: r.head, routes: make(map[string][]route.Rule)}
			}
		}
	}
	for service, set := range p.tenants {
		a.services[service].tenants = set
	}
	for _, k := range p.keys {
		if r := p.in[k]; r.kind == conf.Route {
			a.setRoute(r)
		}
	}
	for _, k := range p.keys {
		if r := p.in[k]; r.kind == conf.Service && r.gone() {
			delete(a.services, r.name)
		}
	}
	for k := range p.named {
		a.settle(k)
	}
	return p.refuse()
}

// refuse remembers what the plan refuses.
func (p *plan) refuse() (all Mistakes) {
	for k, r := range p.refused {
		all = append(all, r.why...)
		p.Assembly.refused[k] = r
		if r.wants != "" {
			if p.waiting[r.wants] == nil {
				p.waiting[r.wants] = make(map[conf.Key]bool)
			}
			p.waiting[r.wants][k] = true
		}
	}
	return all.sorted()
}

// setRoute has a route in force, and the pools that it leads to know of it.
func (a *Assembly) setRoute(r *parsed) {
	use := func(rules []route.Rule, is bool) {
		for _, g := range rules[0].Targets {
			switch p := a.pools[g.Pool]; {
			case p == nil:
			case is:
				p.users[r.Key] = true
			default:
				delete(p.users, r.Key)
			}
		}
	}
	if s := a.services[r.service]; s != nil {
		if was := s.routes[r.name]; was != nil {
			use(was, false)
		}
		if delete(s.routes, r.name); !r.gone() {
			s.routes[r.name] = r.rules
			use(r.rules, true)
		}
	}
}

// settle forgets that a record was refused.
func (a *Assembly) settle(k conf.Key) {
	was, ok := a.refused[k]
	if !ok {
		return
	}
	delete(a.refused, k)
	delete(a.unused, k)
	if delete(a.waiting[was.wants], k); len(a.waiting[was.wants]) == 0 {
		delete(a.waiting, was.wants)
	}
}

// shareOf is the guaranteed part of each pool that names none.
func shareOf(named float64, unnamed int) float64 {
	return max(0, min(defaultShareOf, 1-named)) / float64(max(1, unnamed))
}

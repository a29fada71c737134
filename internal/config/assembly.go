package config

import (
	"cmp"
	"iter"
	"reflect"
	"slices"

	"jasperpin/internal/configlog"
	"jasperpin/internal/limit"
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
	refused       map[configlog.Key]refusal
	waiting       map[configlog.Key]map[configlog.Key]bool // refused ones, by the record that they want
	unused        map[configlog.Key]bool                   // refused ones, since what differs could not be used
}

// heldPool is a pool in force, with the routes that lead to it.
type heldPool struct {
	*Pool
	users map[configlog.Key]bool
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
	wants configlog.Key
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
		refused: make(map[configlog.Key]refusal), waiting: make(map[configlog.Key]map[configlog.Key]bool), unused: make(map[configlog.Key]bool),
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
func (a *Assembly) Update(c configlog.Change, use func(Delta) error) (Mistakes, error) {
	return a.update(c.Records, use)
}

// Replace has a whole configuration in force, in place of all before.
func (a *Assembly) Replace(records iter.Seq[configlog.Record], use func(Delta) error) (Mistakes, error) {
	gone := make(map[configlog.Key]bool)
	for k := range a.keys() {
		gone[k] = true
	}
	var all []configlog.Record
	for k := range a.refused {
		gone[k] = true
	}
	for r := range records {
		delete(gone, r.Key)
		all = append(all, r)
	}
	for k := range gone {
		all = append(all, configlog.Record{Key: k})
	}
	return a.update(all, use)
}

// keys are those of all records in force.
func (a *Assembly) keys() iter.Seq[configlog.Key] {
	return func(yield func(configlog.Key) bool) {
		for name := range a.pools {
			if !yield(configlog.PoolKey(name)) {
				return
			}
		}
		for name, s := range a.services {
			if !yield(configlog.ServiceKey(name)) {
				return
			}
			for route := range s.routes {
				if !yield(configlog.RouteKey(name, route)) {
					return
				}
			}
			for tenant := range s.tenants {
				if !yield(configlog.TenantKey(name, cmp.Or(tenant, "*"))) {
					return
				}
			}
		}
	}
}

// Refused is how many records are not in force as they were last written.
func (a *Assembly) Refused() int { return len(a.refused) }

// Check says all that is wrong with a change, or nil; nothing is in force.
func (a *Assembly) Check(c configlog.Change) error {
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

func (a *Assembly) update(records []configlog.Record, use func(Delta) error) (Mistakes, error) {
	if len(a.unused) > 0 {
		all := slices.Clone(records)
		for k := range a.unused {
			if !slices.ContainsFunc(records, func(r configlog.Record) bool { return r.Key == k }) {
				all = append(all, configlog.Record{Key: k, Value: a.refused[k].value})
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
	p.remember()
}

// parsed is a record as it was read.
type parsed struct {
	configlog.Record
	kind          configlog.Kind
	service, name string
	pool          *Pool
	head          Service
	tenant        limit.TenantSettings
	rules         []route.Rule
}

func (r *parsed) gone() bool { return len(r.Value) == 0 }

// parse reads a record, as a table of a file is read.
func (a *Assembly) parse(rec configlog.Record) (*parsed, error) {
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
	case configlog.Pool:
		p := readPool(t)
		p.Settings.NodeIndex, p.Settings.NodeCount = a.number, a.nodes
		out.pool = &p
	case configlog.Service:
		out.head = readHead(t)
		t.done()
	case configlog.Tenant:
		out.name, out.tenant = readTenant(t)
	case configlog.Route:
		_, out.rules = readRoute(t, service, nil)
	}
	return out, r.result()
}

// has says whether a record is in force as it is.
func (a *Assembly) has(r *parsed) bool {
	if r.kind == configlog.Pool {
		was := a.pools[r.name]
		return was == nil && r.gone() || was != nil && !r.gone() && reflect.DeepEqual(was.Pool, r.pool)
	}
	service := r.service
	if r.kind == configlog.Service {
		service = r.name
	}
	s := a.services[service]
	if s == nil {
		return r.gone()
	}
	switch r.kind {
	case configlog.Tenant:
		was, ok := s.tenants[r.tenantName()]
		return ok != r.gone() && was == r.tenant
	case configlog.Route:
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
func (a *Assembly) settle(k configlog.Key) {
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

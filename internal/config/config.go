// Package config reads the file that the operator owns: the node, its limits, its
// services with their routes, and the pools behind them. It reports all mistakes
// of a file at once, each with its line and with what was expected.
package config

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/discovery"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// Config is all that a node is told.
type Config struct {
	Name   string
	Listen []string // addresses with ports; 0 stands for any free one
	// Inherited is a descriptor that listens at the first of Listen already, held open by
	// whoever starts the processes; 0 where the node opens it itself.
	Inherited int
	// Control is where operators call: an address and port, or "unix:" and a path; ""
	// for no door.
	Control string
	// Private is a folder that this node's processes share with nobody else, where a new
	// version finds the one that runs; "" for none.
	Private string
	Seed    uint64
	// Number is this node's among so many that serve the same servers.
	Number, Nodes int
	Limits        limit.Machine
	// Budgets says whether pools share the limits out. A node with one pool that
	// has them all to itself needs none.
	Budgets  bool
	Keys     Keys
	Services []Service
	Pools    []Pool
	Role     Role
	Planning Planning
	Cluster  Cluster
	Members  Members
	Remote   Remote
}

// seat keeps the nodes of a fleet from drawing the same numbers, by what sets them apart: all would
// have their turn at a cold server at once.
func seat(name string, number int) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, name, " ", number)
	return h.Sum64()
}

// Role is a node's part in its tier.
type Role string

// A node decides by itself, a forwarder asks planners first, and a planner serves
// forwarders alone.
const (
	Alone     Role = "node"
	Forwarder Role = "forwarder"
	Planner   Role = "planner"
)

// Planning is how forwarders and planners meet. A node of its own has none.
type Planning struct {
	Listen   []string // a planner's, for forwarders
	Planners []string // a forwarder's, in the order in which it asks them
	// Certificate, Key and Authorities are files in PEM: what this node shows the
	// other end, and whose certificates it believes.
	Certificate, Key, Authorities string
}

// Service is what clients ask for under some hosts and paths.
type Service struct {
	Name         string
	Routes       []route.Rule
	Gate         limit.GateSettings
	TenantHeader string // canonical; "" where tenants are not told apart
}

// Pool is a list of servers under one instance of the decision module.
type Pool struct {
	Name string
	// Plain pools speak HTTP at large, others the platform's protocol.
	Plain       bool
	Body        int64              // the longest body, either way, in bytes
	Share       float64            // guaranteed part of the limits, 0 to 1; unnamed in a Delta: its Share
	Gate        limit.GateSettings // places and the line for them
	Servers     []core.Endpoint
	Discovery   string // its address; "" where the servers are listed
	Known       discovery.List
	Zones       discovery.Zones
	Classes     map[string]int // positions in Settings.Classes by name
	Settings    decide.Settings
	DialTimeout time.Duration
	Keys        map[string]KeyRule // by class; those that are not there have none
}

// Feed says where the pool's servers come from.
func (p *Pool) Feed(log *slog.Logger) discovery.FeedOptions {
	return discovery.FeedOptions{Servers: p.Servers, Discovery: p.Discovery, Known: p.Known, Zones: p.Zones, Ask: p.Settings.PollDiscovery, Log: log}
}

// Continues says whether a pool that was made of another configuration may go on
// under this one: all that differs is its guaranteed part, its places and line, its
// servers, the address of its discovery or the keys of its classes.
func (p *Pool) Continues(old *Pool) bool {
	if (old.Discovery == "") != (p.Discovery == "") {
		return false
	}
	was, is := *old, *p
	for _, c := range []*Pool{&was, &is} {
		c.Share, c.Gate, c.Known, c.Discovery, c.Servers, c.Keys = 0, limit.GateSettings{}, discovery.List{}, "", nil, nil
	}
	return reflect.DeepEqual(was, is)
}

// ClassNames are the names of the classes in the order of their positions.
func (p *Pool) ClassNames() []string {
	names := make([]string, len(p.Classes))
	for name, i := range p.Classes {
		names[i] = name
	}
	return names
}

// Guarantee is the pool's part of a number of units; share is that of pools that name none.
func (p *Pool) Guarantee(total int, share float64) int {
	if p.Share >= 0 {
		share = p.Share
	}
	return int(share*float64(total) + 1e-6) // what rounding loses
}

// Table builds the route table.
func (c *Config) Table() (*route.Table, error) {
	rules := make([][]route.Rule, len(c.Services))
	for i := range c.Services {
		rules[i] = c.Services[i].Routes
	}
	return route.New(rules...)
}

// Load reads a file. Its error is Mistakes where the text is at fault.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := Parse(filepath.Base(path), text)
	if err != nil {
		return nil, err
	}
	for _, file := range []*string{
		&c.Planning.Certificate, &c.Planning.Key, &c.Planning.Authorities,
		&c.Cluster.Files.Certificate, &c.Cluster.Files.Key, &c.Cluster.Files.Authorities, &c.Cluster.Folder, &c.Keys.Durable, &c.Members.Folder,
		&c.Remote.Files.Certificate, &c.Remote.Files.Key, &c.Remote.Files.Authorities, &c.Remote.Folder,
	} {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(filepath.Dir(path), *file)
		}
	}
	return c, nil
}

// Bounds of what a file may ask for.
const (
	maxFile    = 32 << 20 // the stated size takes 24 MB with every key said
	maxNames   = 10_000   // services, pools, routes, servers, classes, tenants each
	maxTime    = time.Hour
	maxRate    = 1e9
	maxHeld    = 1 << 24
	maxClasses = 256
	maxBody    = 64 << 30
	// maxPlanners bounds the planners of a forwarder: each is told of every attempt.
	maxPlanners = 8
)

// What a file that does not say gets.
const (
	defaultShareOf  = 0.5 // of the limits, over all pools that name no share
	defaultDeadline = 5 * time.Second
	defaultKeep     = 15 * time.Second
	defaultDial     = 250 * time.Millisecond
	defaultRetry    = 2 * time.Second
	defaultMemory   = 256 << 20
	defaultSockets  = 1024
)

// Parse reads a file's text; name is what mistakes call it.
func Parse(name string, text []byte) (*Config, error) {
	r, root := open(name, text)
	if root == nil {
		return nil, r.result()
	}
	return read(r, root)
}

// read reads a file by its tables.
func read(r *reader, root *table) (*Config, error) {
	c := &Config{Budgets: true}
	node := root.table("node")
	c.Name = node.word("name", "node")
	c.Listen = node.texts("listen", "an address and port such as 127.0.0.1:8080", isAddr)
	role := Role(node.choice("role", string(Alone), string(Alone), string(Forwarder), string(Planner)))
	if c.Role = role; role == Forwarder && node.m["name"] == nil {
		node.fail("name", "is missing: want one that no other forwarder of the tier has")
	}
	switch {
	case c.Role == Planner && len(c.Listen) > 0:
		node.fail("listen", "stands with a planner, which serves no clients: want planning.listen alone")
	case node.m != nil && len(c.Listen) == 0 && c.Role != Planner:
		node.fail("listen", "is missing: want one address and port or more, such as [\"127.0.0.1:8080\"]")
	}
	c.Control = node.text("control", "", "an address and port such as 127.0.0.1:9800, or unix:/PATH", isDoor)
	c.Private = node.text("private", "", "the absolute path of a folder", filepath.IsAbs)
	c.Number, c.Nodes = node.count("number", 0, 0, math.MaxUint16), node.count("nodes", 1, 1, math.MaxUint16)
	for _, key := range []string{"number", "nodes"} {
		if root.m["members"] != nil && node.m[key] != nil {
			node.fail(key, "stands beside [members], by which the node knows it: want one of the two")
		}
	}
	if c.Number >= c.Nodes {
		node.fail("number", "is %d of %d nodes: want 0 to %d", c.Number, c.Nodes, c.Nodes-1)
	}
	c.Seed = uint64(node.count("seed", 0, 0, math.MaxInt32)) ^ seat(c.Name, c.Number)
	if root.m["node"] == nil {
		root.fail("node", "is missing: want a table [node] with name and listen")
	}
	node.done()

	lim := root.table("limits")
	c.Limits = limit.Machine{
		Cores:       lim.number("cores", 1, 0.01, 4096),
		Memory:      lim.size("memory", defaultMemory, limit.LeastMemory, 1<<44),
		Descriptors: lim.count("descriptors", defaultSockets, limit.LeastDescriptors, 1<<24),
	}
	if want := c.Limits.Wants(); c.Limits.Memory < want {
		lim.fail("memory", "is too little for %d descriptors: want %dMB at the least, or fewer descriptors", c.Limits.Descriptors, want>>20+1)
	}
	lim.done()

	c.readPlanning(root)
	c.readKeys(root)
	c.readCluster(root)
	c.readMembers(root)

	c.readRemote(root)
	if !c.Remote.On() {
		c.readServed(root, func(*table) {})
	}
	switch {
	case c.Remote.On():
	case c.Role == Planner && len(c.Services) > 0:
		root.fail("service", "stands with a planner, which serves no clients: want pools alone")
	case len(c.Services) == 0 && c.Role != Planner:
		root.fail("service", "is missing: want one [[service]] or more")
	}
	root.done()
	root.decodeUnread()
	c.checkRoutes(r)
	return c, r.result()
}

// readServed reads the pools and the services; each sees their tables.
func (c *Config) readServed(root *table, each func(*table)) {
	pools := &known{pools: make(map[string]*Pool)}
	for t := range root.tables("pool") {
		each(t)
		p := readPool(t)
		p.Settings.NodeIndex, p.Settings.NodeCount = c.Number, c.Nodes
		if pools.pools[p.Name] != nil {
			t.fail("name", "%q is used twice: want another name for each pool", p.Name)
		}
		pools.pools[p.Name] = &p
		c.Pools = append(c.Pools, p)
	}
	c.share(root)
	names := make(map[string]bool)
	for t := range root.tables("service") {
		each(t)
		s := readService(t, pools)
		if names[s.Name] {
			t.fail("name", "%q is used twice: want another name for each service", s.Name)
		}
		names[s.Name] = true
		c.Services = append(c.Services, s)
	}
}

// checkRoutes complains of routes that do not go together, where all else is well.
func (c *Config) checkRoutes(r *reader) {
	if r.broken == nil && len(r.errs) == 0 {
		if _, err := c.Table(); err != nil {
			r.routes(err)
		}
	}
}

// readPlanning reads how forwarders and planners meet.
func (c *Config) readPlanning(root *table) {
	if c.Role == Alone {
		if root.m["planning"] != nil {
			root.get("planning")
			root.fail("planning", "stands with the role \"node\": want role = \"forwarder\" or \"planner\" under [node], or no [planning]")
		}
		return
	}
	t := root.table("planning")
	some := func(s string) bool { return s != "" }
	p := Planning{
		Certificate: t.text("certificate", "", "the name of a file in PEM", some),
		Key:         t.text("key", "", "the name of a file in PEM", some),
		Authorities: t.text("authorities", "", "the name of a file in PEM", some),
	}
	const addr = "an address and port such as 127.0.0.1:7700"
	list, other := "planners", "listen"
	if c.Role == Planner {
		list, other = other, list
	}
	found := t.texts(list, addr, isAddr)
	if c.Role == Planner {
		p.Listen = found
	} else {
		p.Planners = found
	}
	if root.m["planning"] == nil {
		root.fail("planning", "is missing: a %s wants [planning] with %s, certificate, key and authorities", c.Role, list)
	} else {
		for _, key := range []string{list, "certificate", "key", "authorities"} {
			t.must(key)
		}
	}
	if len(found) > maxPlanners {
		t.fail(list, "has %d entries: want %d at the most", len(found), maxPlanners)
	}
	if t.m[other] != nil {
		t.get(other)
		t.fail(other, "is not a %s's: want %s", c.Role, list)
	}
	t.done()
	c.Planning = p
}

// share sets the guaranteed parts of the pools that name none.
func (c *Config) share(root *table) {
	sum, unnamed := 0.0, 0
	for i := range c.Pools {
		if c.Pools[i].Share < 0 {
			unnamed++
		} else {
			sum += c.Pools[i].Share
		}
	}
	if sum > 1+1e-9 {
		root.fail("pool", "shares add up to %.3g: want 1 at the most, since each is guaranteed", sum)
	}
	for i := range c.Pools {
		if c.Pools[i].Share < 0 {
			c.Pools[i].Share = shareOf(sum, unnamed)
		}
	}
}

func readPool(t *table) Pool {
	p := Pool{
		Name: t.word("name", ""), Classes: make(map[string]int), Zones: make(discovery.Zones),
		Plain:       t.choice("protocol", "http", "http", "platform") == "http",
		Body:        t.size("body", core.MaxBody, limit.KeptBody, maxBody),
		Share:       t.number("share", -1, 0, 1),
		Discovery:   t.text("discovery", "", "an address and port such as 127.0.0.1:8500", isAddr),
		DialTimeout: t.time("connect_timeout", defaultDial, time.Millisecond, time.Minute),
		Gate:        readPlaces(t),
	}
	for i, z := range t.texts("zones", "the name of a zone", isWord) {
		p.Zones[z] = i
	}
	set := &p.Settings
	set.ZoneCount = len(p.Zones)
	if zone := t.text("zone", "", "one of zones", isWord); zone != "" {
		at, ok := p.Zones[zone]
		if !ok {
			t.fail("zone", "is %q: want one of zones", zone)
		}
		set.Zone = at
	}
	set.MaxAttempts = t.count("attempts", 3, 1, 10)
	set.Hedging = t.flag("second_copies", true)
	set.CancelAttempts = true
	set.IdleTimeout = t.time("keepalive", defaultKeep, 100*time.Millisecond, maxTime)
	set.MaxRetryAfter = t.time("retry_after", defaultRetry, 0, maxTime)
	set.CrossZoneCost = t.number("cross_cost", 0, 0, 100)
	set.PollDiscovery, set.PollPeriod = p.Discovery != "", 10*time.Second
	cold := t.table("cold")
	set.SlowStartShare = cold.number("start", 1, 0.01, 1)
	set.OverloadMultiple = cold.number("multiple", 1, 0.1, 100)
	set.SlowStartWindow = cold.time("warm", 0, 0, maxTime)
	cold.done()

	seen := make(map[string]bool)
	for s := range t.tables("server") {
		h := core.Endpoint{
			Addr: s.text("address", "", "an address and port such as 127.0.0.1:9001", isAddr), State: decide.Ready,
			Capacity: s.number("share", 1, 0.001, 1000), Cell: s.count("cell", 0, 0, math.MaxUint16),
		}
		s.must("address")
		h.Name = s.text("name", h.Addr, "a name", isWord)
		h.Zone = len(p.Zones)
		if zone := s.text("zone", "", "one of the pool's zones", isWord); zone != "" {
			at, ok := p.Zones[zone]
			if !ok {
				s.fail("zone", "is %q: want one of the pool's zones", zone)
			}
			h.Zone = at
		} else if len(p.Zones) == 0 {
			h.Zone = 0
		}
		if s.flag("drain", false) {
			h.State = decide.Draining
		}
		if seen[h.Name] {
			s.fail("name", "%q stands for two servers: want another name for each", h.Name)
		}
		seen[h.Name] = true
		s.done()
		p.Servers = append(p.Servers, h)
	}
	for _, addr := range t.texts("servers", "an address and port such as 127.0.0.1:9001", isAddr) {
		if seen[addr] {
			t.fail("servers", "names %s twice: want each server once", addr)
		}
		seen[addr] = true
		p.Servers = append(p.Servers, core.Endpoint{Name: addr, Addr: addr, State: decide.Ready, Capacity: 1})
	}
	switch {
	case p.Discovery != "" && len(p.Servers) > 0:
		t.fail("discovery", "stands beside a list of servers: want one of the two")
	case p.Discovery == "" && len(p.Servers) == 0:
		t.fail("servers", "is missing: want servers = [\"127.0.0.1:9001\"], [[pool.server]] tables or discovery = \"127.0.0.1:8500\"")
	}
	p.Keys = make(map[string]KeyRule)
	for s := range t.tables("class") {
		readClass(s, &p)
	}
	if len(p.Classes) == 0 {
		t.fail("class", "is missing: want one [[pool.class]] or more, with name, repeat and aim")
	}
	t.done()
	return p
}

func readClass(s *table, p *Pool) {
	name := s.word("name", "")
	effect := s.choice("repeat", "", "safe", "keyed", "never")
	s.must("repeat")
	cls := decide.Class{
		Idempotency:      map[string]decide.Idempotency{"safe": decide.Idempotent, "keyed": decide.IdempotentWithKey}[effect],
		DedupScope:       map[string]decide.DedupScope{"all": decide.DedupAll, "zone": decide.DedupZone, "cell": decide.DedupCell}[s.choice("group", "all", "all", "zone", "cell")],
		DedupWindow:      s.time("remember", 0, 0, maxTime),
		LatencyObjective: s.time("aim", time.Second, time.Millisecond, maxTime),
		Deadline:         s.time("deadline", defaultDeadline, time.Millisecond, core.LongestWait),
		PriorityWeight:   s.number("worth", 1, 0, 1e6), LatePriorityWeight: s.number("late_worth", 0, 0, 1e6),
	}
	if effect == "never" {
		cls.Idempotency = decide.NotIdempotent
	}
	if effect == "keyed" && cls.DedupWindow == 0 {
		s.fail("remember", "is missing: want how long servers drop the repeats of a keyed class, such as \"12s\"")
	}
	if cls.LatencyObjective > cls.Deadline {
		s.fail("aim", "is %v, longer than the deadline of %v: want it no longer", cls.LatencyObjective, cls.Deadline)
	}
	if _, twice := p.Classes[name]; twice {
		s.fail("name", "%q is used twice in one pool: want another name for each class", name)
	}
	if len(p.Settings.Classes) == maxClasses {
		s.fail("name", "%q is one class too many: want %d at the most", name, maxClasses)
	}
	if s.m["keys"] != nil {
		p.Keys[name] = readKeyRule(s.table("keys"), effect)
	}
	p.Classes[name] = len(p.Settings.Classes)
	p.Settings.Classes = append(p.Settings.Classes, cls)
	s.done()
}

// readPlaces reads how many requests a service or a pool holds at a time, and the
// line for these places.
func readPlaces(t *table) limit.GateSettings {
	set := limit.GateSettings{
		Concurrent: t.count("concurrent", 0, 0, maxHeld),
		Queue:      t.count("queue", 0, 0, maxHeld), QueueWait: t.time("queue_wait", 100*time.Millisecond, 0, time.Minute),
	}
	if set.Queue > 0 && set.Concurrent == 0 {
		t.fail("queue", "has nothing to wait for: want concurrent beside it")
	}
	return set
}

func readService(t *table, pools *known) Service {
	s := readHead(t)
	s.Gate.Tenants = make(map[string]limit.TenantSettings)
	for n := range t.tables("tenant") {
		name, set := readTenant(n)
		if _, twice := s.Gate.Tenants[name]; twice {
			n.fail("name", "%q is used twice in one service: want each tenant once", cmp.Or(name, "*"))
		}
		s.Gate.Tenants[name] = set
	}
	if len(s.Gate.Tenants) > 0 && s.TenantHeader == "" {
		t.fail("tenant_header", noTenantHeader)
	}
	names := make(map[string]bool)
	for n := range t.tables("route") {
		name, rules := readRoute(n, s.Name, pools)
		if names[name] && name != "" {
			n.fail("name", "%q is used twice in one service: want another name for each route", name)
		}
		names[name] = true
		s.Routes = append(s.Routes, rules...)
	}
	if len(s.Routes) == 0 {
		t.fail("route", noRoute)
	}
	t.done()
	return s
}

const (
	noTenantHeader = `is missing: want the header that names the tenant, such as "Req-Owner"`
	noRoute        = "is missing: want one [[service.route]] or more"
)

// readHead reads what a service says beside its tenants and routes.
func readHead(t *table) Service {
	s := Service{Name: t.word("name", ""), TenantHeader: canonical(t.text("tenant_header", "", "the name of a header", isWord))}
	s.Gate = readPlaces(t)
	s.Gate.Rate, s.Gate.Burst = t.number("rate", 0, 0, maxRate), t.number("burst", 0, 0, maxRate)
	return s
}

func readTenant(t *table) (name string, set limit.TenantSettings) {
	name = t.text("name", "", "a tenant's name, or \"*\" for all others", func(s string) bool { return s == "*" || isWord(s) })
	t.must("name")
	if name == "*" {
		name = limit.Others
	}
	set = limit.TenantSettings{
		Rate: t.number("rate", 0, 0, maxRate), Burst: t.number("burst", 0, 0, maxRate),
		Concurrent: t.count("concurrent", 0, 0, maxHeld), Weight: t.number("weight", 1, 0.001, 1e6),
	}
	t.done()
	return name, set
}

// readRoute makes a rule for each host of a route, which may have a name.
func readRoute(t *table, service string, pools *known) (name string, rules []route.Rule) {
	name = t.text("name", "", "a name of letters, digits, '.', '_' and '-', 64 at the most", isWord)
	r := route.Rule{
		Service: service, Path: t.text("path", "", "a prefix that begins with /", func(s string) bool { return strings.HasPrefix(s, "/") }),
		Method: t.text("method", "", "a method in upper case such as GET", isMethod),
		Class:  t.text("class", "", "the name of a class", isWord), As: t.text("as", "", "the name of a class", isWord),
		Origin: t.origin(),
	}
	hosts := t.texts("hosts", "a host such as orders.example.org or *.example.org", func(s string) bool { return s != "" })
	if pool := t.text("pool", "", "the name of a pool", isWord); pool != "" {
		r.Targets = []route.Target{{Pool: pool, Weight: 1}}
		pools.check(t, "pool", pool, r)
	}
	for n := range t.tables("pools") {
		g := route.Target{Pool: n.word("name", ""), Weight: n.count("weight", 1, 0, route.MaxWeight)}
		pools.check(n, "name", g.Pool, r)
		n.done()
		r.Targets = append(r.Targets, g)
	}
	switch {
	case len(r.Targets) == 0:
		t.fail("pool", "is missing: want pool = \"NAME\" or pools = [{ name = \"NAME\", weight = 1 }]")
	case t.m["pool"] != nil && t.m["pools"] != nil:
		t.fail("pools", "stands beside pool: want one of the two")
	}
	t.done()
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	for _, h := range hosts {
		r.Host = h
		rules = append(rules, r)
	}
	return name, rules
}

// known are the pools of a file, by name.
type known struct {
	pools map[string]*Pool
	want  string // the names, worded when the first route asks for another one
}

// check checks that a route's target is there and knows the class it is given. A record's
// is checked beside the other records.
func (k *known) check(t *table, key, pool string, r route.Rule) {
	if k == nil {
		return
	}
	p := k.pools[pool]
	if p == nil {
		if pool != "" {
			if k.want == "" {
				k.want = oneOf(slices.Sorted(maps.Keys(k.pools)))
			}
			t.fail(key, "%q is no pool of this file: want %s", pool, k.want)
		}
		return
	}
	for _, text := range p.unknown(r) {
		t.fail(key, "%s", text)
	}
}

// unknown words the classes that a route gives a pool and that this does not have.
func (p *Pool) unknown(r route.Rule) (all []string) {
	for _, class := range []string{r.As, r.Class} {
		if _, ok := p.Classes[class]; !ok && class != "" && (class == r.As || r.As == "") {
			all = append(all, fmt.Sprintf("%q has no class %q: want %s", p.Name, class, oneOf(slices.Sorted(maps.Keys(p.Classes)))))
		}
	}
	return all
}

// isDoor says whether operators can call at a place.
func isDoor(text string) bool {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		return filepath.IsAbs(path)
	}
	return isAddr(text)
}

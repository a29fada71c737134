package config

import (
	"log/slog"
	"math"
	"reflect"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/discovery"
	"jasperpin/internal/limit"
)

// Pool is a list of servers under one instance of the decision module.
type Pool struct {
	Name string
	// PlainHTTP pools speak HTTP without the platform's headers, others the platform's protocol.
	PlainHTTP    bool
	MaxBodyBytes int64 // the longest body, either way, in bytes
	// Share is the guaranteed part of the limits, 0 to 1. In Changes it is below 0 for pools that
	// name none: see Changes.UnnamedShare.
	Share          float64
	Gate           limit.GateSettings // places and the queue for them
	Servers        []core.Endpoint
	Discovery      string // its address; "" where the servers are listed
	KnownEndpoints discovery.List
	Zones          discovery.Zones
	Classes        map[string]int // positions in Settings.Classes by name
	Settings       decide.Settings
	DialTimeout    time.Duration
	Keys           map[string]IdempotencyRule // by class; classes without keys are not in it
}

// Feed returns where the pool's endpoints come from.
func (p *Pool) Feed(log *slog.Logger) discovery.FeedOptions {
	return discovery.FeedOptions{Servers: p.Servers, Discovery: p.Discovery, Cached: p.KnownEndpoints, Zones: p.Zones, Poll: p.Settings.PollDiscovery, Log: log}
}

// CanContinue is the rule of which pools a reload replaces. It reports whether the running pool of
// another configuration may go on under this one: nothing differs but its guaranteed part, places and
// queue, servers, address of discovery, or the keys of its classes. What has been learned, and open
// requests, rest on all else.
func (p *Pool) CanContinue(old *Pool) bool {
	if (old.Discovery == "") != (p.Discovery == "") {
		return false
	}
	was, is := *old, *p
	for _, c := range []*Pool{&was, &is} {
		c.Share, c.Gate, c.KnownEndpoints, c.Discovery, c.Servers, c.Keys = 0, limit.GateSettings{}, discovery.List{}, "", nil, nil
	}
	return reflect.DeepEqual(was, is)
}

// ClassNames returns the names of the classes in the order of their positions.
func (p *Pool) ClassNames() []string {
	names := make([]string, len(p.Classes))
	for name, position := range p.Classes {
		names[position] = name
	}
	return names
}

// GuaranteedUnits returns the pool's guaranteed part of a number of units. Share is the part, 0 to 1, of
// pools that name none.
func (p *Pool) GuaranteedUnits(total int, share float64) int {
	if p.Share >= 0 {
		share = p.Share
	}
	const roundingLoss = 1e-6
	return int(share*float64(total) + roundingLoss)
}

// Defaults of a pool.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultKeepAlive      = 15 * time.Second
	defaultRetryAfter     = 2 * time.Second
	defaultAttempts       = 3
	defaultQueueWait      = 100 * time.Millisecond
	// discoveryPollPeriod is the time between two polls of a discovery without a watch.
	discoveryPollPeriod = 10 * time.Second
	// unnamedShare is the part of the limits that all pools without a share divide, 0 to 1: the
	// other half can be borrowed by any.
	unnamedShare = 0.5
)

// Bounds of a pool.
const (
	maxBodyBytes   = 64 << 30
	maxAttempts    = 10
	minKeepAlive   = 100 * time.Millisecond
	maxShortTime   = time.Minute // of times for which a request waits
	maxCrossCost   = 100
	minServerShare = 0.001
	maxServerShare = 1000
	minSlowStart   = 0.01
	minMultiple    = 0.1
	maxMultiple    = 100
	// shareSlack is what rounding may add to the sum of all shares.
	shareSlack = 1e-9
)

// readPool reads a [[pool]] or a pool's record.
func readPool(t *table) Pool {
	p := Pool{
		Name: t.name(""), Classes: make(map[string]int), Zones: make(discovery.Zones),
		PlainHTTP:    t.choice("protocol", "http", "http", "platform") == "http",
		MaxBodyBytes: t.size("body", core.DefaultMaxBody, limit.MaxHeldBody, maxBodyBytes),
		Share:        t.number("share", -1, 0, 1),
		Discovery:    t.text("discovery", "", "an address and port such as 127.0.0.1:8500", isAddress),
		DialTimeout:  t.time("connect_timeout", defaultConnectTimeout, time.Millisecond, maxShortTime),
		Gate:         readGate(t),
	}
	p.readZones(t)
	p.readSettings(t)
	p.readServers(t)
	p.readClasses(t)
	t.done()
	return p
}

// readZones reads the zones of the servers, and which of them is the node's.
func (p *Pool) readZones(t *table) {
	for i, zone := range t.texts("zones", "the name of a zone", isWord) {
		p.Zones[zone] = i
	}
	p.Settings.ZoneCount = len(p.Zones)
	if zone := t.text("zone", "", "one of zones", isWord); zone != "" {
		position, ok := p.Zones[zone]
		if !ok {
			t.fail("zone", "is %q: want one of zones", zone)
		}
		p.Settings.Zone = position
	}
}

// readSettings reads the decision module's settings, but for the classes.
func (p *Pool) readSettings(t *table) {
	s := &p.Settings
	s.MaxAttempts = t.count("attempts", defaultAttempts, 1, maxAttempts)
	s.Hedging = t.flag("second_copies", true)
	s.CancelAttempts = true
	s.IdleTimeout = t.time("keepalive", defaultKeepAlive, minKeepAlive, maxDuration)
	s.MaxRetryAfter = t.time("retry_after", defaultRetryAfter, 0, maxDuration)
	s.CrossZoneCost = t.number("cross_cost", 0, 0, maxCrossCost)
	s.PollDiscovery, s.PollPeriod = p.Discovery != "", discoveryPollPeriod
	slowStart := t.table("cold")
	s.SlowStartShare = slowStart.number("start", 1, minSlowStart, 1)
	s.OverloadMultiple = slowStart.number("multiple", 1, minMultiple, maxMultiple)
	s.SlowStartWindow = slowStart.time("warm", 0, 0, maxDuration)
	slowStart.done()
}

// readServers reads where the pool's servers come from: [[pool.server]], servers, or discovery.
func (p *Pool) readServers(t *table) {
	names := make(map[string]bool)
	for server := range t.tables("server") {
		e := p.readServer(server)
		if names[e.Name] {
			server.fail("name", "%q names two servers: want another name for each", e.Name)
		}
		names[e.Name] = true
		server.done()
		p.Servers = append(p.Servers, e)
	}
	for _, address := range t.texts("servers", "an address and port such as 127.0.0.1:9001", isAddress) {
		if names[address] {
			t.fail("servers", "names %s twice: want each server once", address)
		}
		names[address] = true
		p.Servers = append(p.Servers, core.Endpoint{Name: address, Addr: address, State: decide.Ready, Capacity: 1})
	}
	switch {
	case p.Discovery != "" && len(p.Servers) > 0:
		t.fail("discovery", "is not allowed beside a list of servers: want one of the two")
	case p.Discovery == "" && len(p.Servers) == 0:
		t.fail("servers", "is missing: want servers = [\"127.0.0.1:9001\"], [[pool.server]] tables or discovery = \"127.0.0.1:8500\"")
	}
}

// readServer reads a [[pool.server]].
func (p *Pool) readServer(t *table) core.Endpoint {
	e := core.Endpoint{
		Addr: t.text("address", "", "an address and port such as 127.0.0.1:9001", isAddress), State: decide.Ready,
		Capacity: t.number("share", 1, minServerShare, maxServerShare), Cell: t.count("cell", 0, 0, math.MaxUint16),
	}
	t.require("address")
	e.Name = t.text("name", e.Addr, "a name", isWord)
	e.Zone = p.readServerZone(t)
	if t.flag("drain", false) {
		e.State = decide.Draining
	}
	return e
}

// readServerZone reads a server's zone. The position behind the last stands for none of the pool's.
func (p *Pool) readServerZone(t *table) int {
	zone := t.text("zone", "", "one of the pool's zones", isWord)
	if zone == "" {
		return len(p.Zones)
	}
	position, ok := p.Zones[zone]
	if !ok {
		t.fail("zone", "is %q: want one of the pool's zones", zone)
	}
	return position
}

// setShares sets the guaranteed parts of the pools that name none.
func (c *Config) setShares(root *table) {
	sum, unnamed := 0.0, 0
	for i := range c.Pools {
		if c.Pools[i].Share < 0 {
			unnamed++
		} else {
			sum += c.Pools[i].Share
		}
	}
	if sum > 1+shareSlack {
		root.fail("pool", "shares add up to %.3g: want 1 at the most, since each is guaranteed", sum)
	}
	for i := range c.Pools {
		if c.Pools[i].Share < 0 {
			c.Pools[i].Share = shareOfUnnamed(sum, unnamed)
		}
	}
}

// shareOfUnnamed is the guaranteed part of each pool that names none: they divide unnamedShare, or
// what the named parts leave. Named is the sum of those.
func shareOfUnnamed(named float64, unnamed int) float64 {
	return max(0, min(unnamedShare, 1-named)) / float64(max(1, unnamed))
}

// shareOfWhole returns the pool's guaranteed part of wholeShare, and whether it names one.
func (p *Pool) shareOfWhole() (share int64, named bool) {
	if p.Share < 0 {
		return 0, false
	}
	return int64(math.Round(p.Share * wholeShare)), true
}

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

// Pool is a set of servers whose load one decide.Balancer balances.
type Pool struct {
	Name string
	// PlainHTTP reports whether the servers use HTTP without the platform's headers; others use the
	// platform's protocol.
	PlainHTTP    bool
	MaxBodyBytes int64 // maximum length in bytes of a request or response body
	// Share is the guaranteed share of the limits, 0 to 1. In Changes it is below 0 for pools without an
	// explicit share; see Changes.DefaultShare.
	Share          float64
	Gate           limit.GateSettings // concurrency limit and admission queue
	Servers        []core.Endpoint
	Discovery      string // address; "" if the file lists the servers
	KnownEndpoints discovery.List
	Zones          discovery.Zones
	Classes        map[string]int // positions in Settings.Classes, by name
	Settings       decide.Settings
	DialTimeout    time.Duration
	Keys           map[string]IdempotencyRule // by class; only classes with idempotency keys
}

// Feed returns the options of the pool's endpoint source.
func (p *Pool) Feed(log *slog.Logger) discovery.FeedOptions {
	return discovery.FeedOptions{Servers: p.Servers, Discovery: p.Discovery, Cached: p.KnownEndpoints, Zones: p.Zones, Poll: p.Settings.PollDiscovery, Log: log}
}

// CanContinue reports whether a running pool of another configuration can continue under this one;
// otherwise a reload replaces it. The two may differ only in the guaranteed share, the concurrency limit
// and queue, the servers, the discovery address, and the idempotency keys of classes. Learned state and
// open requests depend on everything else.
func (p *Pool) CanContinue(old *Pool) bool {
	if (old.Discovery == "") != (p.Discovery == "") {
		return false
	}
	oldCopy, newCopy := *old, *p
	for _, c := range []*Pool{&oldCopy, &newCopy} {
		c.Share, c.Gate, c.KnownEndpoints, c.Discovery, c.Servers, c.Keys = 0, limit.GateSettings{}, discovery.List{}, "", nil, nil
	}
	return reflect.DeepEqual(oldCopy, newCopy)
}

// ClassNames returns the names of the classes, sorted by position.
func (p *Pool) ClassNames() []string {
	names := make([]string, len(p.Classes))
	for name, position := range p.Classes {
		names[position] = name
	}
	return names
}

// GuaranteedUnits returns the pool's guaranteed share of a number of units. The parameter share, 0 to 1, is
// that of pools without an explicit share.
func (p *Pool) GuaranteedUnits(total int, share float64) int {
	if p.Share >= 0 {
		share = p.Share
	}
	const roundingLoss = 1e-6
	return int(share*float64(total) + roundingLoss)
}

// Defaults of [[pool]].
const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultKeepAlive      = 15 * time.Second
	defaultRetryAfter     = 2 * time.Second
	defaultAttempts       = 3
	defaultQueueWait      = 100 * time.Millisecond
	// discoveryPollPeriod is the time between two polls of a discovery service without a watch.
	discoveryPollPeriod = 10 * time.Second
	// unnamedShare is the share of the limits, 0 to 1, that all pools without an explicit share divide
	// equally. Every pool can borrow from the other half.
	unnamedShare = 0.5
)

// Bounds of [[pool]].
const (
	maxBodyBytes   = 64 << 30
	maxAttempts    = 10
	minKeepAlive   = 100 * time.Millisecond
	maxShortTime   = time.Minute // of any time for which a request waits
	maxCrossCost   = 100
	minServerShare = 0.001
	maxServerShare = 1000
	minSlowStart   = 0.01
	minMultiple    = 0.1
	maxMultiple    = 100
	// shareSlack is the rounding error by which the sum of all shares may exceed 1.
	shareSlack = 1e-9
)

// readPool reads a [[pool]] table or a pool's record.
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
	t.reportUnknownKeys()
	return p
}

// readZones reads the zones of the servers, and the node's own zone, which is one of them.
func (p *Pool) readZones(t *table) {
	for i, zone := range t.texts("zones", "the name of a zone", isName) {
		p.Zones[zone] = i
	}
	p.Settings.ZoneCount = len(p.Zones)
	if zone := t.text("zone", "", "one of zones", isName); zone != "" {
		position, ok := p.Zones[zone]
		if !ok {
			t.fail("zone", "is %q: want one of zones", zone)
		}
		p.Settings.Zone = position
	}
}

// readSettings reads the settings of the pool's decide.Balancer, except for the classes.
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
	slowStart.reportUnknownKeys()
}

// readServers reads the pool's servers from [[pool.server]] and servers, or checks that it uses discovery.
func (p *Pool) readServers(t *table) {
	names := make(map[string]bool)
	for server := range t.tables("server") {
		e := p.readServer(server)
		if names[e.Name] {
			server.fail("name", "%q is the name of two servers: want a unique name for each", e.Name)
		}
		names[e.Name] = true
		server.reportUnknownKeys()
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
		t.fail("discovery", "is not allowed together with a list of servers: want one of the two")
	case p.Discovery == "" && len(p.Servers) == 0:
		t.fail("servers", "is missing: want servers = [\"127.0.0.1:9001\"], [[pool.server]] tables or discovery = \"127.0.0.1:8500\"")
	}
}

// readServer reads a [[pool.server]] table.
func (p *Pool) readServer(t *table) core.Endpoint {
	e := core.Endpoint{
		Addr: t.text("address", "", "an address and port such as 127.0.0.1:9001", isAddress), State: decide.Ready,
		Capacity: t.number("share", 1, minServerShare, maxServerShare), Cell: t.count("cell", 0, 0, math.MaxUint16),
	}
	t.require("address")
	e.Name = t.text("name", e.Addr, "a name", isName)
	e.Zone = p.readServerZone(t)
	if t.flag("drain", false) {
		e.State = decide.Draining
	}
	return e
}

// readServerZone reads a server's zone and returns its position. The position after the last zone stands
// for none.
func (p *Pool) readServerZone(t *table) int {
	zone := t.text("zone", "", "one of the pool's zones", isName)
	if zone == "" {
		return len(p.Zones)
	}
	position, ok := p.Zones[zone]
	if !ok {
		t.fail("zone", "is %q: want one of the pool's zones", zone)
	}
	return position
}

// setShares sets the guaranteed shares of the pools without an explicit share.
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
		root.fail("pool", "shares add up to %.3g: want at most 1, since each is guaranteed", sum)
	}
	for i := range c.Pools {
		if c.Pools[i].Share < 0 {
			c.Pools[i].Share = shareOfUnnamed(sum, unnamed)
		}
	}
}

// shareOfUnnamed returns the guaranteed share of each pool without an explicit share. These pools divide
// unnamedShare, or the rest that the explicit shares leave if that is less. Named is the sum of the explicit
// shares.
func shareOfUnnamed(named float64, unnamed int) float64 {
	return max(0, min(unnamedShare, 1-named)) / float64(max(1, unnamed))
}

// shareOfWhole returns the pool's guaranteed share in units of 1/wholeShare, and whether it is explicit.
func (p *Pool) shareOfWhole() (share int64, named bool) {
	if p.Share < 0 {
		return 0, false
	}
	return int64(math.Round(p.Share * wholeShare)), true
}

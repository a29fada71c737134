package fleetsim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jasperpin/decide"
)

// Run plays one run to its last answer.
func Run(set Settings) (*Result, error) {
	n := cmp.Or(set.Sites, zoneCount)
	if n < 1 || set.Nodes < n || set.Servers < n || !(set.Load > 0) || set.For <= 0 {
		return nil, fmt.Errorf("a fleet wants %d nodes and servers or more, a load and a time: %+v", n, set)
	}
	if n != zoneCount && (set.Planners > 0 || set.SitePlanners || set.Forward > 0) {
		return nil, fmt.Errorf("planners know of %d sites, not %d", zoneCount, n)
	}
	s := &sim{set: set, sites: n, rng: rand.New(rand.NewPCG(set.Seed, 2))}
	capacity := s.build()
	s.startBalancers()
	s.arrivals(set.Load * capacity / meanWork())
	for _, f := range set.Faults {
		s.after(f.At, func() { s.befall(f) })
	}
	if set.trial() {
		s.troubles()
	}
	if set.Lost.For > 0 {
		s.after(set.Lost.At, s.failZone)
	}
	if set.Restart > 0 {
		s.after(set.RestartEvery, s.restarts)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.res.Open = s.open
	for _, b := range s.balancers {
		s.res.Open += len(b.reqs)
	}
	s.planned()
	whole := 0.0
	for _, v := range s.servers {
		v.finishSlowStart()
		whole += float64(v.cores) * set.For.Seconds()
	}
	s.res.SlowStartUse /= max(s.coldTime, 1)
	s.res.WarmUse /= max(whole-s.coldTime, 1)
	slices.Sort(s.res.Latencies)
	return &s.res, nil
}

// build makes the servers and returns what they can do, in yardstick cores.
func (s *sim) build() (capacity float64) {
	for i := range s.set.Servers {
		at := (float64(i) + 0.5) / float64(s.set.Servers)
		k := serverKinds[len(serverKinds)-1]
		for _, o := range serverKinds {
			if at -= o.share; at < 0 {
				k = o
				break
			}
		}
		v := &server{
			sim: s, id: decide.ServerID(i + 1), site: i % s.sites, cores: k.cores,
			speed: k.slow + (k.fast-k.slow)*s.rng.Float64(), cachedKeys: make(map[uint64]time.Duration), state: decide.Ready,
		}
		if n := i / zoneCount; s.set.SmallSite > 0 && v.site == 0 && float64(n) >= s.set.SmallSite*float64(s.set.Servers)/zoneCount {
			v.site = 1 + n%(zoneCount-1)
		}
		s.servers = append(s.servers, v)
		capacity += float64(v.cores) * v.speed
	}
	return capacity
}

// startBalancers makes the brains and tells them of the servers.
func (s *sim) startBalancers() {
	n, far := s.set.Nodes, false
	switch {
	case s.set.SitePlanners:
		n, far = zoneCount, true
	case s.set.Planners > 0:
		n, far = s.set.Planners, true
	}
	for i := range n {
		s.balancers = append(s.balancers, s.newBalancerNode(i, n, i%s.sites, far))
	}
	for i := range s.set.Forward * zoneCount {
		p := &placementNode{sim: s, i: i}
		s.planners = append(s.planners, p)
		p.begin()
	}
	s.announceServers()
	for i, b := range s.balancers {
		if s.set.Forward > 0 {
			s.forwarder(i, b)
			s.forward = append(s.forward, b.f)
		}
	}
}

// newBalancerNode makes one of n that decide, at a site.
func (s *sim) newBalancerNode(i, n, site int, far bool) *balancerNode {
	b := &balancerNode{sim: s, site: site, far: far, reqs: make(map[decide.RequestID]*openRequest)}
	b.links, b.drained, b.weight = make(map[decide.ServerID]time.Duration), make(map[decide.ServerID]time.Duration), 1
	b.b = decide.New(s.settings(i, n, site), s.set.Seed+uint64(i)+uint64(s.lives)<<20, s.now, b)
	return b
}

// settings are what the module is told of one of n at a site.
func (s *sim) settings(i, n, site int) decide.Settings {
	set := decide.Settings{
		NodeIndex: i, NodeCount: n, Zone: site, ZoneCount: s.sites, MaxAttempts: 3, Hedging: true, CancelAttempts: true, WeightByWork: true, KeyAffinity: true,
		PollDiscovery: s.set.trial(), PollPeriod: 10 * time.Second,
		OverloadMultiple: overloadMultiple, SlowStartShare: slowStartShare, SlowStartWindow: slowStartWindow, CrossZoneCost: 0.12, IdleTimeout: idleTimeout, MaxRetryAfter: 2 * time.Second,
	}
	for _, c := range classes {
		set.Classes = append(set.Classes, c.Class)
	}
	return set
}

// entries is the list of servers.
func (s *sim) entries() (list []decide.Server) {
	for _, v := range s.servers {
		if v.state == decide.Gone {
			continue
		}
		since := v.startedAt
		if v.silent {
			since = 0 // nothing has been heard of a loss
		}
		list = append(list, decide.Server{ID: v.id, Zone: v.site, State: v.state, Capacity: float64(v.cores), StartedAt: since})
	}
	return list
}

// announceServers tells all who decide of every server.
func (s *sim) announceServers() {
	all := s.entries()
	s.told = all
	for _, b := range s.balancers {
		list := all
		if s.set.SitePlanners { // as forwarders' planners are; see plan.NewPlanner
			list = slices.DeleteFunc(slices.Clone(all), func(e decide.Server) bool { return e.Zone != b.site })
		}
		s.after(0, func() {
			if !s.set.trial() || b.watching {
				b.listed(decide.UpdateFull, list)
			} else if b.had == nil {
				b.listed(decide.UpdateCached, list)
			}
		})
	}
	for _, p := range s.planners {
		p.listed()
	}
}

// restarts has the next part of the servers restart, and the list tell of it.
func (s *sim) restarts() {
	if s.last {
		return
	}
	for range int(s.set.Restart * float64(len(s.servers))) {
		s.servers[s.rng.IntN(len(s.servers))].restart()
	}
	s.after(listDelay, s.announceServers)
	s.after(s.set.RestartEvery, s.restarts)
}

// arrivals sets the requests off, each as the one before comes.
func (s *sim) arrivals(rate float64) {
	zipf := rand.NewZipf(s.rng, 1.1, 4, keyCount-1)
	var next func()
	next = func() {
		if s.now >= s.set.For {
			s.last = true
			return
		}
		r := &request{site: s.rng.IntN(s.sites), began: s.now, key: zipf.Uint64()*0x9e3779b97f4a7c15 + 1}
		if s.set.Hot > 0 && s.now/time.Second%2 == 1 && s.rng.Float64() < s.set.Hot {
			r.key = 1 + uint64(s.now/(2*time.Second)) // a new one each time
		}
		at := s.rng.Float64()
		for r.class = range classes {
			if at -= classes[r.class].share; at < 0 {
				break
			}
		}
		r.work = time.Duration(s.rng.ExpFloat64() * float64(classes[r.class].work))
		s.res.Asked++
		s.open++
		s.submit(r)
		times := 1.0
		if u := &s.set.Burst; s.now >= u.At && s.now < u.At+u.For {
			times = u.Times
		}
		s.after(time.Duration(s.rng.ExpFloat64()/(rate*times)*float64(time.Second)), next)
	}
	s.after(0, next)
}

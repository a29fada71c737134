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

// Run simulates one run until all its requests have ended. It returns an error for invalid settings.
func Run(set Settings) (*Result, error) {
	n := cmp.Or(set.Zones, zoneCount)
	if n < 1 || set.Nodes < n || set.Servers < n || !(set.Load > 0) || set.Duration <= 0 {
		return nil, fmt.Errorf("invalid settings: want at least %d nodes and as many servers, and a positive load and duration: %+v", n, set)
	}
	if n != zoneCount && (set.Planners > 0 || set.ZonePlanners || set.PlannersPerZone > 0) {
		return nil, fmt.Errorf("invalid settings: planners work with %d zones only, not %d", zoneCount, n)
	}
	sim := &sim{set: set, zones: n, rng: rand.New(rand.NewPCG(set.Seed, 2))}
	capacity := sim.buildServers()
	sim.startBalancers()
	sim.scheduleArrivals(set.Load * capacity / meanWork())
	for _, f := range set.Faults {
		sim.after(f.At, func() { sim.injectFault(f) })
	}
	if set.isScenario() {
		sim.scheduleScenario()
	}
	if set.Outage.For > 0 {
		sim.after(set.Outage.At, sim.failZone)
	}
	if set.RestartShare > 0 {
		sim.after(set.RestartEvery, sim.restartServers)
	}
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.res.Unended = sim.openRequests
	for _, b := range sim.balancers {
		sim.res.Unended += len(b.requests)
	}
	sim.countPlanned()
	coreSeconds := 0.0
	for _, v := range sim.servers {
		v.finishSlowStart()
		coreSeconds += float64(v.cores) * set.Duration.Seconds()
	}
	sim.res.SlowStartUse /= max(sim.coldCoreSeconds, 1)
	sim.res.WarmUse /= max(coreSeconds-sim.coldCoreSeconds, 1)
	slices.Sort(sim.res.Latencies)
	return &sim.res, nil
}

// buildServers creates the servers and returns their capacity, in cores of the reference speed.
func (s *sim) buildServers() (capacity float64) {
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
			sim: s, id: decide.ServerID(i + 1), zone: i % s.zones, cores: k.cores,
			speed: k.slow + (k.fast-k.slow)*s.rng.Float64(), cachedKeys: make(map[uint64]time.Duration), state: decide.Ready,
		}
		if n := i / zoneCount; s.set.SmallZoneShare > 0 && v.zone == 0 && float64(n) >= s.set.SmallZoneShare*float64(s.set.Servers)/zoneCount {
			v.zone = 1 + n%(zoneCount-1)
		}
		s.servers = append(s.servers, v)
		capacity += float64(v.cores) * v.speed
	}
	return capacity
}

// startBalancers creates the balancers and sends them the endpoint list.
func (s *sim) startBalancers() {
	n, remote := s.set.Nodes, false
	switch {
	case s.set.ZonePlanners:
		n, remote = zoneCount, true
	case s.set.Planners > 0:
		n, remote = s.set.Planners, true
	}
	for i := range n {
		s.balancers = append(s.balancers, s.newBalancerNode(i, n, i%s.zones, remote))
	}
	for i := range s.set.PlannersPerZone * zoneCount {
		p := &plannerNode{sim: s, index: i}
		s.planners = append(s.planners, p)
		p.start()
	}
	s.announceServers()
	for i, b := range s.balancers {
		if s.set.PlannersPerZone > 0 {
			s.addForwarder(i, b)
			s.forwarders = append(s.forwarders, b.forwarder)
		}
	}
}

// newBalancerNode creates the i-th of n balancers, in a zone.
func (s *sim) newBalancerNode(i, n, zone int, remote bool) *balancerNode {
	b := &balancerNode{sim: s, zone: zone, remote: remote, requests: make(map[decide.RequestID]*openRequest)}
	b.lastSent, b.drainingSince, b.weight = make(map[decide.ServerID]time.Duration), make(map[decide.ServerID]time.Duration), 1
	b.balancer = decide.New(s.settings(i, n, zone), s.set.Seed+uint64(i)+uint64(s.nodeRestarts)<<20, s.now, b)
	return b
}

// settings returns the decide.Settings of the i-th of n balancers, in a zone.
func (s *sim) settings(i, n, zone int) decide.Settings {
	set := decide.Settings{
		NodeIndex: i, NodeCount: n, Zone: zone, ZoneCount: s.zones, MaxAttempts: 3, Hedging: true, CancelAttempts: true, WeightByWork: true, KeyAffinity: true,
		PollDiscovery: s.set.isScenario(), PollPeriod: 10 * time.Second,
		OverloadMultiple: overloadMultiple, SlowStartShare: slowStartShare, SlowStartWindow: slowStartWindow, CrossZoneCost: 0.12, IdleTimeout: idleTimeout, MaxRetryAfter: 2 * time.Second,
	}
	for _, c := range classes {
		set.Classes = append(set.Classes, c.Class)
	}
	return set
}

// endpointList returns the current endpoint list.
func (s *sim) endpointList() (list []decide.Server) {
	for _, v := range s.servers {
		if v.state == decide.Gone {
			continue
		}
		since := v.startedAt
		if v.unreachable {
			since = 0 // discovery has no new start time for an unreachable server
		}
		list = append(list, decide.Server{ID: v.id, Zone: v.zone, State: v.state, Capacity: float64(v.cores), StartedAt: since})
	}
	return list
}

// announceServers sends the endpoint list to all balancers and planners.
func (s *sim) announceServers() {
	all := s.endpointList()
	s.announced = all
	for _, b := range s.balancers {
		list := all
		if s.set.ZonePlanners { // the same is done by a forwarder's planner; see planner.NewPlanner
			list = slices.DeleteFunc(slices.Clone(all), func(e decide.Server) bool { return e.Zone != b.zone })
		}
		s.after(0, func() {
			if !s.set.isScenario() || b.watching {
				b.updateEndpoints(decide.UpdateFull, list)
			} else if b.endpoints == nil {
				b.updateEndpoints(decide.UpdateCached, list)
			}
		})
	}
	for _, p := range s.planners {
		p.updateEndpoints()
	}
}

// restartServers restarts some servers, updates the endpoint list and schedules its next call.
func (s *sim) restartServers() {
	if s.arrivalsEnded {
		return
	}
	for range int(s.set.RestartShare * float64(len(s.servers))) {
		s.servers[s.rng.IntN(len(s.servers))].restart()
	}
	s.after(listDelay, s.announceServers)
	s.after(s.set.RestartEvery, s.restartServers)
}

// scheduleArrivals schedules the requests, each at the arrival of the one before.
func (s *sim) scheduleArrivals(rate float64) {
	zipf := rand.NewZipf(s.rng, 1.1, 4, keyCount-1)
	var next func()
	next = func() {
		if s.now >= s.set.Duration {
			s.arrivalsEnded = true
			return
		}
		r := &request{zone: s.rng.IntN(s.zones), began: s.now, key: zipf.Uint64()*0x9e3779b97f4a7c15 + 1}
		if s.set.HotKeyShare > 0 && s.now/time.Second%2 == 1 && s.rng.Float64() < s.set.HotKeyShare {
			r.key = 1 + uint64(s.now/(2*time.Second)) // a new key every two seconds
		}
		at := s.rng.Float64()
		for r.class = range classes {
			if at -= classes[r.class].share; at < 0 {
				break
			}
		}
		r.work = time.Duration(s.rng.ExpFloat64() * float64(classes[r.class].work))
		s.res.Requests++
		s.openRequests++
		s.submit(r)
		times := 1.0
		if u := &s.set.Burst; s.now >= u.At && s.now < u.At+u.For {
			times = u.Multiple
		}
		s.after(time.Duration(s.rng.ExpFloat64()/(rate*times)*float64(time.Second)), next)
	}
	s.after(0, next)
}

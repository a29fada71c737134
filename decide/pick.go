package decide

import (
	"math"
	"slices"
	"time"
)

const (
	// draws is how many servers of the own zone, and of the others, are looked at:
	// enough to avoid the worst; looking at all would send nodes the same way.
	draws       = 4
	stretchGain = 0.3             // a server's own latency is noisy: smoothed over some answers,
	stretchFade = 8 * time.Second // and forgotten within seconds
	maxStretch  = 20.0
	// unlinked is how much less often a server without an idle connection is drawn:
	// spread thinly over a fleet a node hears from each too seldom to judge it. Cold
	// ones are exempt, or a release leaves the work to the servers still to go.
	unlinked = 40.0
	// idleMargin is by how many calls a server may exceed the mean and count as
	// idle: without it the key, the zone and the latency have no say.
	idleMargin = 1.5
	ownLoad    = 0.3 // what each own call outstanding adds, in expected latencies
	// crowdedBy: a node that sheds spares no crossing where its zone is so much
	// slower than the rest, or a third was shed beside a zone standing idle.
	crowdedBy = 1.2
	// warmGain is the head start of a server that met the key lately: over what
	// it saves, since each call elsewhere cools the key. keyServers is the least.
	warmGain   = 0.85
	keyServers = 2 // and keyMost the most
	keyMost    = 16
	hotKept    = 256 // hot keys whose servers are kept
	// searchMost bounds how many servers are looked at one after another: so many tell what the rest is
	// like. Where one in thirty would do, one in sixty such searches finds none.
	searchMost = 128
	keyWindow  = 1000 // requests over which a key's share is taken
)

// linked says whether a connection to a server is idle and so open still, as far as is known.
func (b *Balancer) linked(s *server) bool {
	return s.out == 0 && s.lastAnswer > 0 && b.now-s.lastAnswer < b.set.IdleTimeout
}

// saw takes a new latency ratio into a server's stretch.
func (s *server) saw(ratio float64, now time.Duration) {
	old := s.stretchAt(now)
	s.stretch, s.seenAt = old+(ratio-old)*stretchGain, now
}

// stretchAt is the stretch now: old news drifts back to the normal 1.
func (s *server) stretchAt(now time.Duration) float64 {
	if s.stretch == 1 {
		return 1 // as of most of many servers: a tick asks for all
	}
	return max(0.1, 1+(s.stretch-1)*math.Exp(-float64(now-s.seenAt)/float64(stretchFade)))
}

// usable says whether a request may go to a server at all.
func (b *Balancer) usable(r *request, s *server) bool {
	return s.State == Ready && !s.ejected && b.now >= s.restUntil && b.maySend(r, s) && !b.barred(s) && b.coldMay(s) &&
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.srv == s })
}

// cost estimates what sending a request to a server loses: the chance that the
// answer comes too late, and the prices of crossing zones and of connecting.
func (b *Balancer) cost(r *request, s *server, expect float64, warm bool) float64 {
	m := s.stretchAt(b.now) + ownLoad*float64(s.out)*b.totalScale/(s.Capacity*float64(len(b.ready)))
	crowded := b.window > 0 && b.remote.slow() > 0 && b.local.slow() > crowdedBy*b.remote.slow()
	if warm && crowded { // the wait for others is not saved
		m -= warmGain * min(m, 1)
	} else if warm {
		m *= 1 - warmGain
	}
	left := max(float64(r.aimAt-b.now), 1)
	c := math.Exp(-left/(m*expect)) + 0.01*m
	if s.Zone != b.set.Zone && !crowded {
		c += b.set.CrossZoneCost
	}
	if !b.linked(s) {
		c += b.linkCost
	}
	return c
}

// pick chooses the server for the next attempt: of a few drawn by weight, the best
// that is idle; where none is, the one that holds fewest of this node's calls.
func (b *Balancer) pick(r *request) *server {
	if s := b.byID[r.PlannedServer]; s != nil && r.PlannedServer != 0 && len(r.attempts) == 0 && s.State == Ready && !s.ejected && b.now >= s.restUntil {
		return s // whoever planned it has seen to cold servers for all nodes
	}
	expect := b.expected(r)
	var best *server
	bestCost := math.Inf(1)
	few := float64(b.local.out+b.remote.out) / max(b.totalScale, 1e-9) // the design's idle test: few own calls, against their mean
	try := func(s *server, warm bool) {
		b.looked++
		if s == nil || s == best || b.now < s.downUntil || float64(s.out) > idleMargin+few*s.Capacity || !b.usable(r, s) {
			return
		}
		if s.probation && (s.out > 0 || b.set.Classes[r.Class].Idempotency == NotIdempotent) {
			return // a returned server first proves itself on work that can be repeated
		}
		if c := b.cost(r, s, expect, warm); c < bestCost {
			best, bestCost = s, c
		}
	}
	if b.now < b.provenBy {
		// Nodes that begin together spread evenly (low discrepancy); some wait, if more than servers.
		_, part := math.Modf(float64(b.set.NodeIndex+b.samples*max(1, b.set.NodeCount)) * math.Phi)
		i := int(part * float64(max(len(b.local.list), b.set.NodeCount/max(1, b.set.ZoneCount))))
		b.sample = b.homes.at(i) // one order at all nodes, however they came to their lists
		b.samples++
		try(b.sample, false)
	}
	if b.set.KeyAffinity && r.Key != 0 {
		b.keyed(r, try)
	}
	for range draws {
		try(b.local.draw(b.rng), false)
		try(b.remote.draw(b.rng), false)
	}
	if best != nil {
		return best
	}
	return b.search(r)
}

// search looks for a server that a request may go to where those drawn did not do: from a random start,
// as nodes must not all fall upon the same, the one that holds fewest of this node's calls.
func (b *Balancer) search(r *request) (best *server) {
	from := b.rng.IntN(max(1, len(b.ready)))
	for i := range min(len(b.ready), searchMost) {
		b.looked++
		s := b.ready[(from+i)%len(b.ready)]
		if (best == nil || s.out < best.out) && b.usable(r, s) {
			best = s
		}
		if best != nil && best.out == 0 {
			break
		}
	}
	return best
}

// keyed offers the servers that a key is kept on: those of the node's zone that affinity
// chooses, which every node computes alike; more for a hot key, and cold ones
// too, within their budgets.
func (b *Balancer) keyed(r *request, try func(*server, bool)) {
	n := keyServers + int(2*float64(b.keys[r.Key])/float64(max(b.keySum, 200))*float64(len(b.local.list)))
	for _, home := range b.homesOf(r.Key, min(n, len(b.local.list), keyMost)) {
		try(home, true)
	}
}

// homesOf gives the first n servers that a key is kept on. Those of a hot key are kept until the servers
// change: its requests look at no more of many servers than of few.
func (b *Balancer) homesOf(key uint64, n int) []*server {
	if b.hotVersion != b.homes.version || len(b.hot) >= hotKept {
		b.hotVersion = b.homes.version
		clear(b.hot)
	}
	all := b.hot[key]
	for number := len(all); number < n; number++ {
		home, looked := b.homes.choose(key, uint64(number))
		b.looked += looked
		all = append(all, home)
	}
	if n > keyServers {
		b.hot[key] = all
	}
	return all[:n]
}

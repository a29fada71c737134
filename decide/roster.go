package decide

import (
	"math/rand/v2"
	"time"
)

// roster owns the servers that may be sent to, and what is kept over all of them. With n of them, what
// comes often costs at most log2(n):
//
//	join, leave         log2(n)   a change of the list
//	weigh               log2(n)   a server in doubt
//	pool.draw           log2(n)   a request, some times
//	homes.choose        log2(n)   a request with a key, some times
//	setEjected          1         an ejection or a return
//	doubtSums           1         a zone in doubt
//	reweigh             n         a tick
//
// What small changes leave of rounding in the sums is gone with the next tick.
type roster struct {
	ready         []*server // in no order that matters, but the same wherever the same was told
	local, remote pool
	homes         affinity             // of keys and samples, over the own zone's servers
	hot           map[uint64][]*server // the homes of hot keys, of a version of homes
	hotVersion    uint64
	totalScale    float64
	ejectedCount  int     // of those ready
	linkCost      float64 // what a new connection costs, in requests
	sureScale     float64 // of servers not ejected nor doubted, as far as warm
	zoneDoubts    uint64  // how often the whole own zone was doubted,
	zoneDoubtAt   time.Duration
}

// place is where a server stands in the lists of those ready.
type place struct {
	listed      bool
	ready, pool int
}

// counted is what a server counts for in the sums over all, as it was weighed last.
type counted struct {
	stretch, scale, warm, sure float64
	doubts                     uint64 // of its zone, at that time
}

// pool are the servers of the own zone, or of all others, with weights to draw by.
type pool struct {
	list []*server
	weights
	stretch float64 // the sum of theirs
	scale   float64 // the size of those not ejected,
	warm    float64 // and of these as far as warm
	sure    float64 // and not doubted
	out     int     // own attempts outstanding

	calls, logs float64 // while the own zone is unproven, and their latencies' logarithms over the expected

	answers meter // of the own zone, a second
}

// slow is the mean stretch.
func (p *pool) slow() float64 { return p.stretch / float64(max(1, len(p.list))) }

func (p *pool) draw(g *rand.Rand) *server {
	total := p.total()
	if !(total > 0) {
		return nil
	}
	return p.list[p.find(g.Float64()*total)]
}

// poolOf is the pool of a server's zone.
func (b *Balancer) poolOf(s *server) *pool {
	if s.Zone == b.set.Zone {
		return &b.local
	}
	return &b.remote
}

// join puts a server among those ready.
func (b *Balancer) join(s *server) {
	p := b.poolOf(s)
	s.place = place{listed: true, ready: len(b.ready), pool: len(p.list)}
	b.ready, p.list = append(b.ready, s), append(p.list, s)
	p.add(0)
	s.counted = counted{doubts: b.zoneDoubts}
	b.totalScale += s.Capacity
	if s.ejected {
		b.ejectedCount++
	}
	if b.placed(p) {
		b.homes.add(s)
	}
	b.weigh(s)
}

// leave takes a server from those ready, if it is one. The last takes its place.
func (b *Balancer) leave(s *server) {
	if !s.place.listed {
		return
	}
	p := b.poolOf(s)
	b.tally(p, s, counted{doubts: b.zoneDoubts})
	if b.placed(p) {
		b.homes.remove(s)
	}
	last := len(b.ready) - 1
	b.ready[s.place.ready] = b.ready[last]
	b.ready[last].place.ready = s.place.ready
	b.ready[last] = nil
	b.ready = b.ready[:last]
	last = len(p.list) - 1
	p.list[s.place.pool] = p.list[last]
	p.list[last].place.pool = s.place.pool
	p.set(s.place.pool, p.values[last])
	p.removeLast()
	p.list[last] = nil
	p.list = p.list[:last]
	s.place = place{}
	b.totalScale -= s.Capacity
	if s.ejected {
		b.ejectedCount--
	}
}

// placed says whether a pool's servers have places among the homes: where keys are kept on them, and where
// nodes that begin share them out for samples.
func (b *Balancer) placed(p *pool) bool {
	return p == &b.local && (b.set.KeyAffinity || b.set.PollDiscovery)
}

// setEjected notes that a server is out as an outlier, or back.
func (b *Balancer) setEjected(s *server, out bool) {
	if s.ejected == out {
		return
	}
	s.ejected = out
	switch {
	case !s.place.listed:
	case out:
		b.ejectedCount++
	default:
		b.ejectedCount--
	}
}

// measure is what a server counts for now, and its weight to be drawn by: size over stretch, and little
// while it is cold or has no connection at rest.
func (b *Balancer) measure(s *server) (is counted, weight float64) {
	b.looked++
	is = counted{stretch: s.stretchAt(b.now), doubts: b.zoneDoubts}
	if s.ejected {
		return is, 0
	}
	warmth := b.warmth(s)
	is.scale, is.warm = s.Capacity, s.Capacity*warmth
	if !b.doubted(s) {
		is.sure = is.warm
	}
	weight = is.warm / is.stretch
	if s.out == 0 && warmth == 1 && !b.linked(s) {
		weight /= unlinked
	}
	return is, weight
}

// weigh brings a server's weight, and the sums over all, up to date.
func (b *Balancer) weigh(s *server) {
	if !s.place.listed {
		return
	}
	p := b.poolOf(s)
	is, weight := b.measure(s)
	b.tally(p, s, is)
	p.set(s.place.pool, weight)
}

// tally has a server count for something else than before.
func (b *Balancer) tally(p *pool, s *server, is counted) {
	was := s.counted
	if p == &b.local && was.doubts != b.zoneDoubts { // as doubtSums has it since
		was.warm, was.sure = was.scale*b.leastWarmth(), 0
	}
	p.stretch += is.stretch - was.stretch
	p.scale += is.scale - was.scale
	p.warm += is.warm - was.warm
	p.sure += is.sure - was.sure
	b.sureScale += is.sure - was.sure
	s.counted = is
}

// doubtSums has all servers of the own zone count as cold and in doubt.
func (b *Balancer) doubtSums() {
	b.sureScale = b.remote.sure
	b.local.sure, b.local.warm = 0, b.local.scale*b.leastWarmth()
}

// leastWarmth is the warmth of a server that has just begun.
func (b *Balancer) leastWarmth() float64 {
	if b.set.SlowStartWindow <= 0 {
		return 1
	}
	return min(max(b.set.SlowStartShare, 0), 1)
}

// reweigh weighs all servers anew.
func (b *Balancer) reweigh() {
	b.totalScale = 0
	for _, p := range [...]*pool{&b.local, &b.remote} {
		p.stretch, p.scale, p.warm, p.sure = 0, 0, 0, 0
		for i, s := range p.list {
			is, weight := b.measure(s)
			p.stretch, p.scale, p.warm, p.sure = p.stretch+is.stretch, p.scale+is.scale, p.warm+is.warm, p.sure+is.sure
			p.values[i], s.counted = weight, is
			b.totalScale += s.Capacity
		}
		p.refresh()
	}
	b.sureScale = b.local.sure + b.remote.sure
	b.price()
}

// price sets what a new connection costs, in requests: handshake and time held open.
func (b *Balancer) price() {
	perServer := b.sent.at(b.now) * float64(b.set.NodeCount) / float64(max(1, len(b.ready)))
	b.linkCost = b.set.HandshakeCost + b.set.OpenConnectionCost/100*perServer*b.set.IdleTimeout.Seconds()
}

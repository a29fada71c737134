package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// coldMargin is the part of a cold server's budget that the nodes use
	// together: the rest is for chance and for servers slower than the mean.
	coldMargin = 0.5
	// coldSpan is how long a node may save its part up: saved for longer, the parts of eighty
	// nodes came together when a key kept on a cold server grew hot.
	coldSpan = 2 * time.Second
	// askStep spreads first calls, as all may start at once, within askMost and askShare of AskWithin.
	askStep  = 250 * time.Millisecond
	askMost  = 2 * time.Second
	askShare = 0.6
	askRetry = 1500 * time.Millisecond // base of the jittered wait after a failed call
	listLate = 6 * time.Second         // by then the list has told of a start, as the protocol says
	// silent is longer than a refusal takes; zoneSilent such in a row say that the zone is away.
	silent     = 100 * time.Millisecond
	zoneSilent = 3
	// leastScale and mostScale bound the sizes that are believed, against a usual server's.
	leastScale = 1e-3
	mostScale  = 1e6
	// proofSlower is the least by which cold servers are slower, where the settings say less.
	proofSlower = 2
)

// server is what the node knows of one server.
type server struct {
	Server
	health
	out        int           // own attempts outstanding
	lastAnswer time.Duration // the last sign of life, when a connection was last idle; 0 for never
	stretch    float64       // its latency over the expected one, smoothed
	seenAt     time.Duration
	restUntil  time.Duration // it said that it is full
	downUntil  time.Duration // it took no connection: only where there is none other
	awayAt     time.Duration // likewise, or its zone: it may have begun anew since
	sureAt     time.Duration // by then the list has told of a start before its answer; 0 for none yet
	tokens     float64       // slow-start budget, in average requests
	tokensAt   time.Duration
	doubts     uint64 // of the whole zone, that it has learned of
	place      place
	counted    counted
}

// members is the list and what is drawn from it.
type members struct {
	roster
	silence            int // connections that the own zone left silent, since it answered
	subscribed, asking bool
	provenBy           time.Duration // until then the own zone may have begun anew, as the list is old
	sample             *server       // the one of its servers that is tried meanwhile
	samples, failures  int           // so many so far; calls to discovery that failed in a row
}

// UpdateEndpoints takes discovery's news about the servers.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, list []Server) {
	b.now = max(b.now, now)
	if kind == UpdateFailed {
		b.asking, b.subscribed = false, false
		b.failures++
		// Again after a pause with jitter, longer with each failure.
		wait := float64(askRetry) * float64(min(b.failures, 3)) * (0.5 + b.rng.Float64())
		b.out.SetTimer(tokenAsk, b.now+time.Duration(min(wait, askShare*float64(b.set.PollPeriod))))
		return
	}
	if b.asking && kind != UpdateCached {
		b.asking, b.subscribed, b.failures = false, true, 0
	}
	if kind != UpdateDelta {
		b.dropUnlisted(list)
		list = slices.SortedFunc(slices.Values(list), byServerID) // nodes that begin draw samples by this order
	}
	b.UpdateServers(now, list)
}

// UpdateServers takes what is known of some servers, which is no word of discovery's. It costs what it names.
func (b *Balancer) UpdateServers(now time.Duration, list []Server) {
	b.now = max(b.now, now)
	for _, e := range list {
		b.apply(e)
	}
	b.price()
}

func byServerID(x, y Server) int { return cmp.Compare(x.ID, y.ID) }

// dropUnlisted forgets the servers that a whole list leaves out.
func (b *Balancer) dropUnlisted(list []Server) {
	listed := make(map[ServerID]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
	}
	b.looked += uint64(len(list) + len(b.byID))
	var gone []*server
	for id, s := range b.byID {
		if !listed[id] {
			gone = append(gone, s)
		}
	}
	slices.SortFunc(gone, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) }) // not as the map has them
	for _, s := range gone {
		b.drop(s)
	}
}

func (b *Balancer) drop(s *server) {
	b.leave(s)
	s.health = health{}
	s.State = Gone // attempts still out hold the pointer
	delete(b.byID, s.ID)
}

func (b *Balancer) apply(e Server) {
	b.looked++
	e.Capacity = scaleOf(e.Capacity)
	s := b.byID[e.ID]
	switch {
	case e.State == Gone:
		if s != nil {
			b.drop(s)
		}
		return
	case s == nil:
		s = &server{Server: Server{StartedAt: -1}} // no process so far
		b.byID[e.ID] = s
	case s.Server == e:
		return
	default:
		b.leave(s)
		if e.Zone != s.Zone {
			s.doubts = b.zoneDoubts // what it missed was of another zone
		}
	}
	if e.StartedAt != s.StartedAt { // a new process owes nothing to an old one's record
		*s = server{stretch: 1, out: s.out, doubts: b.zoneDoubts}
		b.chill(s)
	}
	s.Server = e
	if s.State == Ready {
		b.join(s)
	} else {
		s.health = health{}
	}
}

// scaleOf is a server's size as it counts: 1 where none is told, and within bounds, as sums over all are
// kept up by what comes and goes.
func scaleOf(told float64) float64 {
	if !(told > 0) {
		return 1
	}
	return min(max(told, leastScale), mostScale)
}

// chill begins a cold server's budget. A random first share keeps nodes told at once from
// sending at once.
func (b *Balancer) chill(s *server) { s.tokens, s.tokensAt = -b.rng.Float64(), b.now }

// away notes that a server took no connection after so long. Only the list, later, says whether
// it comes back cold: by all nodes at once it was taken for as warm as before.
func (b *Balancer) away(s *server, took time.Duration) {
	near := s.Zone == b.set.Zone && took >= silent
	if near {
		b.silence++
	}
	// Without a watch no restart is told of, and one is enough.
	if b.silence >= zoneSilent || near && b.set.PollDiscovery && !b.subscribed {
		b.doubtZone()
		return
	}
	b.looked++
	b.learnDoubts(s)
	s.awayAt, s.sureAt = b.now, 0
	b.chill(s)
	b.weigh(s)
}

// doubtZone notes that all servers of the own zone may have begun anew. Each learns of it when it is
// looked at next, by learnDoubts; the sums over all of them change at once, and the weights to draw by
// at the next tick.
func (b *Balancer) doubtZone() {
	b.zoneDoubts++
	b.zoneDoubtAt = b.now
	b.doubtSums()
}

// learnDoubts brings a server of the own zone up to date with the doubts of the whole zone. The first
// share of its budget is random, but the same whenever it is asked for.
func (b *Balancer) learnDoubts(s *server) {
	if s.doubts == b.zoneDoubts || s.Zone != b.set.Zone {
		return
	}
	s.doubts = b.zoneDoubts
	s.awayAt, s.sureAt = b.zoneDoubtAt, 0
	first := rand.New(rand.NewPCG(b.seed^uint64(s.ID), b.zoneDoubts)).Float64()
	s.tokens, s.tokensAt = -first, b.zoneDoubtAt
}

// prove takes a call's latency for its work, as far as told, while the own zone is unproven. That it is
// nearer to others' than to what the coldest servers would take shows that it has not begun anew.
func (b *Balancer) prove(r *request, s *server, took float64) {
	p, near, far := b.poolOf(s), &b.local, &b.remote
	p.calls, p.logs = p.calls+1, p.logs+math.Log(max(took, 1)/float64(max(1, cmp.Or(r.WorkHint, b.set.Classes[r.Class].LatencyObjective/8))))
	slower := max(proofSlower, 1/math.Sqrt(max(b.set.SlowStartShare, 0.01)))
	if min(near.calls, far.calls) > 0 && near.logs/near.calls <= far.logs/far.calls+math.Log(slower) {
		b.provenBy = 0
	}
}

// barred says whether a server's zone is unproven, and another of it tried, one call at a time.
func (b *Balancer) barred(s *server) bool {
	return b.now < b.provenBy && s.Zone == b.set.Zone && b.warmth(s) == 1 && b.remote.warm > 0 && (s != b.sample || b.local.out > 0)
}

// doubted says whether a server may have begun anew: not once it answers and the list had time.
func (b *Balancer) doubted(s *server) bool {
	b.learnDoubts(s)
	return s.awayAt > 0 && (s.sureAt == 0 || b.now < s.sureAt)
}

// warmth is the part of its capacity that a server has at the least.
func (b *Balancer) warmth(s *server) float64 {
	since := s.StartedAt
	if b.doubted(s) {
		since = s.awayAt
	}
	age := b.now - since
	if since <= 0 || b.set.SlowStartWindow <= 0 || age >= b.set.SlowStartWindow {
		return 1
	}
	share := float64(max(age, 0)) / float64(b.set.SlowStartWindow)
	start := b.leastWarmth()
	return start + (1-start)*share
}

// coldMay says whether this node's share of a cold server's budget has room: what servers of its
// size answer, times the multiple allowed and the capacity it has at the least. Nodes keep to their
// zones: they go by what theirs answers, or share all there where it is just back. It could do
// harm where most nodes are in one zone and most servers in another.
func (b *Balancer) coldMay(s *server) bool {
	w := b.warmth(s)
	if w == 1 || b.doubted(s) && b.sureScale == 0 {
		return true // the latter where no other is left
	}
	rate := b.okMeter.at(b.now) / max(b.local.warm+b.remote.warm, 1e-9)
	if s.Zone == b.set.Zone && !b.doubted(s) {
		near, share := b.local.answers.at(b.now)/max(b.local.warm, 1e-9), rate*float64(min(b.set.ZoneCount, b.set.NodeCount))
		if rate = max(rate, near); near < share/2 {
			rate = share
		}
	}
	rate *= s.Capacity * min(1, b.set.OverloadMultiple*coldMargin*w) * (1 - b.set.WithheldShare)
	s.tokens, s.tokensAt = s.tokens+rate*(b.now-s.tokensAt).Seconds(), b.now
	// A turn not taken passes, and what others hold is spread as before.
	s.tokens -= max(0, math.Ceil(s.tokens-rate*coldSpan.Seconds()))
	return s.tokens >= 0
}

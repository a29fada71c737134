package decide

import (
	"cmp"
	"maps"
	"math"
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
}

// members is the list and what is drawn from it.
type members struct {
	ready               []*server // may be sent to, by id
	local, remote       pool
	totalScale          float64
	linkCost, sureScale float64 // the latter of servers not ejected nor doubted, as far as warm
	silence             int     // connections that the own zone left silent, since it answered
	subscribed, asking  bool
	provenBy            time.Duration // until then the own zone may have begun anew, as the list is old
	sample              *server       // the one of its servers that is tried meanwhile
	samples, failures   int           // so many so far; calls to discovery that failed in a row
}

// Listed takes discovery's news about the servers.
func (b *Balancer) Listed(now time.Duration, kind ListKind, list []Server) {
	b.now = max(b.now, now)
	if kind == ListFailed {
		b.asking, b.subscribed = false, false
		b.failures++
		// Again after a pause with jitter, longer with each failure.
		wait := float64(askRetry) * float64(min(b.failures, 3)) * (0.5 + b.rng.Float64())
		b.out.Wake(tokenAsk, b.now+time.Duration(min(wait, askShare*float64(b.set.AskWithin))))
		return
	}
	if b.asking && kind != ListCached {
		b.asking, b.subscribed, b.failures = false, true, 0
	}
	if kind != ListDelta {
		for id, s := range b.byID { // in any order: dropping one affects no other
			b.looked += uint64(len(list))
			if !slices.ContainsFunc(list, func(e Server) bool { return e.ID == id }) {
				b.drop(s)
			}
		}
	}
	for _, e := range list {
		b.apply(e)
	}
	b.rebuild()
}

func (b *Balancer) drop(s *server) {
	s.health = health{}
	s.Condition = Gone // attempts still out hold the pointer
	delete(b.byID, s.ID)
}

func (b *Balancer) apply(e Server) {
	b.looked++
	s := b.byID[e.ID]
	if e.Condition == Gone {
		if s != nil {
			b.drop(s)
		}
		return
	}
	if s == nil {
		s = &server{Server: Server{Since: -1}} // no process so far
		b.byID[e.ID] = s
	}
	if e.Since != s.Since { // a new process owes nothing to an old one's record
		*s = server{stretch: 1, out: s.out}
		b.chill(s)
	}
	if !(e.Scale > 0) {
		e.Scale = 1
	}
	s.Server = e
	if s.Condition != Ready {
		s.health = health{}
	}
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
	doubt := []*server{s}
	if b.silence >= zoneSilent || near && b.set.Ask && !b.subscribed {
		doubt = b.local.list
	}
	b.looked += uint64(len(doubt))
	for _, o := range doubt {
		o.awayAt, o.sureAt = b.now, 0
		b.chill(o)
	}
	b.reweigh()
}

// prove takes a call's latency for its work, as far as told, while the own zone is unproven. That it is
// nearer to others' than to what the coldest servers would take shows that it has not begun anew.
func (b *Balancer) prove(r *request, s *server, took float64) {
	p, near, far := b.poolOf(s), &b.local, &b.remote
	p.calls, p.logs = p.calls+1, p.logs+math.Log(max(took, 1)/float64(max(1, cmp.Or(r.Hint, b.set.Classes[r.Class].Aim/8))))
	slower := max(proofSlower, 1/math.Sqrt(max(b.set.StartShare, 0.01)))
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
	return s.awayAt > 0 && (s.sureAt == 0 || b.now < s.sureAt)
}

// poolOf is the pool of a server's zone.
func (b *Balancer) poolOf(s *server) *pool {
	if s.Zone == b.set.Zone {
		return &b.local
	}
	return &b.remote
}

// rebuild sorts out what the picker draws from.
func (b *Balancer) rebuild() {
	b.looked += uint64(len(b.byID))
	b.ready = slices.SortedFunc(maps.Values(b.byID), func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	b.ready = slices.DeleteFunc(b.ready, func(s *server) bool { return s.Condition != Ready })
	b.local.list, b.remote.list, b.totalScale = b.local.list[:0], b.remote.list[:0], 0
	for _, s := range b.ready {
		b.totalScale += s.Scale
		p := b.poolOf(s)
		p.list = append(p.list, s)
	}
	b.reweigh()
}

// warmth is the part of its capacity that a server has at the least.
func (b *Balancer) warmth(s *server) float64 {
	since := s.Since
	if b.doubted(s) {
		since = s.awayAt
	}
	age := b.now - since
	if since <= 0 || b.set.WarmWithin <= 0 || age >= b.set.WarmWithin {
		return 1
	}
	share := float64(max(age, 0)) / float64(b.set.WarmWithin)
	start := min(max(b.set.StartShare, 0), 1)
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
		near, share := b.local.answers.at(b.now)/max(b.local.warm, 1e-9), rate*float64(min(b.set.Zones, b.set.Nodes))
		if rate = max(rate, near); near < share/2 {
			rate = share
		}
	}
	rate *= s.Scale * min(1, b.set.FallMultiple*coldMargin*w) * (1 - b.set.Withheld)
	s.tokens, s.tokensAt = s.tokens+rate*(b.now-s.tokensAt).Seconds(), b.now
	// A turn not taken passes, and what others hold is spread as before.
	s.tokens -= max(0, math.Ceil(s.tokens-rate*coldSpan.Seconds()))
	return s.tokens >= 0
}

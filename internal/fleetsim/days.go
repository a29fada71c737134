package fleetsim

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"jasperpin/decide"
)

// FleetDay are the troubles of a fleet of hundreds of nodes: traffic spread thin and unevenly,
// servers replaced, nodes that begin anew, cuts, answers that get lost. At and For, or Over,
// are times of the run; Part is of all there are.
type FleetDay struct {
	// Uneven has some nodes get several times the mean.
	Uneven bool
	// Replace has servers drain in steps, and new cold ones take their place.
	Replace struct {
		At, Over time.Duration
		Part     float64
	}
	// Anew has nodes begin anew with the list that they had last: after TERM, with nothing
	// lost, or Killed with all that they hold.
	Anew struct {
		At, Over time.Duration
		Part     float64
		Killed   bool
	}
	// Cut has nothing pass between the first site and the others.
	Cut struct{ At, For time.Duration }
	// Lossy loses so many answers, and as many connections under their requests.
	Lossy struct {
		At, For time.Duration
		Part    float64
	}
	// Resize has the fleet grow or shrink from one part of its nodes to another. Where Known is set
	// they know of each other: others hear of a change a second later, and a newcomer has its part
	// once all count it, so long after its start. Else the number that was right at first stands in
	// the file of each.
	Resize struct {
		At, Over time.Duration
		From, To float64
		Known    time.Duration
	}
	// Burst is so many times the load.
	Burst struct {
		At, For time.Duration
		Times   float64
	}
	// Bad is how many servers fail half of what they get.
	Bad float64
	// Late is by how much more the list is late.
	Late time.Duration
}

// Kinds are the days of a fleet of many nodes, by the names of the operators' trial.
var Kinds = []string{"calm", "roll", "herd", "zone", "split", "join"}

// Day is a day of a kind, of 22 seconds, with three to five sites. It fails for a kind that
// there is not.
func Day(kind string, nodes, servers int, seed uint64) (Settings, error) {
	set := Settings{Nodes: nodes, Servers: servers, Load: 0.6, For: 22 * time.Second, Seed: seed, Sites: zoneCount + int(seed%3)}
	m := &set.FleetDay
	m.Uneven = true
	at := 5 * time.Second
	switch kind {
	case "calm":
		set.Hot = 0.1
	case "roll":
		m.Replace.At, m.Replace.Over, m.Replace.Part = at-2*time.Second, 14*time.Second, 0.5
		m.Anew.At, m.Anew.Over, m.Anew.Part = at-2*time.Second, 16*time.Second, 1
	case "herd":
		m.Replace.At, m.Replace.Over, m.Replace.Part = at, 8*time.Second, 0.2
		m.Anew.At, m.Anew.Part, m.Anew.Killed = at+time.Second, 0.7, true
		m.Bad = 0.125
	case "zone":
		set.Lost = Loss{At: at, For: 5 * time.Second, Nodes: seed%2 == 0}
		m.Cut.At, m.Cut.For = at+8*time.Second, 3*time.Second
		m.Bad = 0.125
	case "split":
		m.Cut.At, m.Cut.For = at, 6*time.Second
		m.Lossy.At, m.Lossy.For, m.Lossy.Part = at, 10*time.Second, 0.01
		m.Late = 2 * time.Second
	case "join":
		m.Replace.At, m.Replace.Over, m.Replace.Part = at, 7*time.Second, 0.6
		m.Lossy.At, m.Lossy.For, m.Lossy.Part = at, 10*time.Second, 0.005
	default:
		return set, fmt.Errorf("no day %q: want one of %v", kind, Kinds)
	}
	return set, nil
}

// trial says whether the run has the forms of the operators' trial: discovery is asked then,
// and nodes begin with a list that was kept.
func (s *Settings) trial() bool { return s.FleetDay != FleetDay{} || s.Lost.For > 0 }

// node is what a node has beside what it decides.
type node struct {
	down, dead bool    // it takes nothing; it has ended
	weight     float64 // its part of the site's traffic
	watching   bool
	had        []decide.Server                   // the list, as last told
	drained    map[decide.ServerID]time.Duration // when it was told of a drain
	links      map[decide.ServerID]time.Duration // when a connection was last used
}

const (
	drainFor   = 3 * time.Second // from the list's word until the server has gone
	drainGrace = 2 * time.Second // nothing new goes there once a node has been told for so long
	linesASec  = 200             // of discovery, for all callers, where there are up to
	linesFor   = 300             // nodes, and as many more as these are
	callWait   = 2 * time.Second // after which a call to it fails
	downFor    = 3 * time.Second // how long a killed node is away
)

// troubles sets off what befalls the fleet.
func (s *sim) troubles() {
	m := &s.set.FleetDay
	if m.Uneven {
		for _, b := range s.balancers {
			b.weight = math.Exp(0.8 * s.rng.NormFloat64())
		}
	}
	for _, v := range s.servers {
		v.faulty = s.rng.Float64() < m.Bad
	}
	each := func(at, over time.Duration, n int, do func(i int)) {
		for i := range n {
			s.after(at+time.Duration(float64(over)*float64(i)/float64(n)), func() { do(i) })
		}
	}
	if m.Resize.From > 0 {
		s.resize()
	}
	order := s.rng.Perm(len(s.servers))
	each(m.Replace.At, m.Replace.Over, int(m.Replace.Part*float64(len(order))), func(i int) { s.replace(s.servers[order[i]]) })
	nodes := s.rng.Perm(len(s.balancers))
	each(m.Anew.At, m.Anew.Over, int(m.Anew.Part*float64(len(nodes))), func(i int) {
		if !m.Anew.Killed { // what it holds it ends beside the one that takes its place
			s.begin(nodes[i])
			return
		}
		s.kill(nodes[i])
		s.after(downFor, func() { s.begin(nodes[i]) })
	})
}

// heardOf is how long others take to hear of a newcomer, or of one that leaves.
const heardOf = time.Second

// resize has nodes come or go, and all know of it or not.
func (s *sim) resize() {
	r := &s.set.Resize
	n := float64(len(s.balancers))
	first, last := int(r.From*n), int(r.To*n)
	withheld := make(map[int]float64)
	count := first
	stand := func() {
		for i, b := range s.balancers {
			b.b.SetFleetPosition(i%count, count, withheld[i])
		}
	}
	for i := first; i < len(s.balancers); i++ {
		s.balancers[i].down = true
	}
	stand()
	for k := range max(last-first, first-last) {
		at := r.At + time.Duration(float64(r.Over)*float64(k)/math.Abs(float64(last-first)))
		s.after(at, func() {
			change := -1
			if i := first + k; last > first {
				change = 1
				s.begin(i)
				if r.Known > 0 {
					withheld[i] = 1
					s.after(r.Known, func() {
						withheld[i] = 0
						stand()
					})
				}
				stand()
			} else {
				s.balancers[first-1-k].down = true // what it holds it ends
			}
			if r.Known > 0 {
				s.after(heardOf, func() {
					count += change
					stand()
				})
			}
		})
	}
}

// front is a node of a site that is up, by its part of the traffic, or nil.
func (s *sim) front(site int) *balancerNode {
	sum := 0.0
	for i := site; i < len(s.balancers); i += s.sites {
		if !s.balancers[i].down {
			sum += s.balancers[i].weight
		}
	}
	at := s.rng.Float64() * sum
	for i := site; i < len(s.balancers); i += s.sites {
		if b := s.balancers[i]; !b.down {
			if at -= b.weight; at < 0 {
				return b
			}
		}
	}
	return nil
}

// kill ends a node with all that it holds.
func (s *sim) kill(i int) {
	b := s.balancers[i]
	b.down, b.dead = true, true
	for _, x := range b.reqs {
		if !x.settled {
			x.settled = true
			s.res.Failed++
			s.close(x.request, false)
		}
	}
	clear(b.reqs)
}

// begin has a node begin anew with the list that it had last.
func (s *sim) begin(i int) {
	old := s.balancers[i]
	s.lives++
	b := s.newBalancerNode(i, len(s.balancers), old.site, false)
	b.weight = old.weight
	b.listed(decide.UpdateCached, old.had)
	s.balancers[i] = b
}

// replace has a new server come, cold, and an old one drain once the list tells of both.
func (s *sim) replace(old *server) {
	v := &server{
		sim: s, id: decide.ServerID(len(s.servers) + 1), site: old.site, cores: old.cores, speed: old.speed,
		startedAt: s.now, cachedKeys: make(map[uint64]time.Duration), faulty: old.faulty, state: decide.Ready,
	}
	s.servers = append(s.servers, v)
	v.countSlowStart()
	old.state = decide.Draining
	s.after(listDelay+s.set.Late, s.announceServers)
	s.after(listDelay+s.set.Late+drainFor, func() {
		old.state = decide.Gone
		s.after(listDelay+s.set.Late, s.announceServers)
	})
}

// cut says whether nothing passes between two sites now.
func (s *sim) cut(a, b int) bool {
	c := &s.set.Cut
	return a != b && (a == 0 || b == 0) && s.now >= c.At && s.now < c.At+c.For
}

// spoilt says what becomes of an answer on a lossy network, if anything does.
func (s *sim) spoilt() (lost, reset bool) {
	l := &s.set.Lossy
	if l.Part == 0 || s.now < l.At || s.now >= l.At+l.For {
		return false, false
	}
	x := s.rng.Float64()
	return x < l.Part, x >= l.Part && x < 2*l.Part
}

// call has discovery work through one node's first call of a watch, in turn: lines for what
// the node has not been told.
func (s *sim) call(b *balancerNode) {
	s.res.Calls++
	lines := 1
	for _, e := range s.told {
		if !slices.ContainsFunc(b.had, func(o decide.Server) bool { return o == e }) {
			lines++
		}
	}
	s.res.Lines += lines
	start := max(s.now, s.discovery)
	late := start-s.now > callWait
	wait := callWait
	if !late {
		per := linesASec * max(1, float64(s.set.Nodes)/linesFor)
		s.discovery = start + time.Duration(float64(lines)/per*float64(time.Second))
		wait = s.discovery - s.now + watchDelay
	}
	s.after(wait, func() {
		switch {
		case b.dead:
		case late:
			s.res.CallsFailed++
			b.b.UpdateEndpoints(s.now, decide.UpdateFailed, nil)
		default:
			b.watching = true
			b.listed(decide.UpdateFull, s.told)
		}
	})
}

// listed tells a node a list.
func (b *balancerNode) listed(kind decide.UpdateKind, list []decide.Server) {
	b.had = list
	for _, e := range list {
		if _, known := b.drained[e.ID]; e.State == decide.Draining && !known {
			b.drained[e.ID] = b.sim.now
		}
	}
	b.b.UpdateEndpoints(b.sim.now, kind, list)
}

// told says whether a node has been told that a server started when it did.
func (b *balancerNode) told(v *server) bool {
	return v.inSlowStart() && slices.ContainsFunc(b.had, func(e decide.Server) bool { return e.ID == v.id && e.StartedAt == v.startedAt })
}

// watch keeps the fleet's books on an attempt at the moment that it is sent.
func (b *balancerNode) watch(v *server) {
	s := b.sim
	if at, ok := b.drained[v.id]; ok && s.now-at > drainGrace {
		s.res.AfterGrace++
	}
	if last, ok := b.links[v.id]; !ok || s.now-last > idleTimeout {
		s.res.Connects++
	}
	b.links[v.id] = s.now
}

// Bounds of a day, as parts of what they are counted of.
const (
	coldLeast   = 0.5  // of the use of other servers, that of cold ones: else they stand idle beside these
	coldMost    = 3.4  // of its capacity sent to a cold server in a second: the multiple, and chance
	fellMost    = 0.08 // of the servers of a lost site: nodes that begin anew in it know nothing yet
	connectMost = 0.45 // of attempts: thin traffic finds few connections open
	callsMost   = 0.5  // of first calls that discovery fails, where it has too many callers
)

// missedMost is how much of a day's requests may be missed, those that found no node of
// their site up aside. Of the zone's day a third of the servers is away for a quarter.
var missedMost = map[string]float64{"calm": 0.01, "roll": 0.02, "herd": 0.03, "zone": 0.12, "split": 0.02, "join": 0.06}

// SlowStartShare is how much servers worked of their time while cold, of how much otherwise.
func (r *Result) SlowStartShare() float64 { return r.SlowStartUse / max(r.WarmUse, 1e-9) }

// Violations names what a day of a kind, with its settings, broke of what has to hold of a fleet.
func (r *Result) Violations(kind string, set Settings) (broken []string) {
	no := func(n int, what string) {
		if n != 0 {
			broken = append(broken, fmt.Sprintf("%d %s", n, what))
		}
	}
	most := func(got, bound float64, what string) {
		if got > bound {
			broken = append(broken, fmt.Sprintf("%s: %.3f, at most %.3f", what, got, bound))
		}
	}
	no(r.Open, "requests or attempts never ended")
	no(r.Asked-len(r.Latencies)-r.Rejected-r.Failed, "requests without their one final answer")
	no(r.Twice, "unsafe requests ran twice")
	no(r.SlowStartCalls.OverloadedByInformedNodes, "cold servers were sent more than their budget and chance by nodes that were told")
	no(r.AfterGrace, "sends to a draining server after the grace")
	if kind == "roll" || kind == "join" { // where many are new
		if got := r.SlowStartShare(); got < coldLeast {
			broken = append(broken, fmt.Sprintf("use of cold servers beside the others: %.3f, at least %.3f", got, coldLeast))
		}
	}
	most(r.MaxSlowStartLoad, coldMost, "sent to a cold server, in what it could do")
	most(float64(r.Overloaded)/float64(max(1, set.Servers/cmp.Or(set.Sites, zoneCount))), fellMost, "part of a lost site's servers pushed over as it came back")
	most(float64(r.Missed-r.Unmet)/float64(max(1, r.Asked)), missedMost[kind], "part of requests missed")
	most(float64(r.Connects)/float64(max(1, r.Attempts)), connectMost, "connections for an attempt")
	most(float64(r.CallsFailed)/float64(max(1, r.Calls)), callsMost, "part of first calls that discovery failed")
	return broken
}

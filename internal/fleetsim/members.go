package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jasperpin/internal/membership"
)

// Members are the settings of a simulation of gossip among the members of a fleet, in virtual time: each
// member sends records to a few others at each tick, and exchanges all records with one now and then.
type Members struct {
	Count int
	Loss  float64 // share of records lost; full exchanges are streams and lose none
	Seed  uint64
	// Changes happen one after the other, each as soon as all members know of the previous change.
	Changes []Change
}

// Change is a change of the members of a fleet.
type Change uint8

// Begin: all members start within a second. Join: one starts. Leave: one leaves. Restart: one is killed, and
// starts again with proof that its last incarnation has ended. Partition: a network partition halves the fleet,
// one member starts in each half, and the partition heals.
const (
	Begin Change = iota
	Join
	Leave
	Restart
	Partition
)

// Convergence is how long the members took to know of a change.
type Convergence struct {
	Change Change
	After  time.Duration // time until all members knew of the change
}

// MembersResult is the result of a simulation of gossip.
type MembersResult struct {
	Changes     []Convergence
	MaxQuotaSum float64 // largest sum of the quotas of all members
	Records     float64 // records that a member sent per second, on average
	Bytes       float64 // bytes of records and full exchanges per second and member, at about 120 bytes per record
}

// Parameters of gossip, as in package gossip.
const (
	gossipTick           = 100 * time.Millisecond
	gossipFanout         = 3 // members that each member sends a packet to at each tick
	recordsPerPacket     = 11
	retransmitMultiplier = 2 // transmissions of each update, as a multiple of the logarithm of the number of members
	joinersPerTick       = 8 // joining members that each member sends its record to at each tick, if it counts them
	exchangePeriod       = 10 * time.Second
	reachableFor         = time.Second
	recordBytes          = 120
	partitionDuration    = 8 * time.Second
	convergenceTimeout   = 2 * time.Minute
)

// member is one incarnation of a member.
type member struct {
	view         *membership.View
	side         int
	announced    membership.MemberState // the member's own state, as it sent it last
	updates      map[membership.ID]*update
	pending      [][]*update   // updates by the number of transmissions left, some of them stale
	nextExchange time.Duration // time of the member's next full exchange
}

// update is a record that a member sends on.
type update struct {
	rec   membership.Record
	stale bool // a newer record has replaced this one
}

// gossipSim is the state of a simulation.
type gossipSim struct {
	set           Members
	rng           *rand.Rand
	now           time.Duration
	incarnations  map[string]uint64
	members       []*member
	partitioned   bool
	res           MembersResult
	sentRecords   float64
	sentBytes     float64
	memberSeconds float64 // number of members times seconds, summed up
}

// Run simulates the changes. It returns an error if not all members know of a change within
// convergenceTimeout.
func (set Members) Run() (*MembersResult, error) {
	t := &gossipSim{set: set, rng: rand.New(rand.NewPCG(set.Seed, 3)), now: time.Second, incarnations: make(map[string]uint64)}
	for _, c := range set.Changes {
		began := t.now
		if err := t.apply(c); err != nil {
			return nil, err
		}
		if c == Partition {
			began = t.now // the convergence is timed from the end of the partition
		}
		for !t.converged() {
			if t.now-began > convergenceTimeout {
				return nil, fmt.Errorf("change %d is not known to all %d members within %v", c, len(t.members), convergenceTimeout)
			}
			t.tick()
		}
		t.res.Changes = append(t.res.Changes, Convergence{c, t.now - began})
	}
	t.res.Records, t.res.Bytes = t.sentRecords/t.memberSeconds, t.sentBytes/t.memberSeconds
	return &t.res, nil
}

// apply makes a change and simulates the time that it takes.
func (t *gossipSim) apply(c Change) error {
	switch c {
	case Begin:
		for i := range t.set.Count {
			if err := t.start(fmt.Sprint("n", i), 0); err != nil {
				return err
			}
			if per := t.set.Count / 5; per > 0 && i%per == per-1 {
				t.tick() // start a fifth in each tick, all within a second
			}
		}
	case Join:
		return t.start(fmt.Sprint("j", len(t.incarnations)), 0)
	case Leave:
		i := 1 + t.rng.IntN(len(t.members)-1)
		t.members[i].view.Leave()
		last := t.members[i].view.Record()
		t.members = slices.Delete(t.members, i, i+1)
		for range 8 {
			t.deliver(t.members[t.rng.IntN(len(t.members))], last)
		}
	case Restart:
		i := 1 + t.rng.IntN(len(t.members)-1)
		name := t.members[i].view.Record().Name
		t.members = slices.Delete(t.members, i, i+1)
		for range 10 {
			t.tick()
		}
		return t.start(name, t.incarnations[name])
	case Partition:
		t.partitioned = true
		for half := range 2 {
			if err := t.start(fmt.Sprint("j", len(t.incarnations)), 0); err != nil {
				return err
			}
			t.members[len(t.members)-1].side = half
		}
		for end := t.now + partitionDuration; t.now < end; {
			t.tick()
		}
		t.partitioned = false
	}
	return nil
}

// start starts an incarnation of a member, which exchanges records with a running one.
func (t *gossipSim) start(name string, ended uint64) error {
	t.incarnations[name]++
	self := membership.Record{ID: membership.ID{Identity: membership.Identity{Name: name}, Incarnation: t.incarnations[name]}, Weight: 1, EndedUpTo: ended}
	v, err := membership.New(membership.Options{FirstMember: len(t.members) == 0, ReachableFor: reachableFor}, self, t.now)
	if err != nil {
		return err
	}
	joined := &member{view: v, side: len(t.members) % 2, updates: make(map[membership.ID]*update), nextExchange: t.now + time.Duration(t.rng.Int64N(int64(exchangePeriod)))}
	t.members = append(t.members, joined)
	if len(t.members) > 1 {
		t.exchange(joined)
	}
	return nil
}

// reachable reports whether two members can reach each other.
func (t *gossipSim) reachable(a, b *member) bool {
	return a != b && (!t.partitioned || a.side == b.side)
}

// randomPeer draws a member that m can reach. It returns nil after eight draws without one.
func (t *gossipSim) randomPeer(m *member) *member {
	for range 8 {
		if o := t.members[t.rng.IntN(len(t.members))]; t.reachable(m, o) {
			return o
		}
	}
	return nil
}

// exchange exchanges all records between a member and a random peer.
func (t *gossipSim) exchange(m *member) {
	o := t.randomPeer(m)
	if o == nil {
		return
	}
	own, received := m.view.Records(), o.view.Records()
	t.sentBytes += recordBytes * float64(len(own)+len(received))
	for _, r := range received {
		t.deliver(m, r)
	}
	for _, r := range own {
		t.deliver(o, r)
	}
}

// deliver merges a record into the view of a member, which sends it on if it is new.
func (t *gossipSim) deliver(m *member, r membership.Record) {
	if news, err := m.view.Merge(t.now, r); news && err == nil {
		m.enqueue(r, t.transmissions())
	}
}

// transmissions returns how often each member sends an update.
func (t *gossipSim) transmissions() int {
	return retransmitMultiplier * int(math.Ceil(math.Log10(float64(len(t.members)+1))))
}

// enqueue adds an update with a number of transmissions. It replaces an older update of the same incarnation.
func (m *member) enqueue(r membership.Record, times int) {
	if old := m.updates[r.ID]; old != nil {
		old.stale = true
	}
	w := &update{rec: r}
	m.updates[r.ID] = w
	m.push(w, times)
}

func (m *member) push(w *update, times int) {
	for len(m.pending) <= times {
		m.pending = append(m.pending, nil)
	}
	m.pending[times] = append(m.pending[times], w)
}

// nextPacket returns the updates that were sent least often, as many as a packet has room for.
func (m *member) nextPacket() (out []*update) {
	last := 0
	for times := len(m.pending) - 1; times > 0 && len(out) < recordsPerPacket; times-- {
		tier := m.pending[times]
		for len(tier) > 0 && len(out) < recordsPerPacket {
			if w := tier[0]; !w.stale {
				out = append(out, w)
				m.push(w, times-1)
			}
			tier = tier[1:]
		}
		m.pending[times], last = tier, times
	}
	if len(m.pending) > 0 && last == 1 {
		m.pending[0] = m.pending[0][:0] // these updates were transmitted often enough
	}
	return out
}

// tick simulates one gossip tick of all members.
func (t *gossipSim) tick() {
	t.now += gossipTick
	t.memberSeconds += gossipTick.Seconds() * float64(len(t.members))
	type message struct {
		to  *member
		rec membership.Record
	}
	var messages []message
	var joiners []*member
	for _, k := range t.members {
		if k.view.Record().State == membership.Joining {
			joiners = append(joiners, k)
		}
	}
	for _, sender := range t.members {
		sender.view.Tick(t.now)
		r := sender.view.Record()
		if r.State != sender.announced {
			sender.announced = r.State
			sender.enqueue(r, t.transmissions())
		}
		for range min(joinersPerTick, len(joiners)) {
			o := joiners[t.rng.IntN(len(joiners))]
			if !t.reachable(sender, o) || !sender.view.IsCounted(o.view.Record().ID) {
				continue
			}
			t.sentRecords++
			t.sentBytes += recordBytes
			if t.rng.Float64() >= t.set.Loss {
				messages = append(messages, message{o, r})
			}
		}
		for range gossipFanout {
			o := t.randomPeer(sender)
			if o == nil {
				continue
			}
			for _, w := range sender.nextPacket() {
				t.sentRecords++
				t.sentBytes += recordBytes
				if t.rng.Float64() >= t.set.Loss {
					messages = append(messages, message{o, w.rec})
				}
			}
		}
		if t.now >= sender.nextExchange {
			sender.nextExchange = t.now + exchangePeriod
			t.exchange(sender)
		}
	}
	for _, l := range messages {
		t.deliver(l.to, l.rec)
	}
	sum := 0.0
	for _, k := range t.members {
		sum += k.view.Quota()
	}
	t.res.MaxQuotaSum = max(t.res.MaxQuotaSum, sum)
}

// converged reports whether all members have equal quotas, and so count exactly each other.
func (t *gossipSim) converged() bool {
	for _, k := range t.members {
		if math.Abs(k.view.Quota()*float64(len(t.members))-1) > 1e-9 {
			return false
		}
	}
	return true
}

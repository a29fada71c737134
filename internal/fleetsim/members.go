package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jasperpin/internal/membership"
)

// Members says how a fleet's members tell each other of themselves, in virtual time: as the gossip does,
// by words to a few others at each tick and, now and then, a full exchange with one.
type Members struct {
	Count int
	Loss  float64 // of words; full exchanges go by streams
	Seed  uint64
	// Changes come one after the other, each once all know of the one before.
	Changes []Change
}

// Change is something that happens to a fleet's members.
type Change uint8

// All begin within a second; one begins; one leaves; one is killed and begins anew with proof; the
// fleet is cut in halves for a while and healed, as one begins in either.
const (
	Begin Change = iota
	Join
	Leave
	Restart
	Split
)

// Known is how the members came to know of a change.
type Known struct {
	Change Change
	After  time.Duration // until all did
}

// Told is what a fleet's members came to.
type Told struct {
	Known []Known
	Most  float64 // that the parts of one bound ever added up to
	Words float64 // that a member sent a second, on the mean
	Bytes float64 // of them and of full exchanges, of some 120 a record
}

// How members talk, as internal/gossip has it.
const (
	talkTick     = 100 * time.Millisecond
	talkTo       = 3  // others at each tick
	talkRecords  = 11 // in a packet
	talkRepeats  = 2  // times the logarithm of their number, of each word
	talkAsides   = 8  // joiners that each tells at each tick whom it counts
	talkExchange = 10 * time.Second
	talkSilent   = time.Second
	recordBytes  = 120
	splitLasts   = 8 * time.Second
	knownWithin  = 2 * time.Minute
)

// talker is one life in the play.
type talker struct {
	view  *membership.View
	half  int
	told  membership.MemberState // as it told all of itself last
	words map[membership.ID]*spoken
	tiers [][]*spoken   // the same, by how often they are still to be passed on, and some that are stale
	whole time.Duration // of its next full exchange
}

// spoken is a word that is passed on.
type spoken struct {
	rec   membership.Record
	stale bool // a newer one has its place
}

// talk is the play.
type talk struct {
	set   Members
	rng   *rand.Rand
	now   time.Duration
	lives map[string]uint64
	up    []*talker
	cut   bool
	res   Told
	sent  float64
	bytes float64
	spent float64 // members times seconds
}

// Run plays the changes. It fails where one is not known to all within two minutes.
func (set Members) Run() (*Told, error) {
	t := &talk{set: set, rng: rand.New(rand.NewPCG(set.Seed, 3)), now: time.Second, lives: make(map[string]uint64)}
	for _, c := range set.Changes {
		began := t.now
		if err := t.change(c); err != nil {
			return nil, err
		}
		if c == Split {
			began = t.now // of the heal
		}
		for !t.agree() {
			if t.now-began > knownWithin {
				return nil, fmt.Errorf("change %d is not known to all %d members within %v", c, len(t.up), knownWithin)
			}
			t.tick()
		}
		t.res.Known = append(t.res.Known, Known{c, t.now - began})
	}
	t.res.Words, t.res.Bytes = t.sent/t.spent, t.bytes/t.spent
	return &t.res, nil
}

func (t *talk) change(c Change) error {
	switch c {
	case Begin:
		for i := range t.set.Count {
			if err := t.start(fmt.Sprint("n", i), 0); err != nil {
				return err
			}
			if per := t.set.Count / 5; per > 0 && i%per == per-1 {
				t.tick() // a fifth at a time, within a second
			}
		}
	case Join:
		return t.start(fmt.Sprint("j", len(t.lives)), 0)
	case Leave:
		i := 1 + t.rng.IntN(len(t.up)-1)
		t.up[i].view.Leave()
		last := t.up[i].view.Record()
		t.up = slices.Delete(t.up, i, i+1)
		for range 8 {
			t.hear(t.up[t.rng.IntN(len(t.up))], last)
		}
	case Restart:
		i := 1 + t.rng.IntN(len(t.up)-1)
		name := t.up[i].view.Record().Name
		t.up = slices.Delete(t.up, i, i+1)
		for range 10 {
			t.tick()
		}
		return t.start(name, t.lives[name])
	case Split:
		t.cut = true
		for half := range 2 {
			if err := t.start(fmt.Sprint("j", len(t.lives)), 0); err != nil {
				return err
			}
			t.up[len(t.up)-1].half = half
		}
		for end := t.now + splitLasts; t.now < end; {
			t.tick()
		}
		t.cut = false
	}
	return nil
}

// start begins a life, which calls one that is there.
func (t *talk) start(name string, ended uint64) error {
	t.lives[name]++
	self := membership.Record{ID: membership.ID{Identity: membership.Identity{Name: name}, Incarnation: t.lives[name]}, Weight: 1, EndedUpTo: ended}
	v, err := membership.New(membership.Options{FirstMember: len(t.up) == 0, ReachableFor: talkSilent}, self, t.now)
	if err != nil {
		return err
	}
	k := &talker{view: v, half: len(t.up) % 2, words: make(map[membership.ID]*spoken), whole: t.now + time.Duration(t.rng.Int64N(int64(talkExchange)))}
	t.up = append(t.up, k)
	if len(t.up) > 1 {
		t.exchange(k)
	}
	return nil
}

// reach says whether one can be reached from another.
func (t *talk) reach(a, b *talker) bool { return a != b && (!t.cut || a.half == b.half) }

// other draws one that can be reached, or nil.
func (t *talk) other(k *talker) *talker {
	for range 8 {
		if o := t.up[t.rng.IntN(len(t.up))]; t.reach(k, o) {
			return o
		}
	}
	return nil
}

func (t *talk) exchange(k *talker) {
	o := t.other(k)
	if o == nil {
		return
	}
	mine, others := k.view.Records(), o.view.Records()
	t.bytes += recordBytes * float64(len(mine)+len(others))
	for _, r := range others {
		t.hear(k, r)
	}
	for _, r := range mine {
		t.hear(o, r)
	}
}

// hear has one take a record, and pass it on where it is news.
func (t *talk) hear(k *talker, r membership.Record) {
	if news, err := k.view.Merge(t.now, r); news && err == nil {
		k.say(r, t.repeats())
	}
}

func (t *talk) repeats() int {
	return talkRepeats * int(math.Ceil(math.Log10(float64(len(t.up)+1))))
}

// say takes a word to be passed on so often, in place of an older one of the same life.
func (k *talker) say(r membership.Record, times int) {
	if old := k.words[r.ID]; old != nil {
		old.stale = true
	}
	w := &spoken{rec: r}
	k.words[r.ID] = w
	k.push(w, times)
}

func (k *talker) push(w *spoken, times int) {
	for len(k.tiers) <= times {
		k.tiers = append(k.tiers, nil)
	}
	k.tiers[times] = append(k.tiers[times], w)
}

// packet takes the words that were passed on least, as many as a packet holds.
func (k *talker) packet() (out []*spoken) {
	last := 0
	for times := len(k.tiers) - 1; times > 0 && len(out) < talkRecords; times-- {
		tier := k.tiers[times]
		for len(tier) > 0 && len(out) < talkRecords {
			if w := tier[0]; !w.stale {
				out = append(out, w)
				k.push(w, times-1)
			}
			tier = tier[1:]
		}
		k.tiers[times], last = tier, times
	}
	if len(k.tiers) > 0 && last == 1 {
		k.tiers[0] = k.tiers[0][:0] // said often enough
	}
	return out
}

// tick lets all say what they have to.
func (t *talk) tick() {
	t.now += talkTick
	t.spent += talkTick.Seconds() * float64(len(t.up))
	type letter struct {
		to  *talker
		rec membership.Record
	}
	var letters []letter
	var joiners []*talker
	for _, k := range t.up {
		if k.view.Record().State == membership.Joining {
			joiners = append(joiners, k)
		}
	}
	for _, k := range t.up {
		k.view.Tick(t.now)
		r := k.view.Record()
		if r.State != k.told {
			k.told = r.State
			k.say(r, t.repeats())
		}
		for range min(talkAsides, len(joiners)) {
			o := joiners[t.rng.IntN(len(joiners))]
			if !t.reach(k, o) || !k.view.IsCounted(o.view.Record().ID) {
				continue
			}
			t.sent++
			t.bytes += recordBytes
			if t.rng.Float64() >= t.set.Loss {
				letters = append(letters, letter{o, r})
			}
		}
		for range talkTo {
			o := t.other(k)
			if o == nil {
				continue
			}
			for _, w := range k.packet() {
				t.sent++
				t.bytes += recordBytes
				if t.rng.Float64() >= t.set.Loss {
					letters = append(letters, letter{o, w.rec})
				}
			}
		}
		if t.now >= k.whole {
			k.whole = t.now + talkExchange
			t.exchange(k)
		}
	}
	for _, l := range letters {
		t.hear(l.to, l.rec)
	}
	sum := 0.0
	for _, k := range t.up {
		sum += k.view.Quota()
	}
	t.res.Most = max(t.res.Most, sum)
}

// agree says whether all count just each other, and have an even part.
func (t *talk) agree() bool {
	for _, k := range t.up {
		if math.Abs(k.view.Quota()*float64(len(t.up))-1) > 1e-9 {
			return false
		}
	}
	return true
}

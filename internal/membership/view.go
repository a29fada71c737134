// Package membership is what a node knows of the other nodes of its fleet: who is heard, who may
// still be serving, and which part of a bound over all of them is the node's own. It is pure:
// records and the reader's own monotonic time go in, and nothing else is asked.
//
// Two questions are never mixed up. Heard is for what goes better with more hands. MayServe is
// what every bound is divided by: whoever has once been heard of is in it until proven gone,
// however long it says nothing. A part shrinks as soon as another is heard of, and grows, or
// begins, by proof alone.
package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Bounds of what others may make grow.
const (
	// MaxMembers is how many lives a view holds. Beyond, nobody new is taken in, and so none new
	// gets a part.
	MaxMembers = 4096
	// MaxText bounds a name or a site, in bytes.
	MaxText = 128
	// tellGone is how long a life that is gone is told of, and keepGone how long it is remembered, so that
	// an old record counts it no more. One that comes later still has it counted, until it is told again.
	tellGone = time.Hour
	keepGone = 24 * time.Hour
	// MaxWeight bounds a member's weight, against others'.
	MaxWeight = 1e6
)

// What is wrong with a record.
var (
	ErrRecord = errors.New("the record cannot be used")
	ErrName   = errors.New("another process is a member under this name")
	ErrFull   = errors.New("the view has no room for another member")
)

// MemberState is what a member says of itself.
type MemberState uint8

// A member that Joins has no part yet. One that Leaves has given its own up, and is proven gone.
const (
	Joining MemberState = iota + 1
	Serving
	Leaving
)

// Identity is where the lives of a member follow each other, and know of each other's ends: its name,
// and a number drawn once for the place. Two places of one name are a mistake of somebody's.
type Identity struct {
	Name  string
	Place uint64
}

// ID is one life of a member. A process that begins anew has a greater one in its seat.
type ID struct {
	Identity
	Incarnation uint64
}

func (a ID) compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Place, b.Place), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Record is what a member tells of itself. Of two of one life that with the greater Seq holds,
// so that records may be lost, doubled, late or out of order.
type Record struct {
	ID
	Seq    uint64
	Site   string
	Weight float64 // of its part, against others'
	State  MemberState
	// Ended says that all lives of this seat up to it have ended, as the process knows of its
	// own machine; 0 for none.
	Ended uint64
	// Digest stands for the set of lives that the member counts, itself among them.
	Digest uint64
}

// check says whether a record can be used. What a stranger or a fault made changes nothing.
func (r *Record) check() error {
	switch {
	case r.Seq == 0 || r.Seq == math.MaxUint64:
		return fmt.Errorf("%w: a number above 0 and below the greatest is wanted", ErrRecord)
	case r.Name == "" || len(r.Name) > MaxText || len(r.Site) > MaxText:
		return fmt.Errorf("%w: a name of 1 to %d bytes and a site of as many at most are wanted", ErrRecord, MaxText)
	case r.Incarnation == 0 || r.Ended >= r.Incarnation:
		return fmt.Errorf("%w: a life above 0 and above those that have ended is wanted", ErrRecord)
	case !(r.Weight > 0) || r.Weight > MaxWeight:
		return fmt.Errorf("%w: a weight above 0 and up to %.0f is wanted", ErrRecord, float64(MaxWeight))
	case r.State < Joining || r.State > Leaving:
		return fmt.Errorf("%w: no state %d", ErrRecord, r.State)
	}
	return nil
}

// Member is one life as a view shows it.
type Member struct {
	ID
	Site   string // "" where only others have told of it
	Weight float64
	State  MemberState
	Heard  time.Duration // by the reader's clock; 0 for never
	Part   float64       // of a bound over all, as the view has it; 0 without one
}

// member is what is held of a life.
type member struct {
	rec    Record
	mark   uint64        // what stands for it in digests
	heard  time.Duration // when it last told something new, or was seen; 0 for never
	gone   bool          // it has left, or was not heard for as long as the operator states
	goneAt time.Duration // since when, as Tick saw it first; 0 before
	counts bool          // it is known to count this member
}

// Options are what a view goes by.
type Options struct {
	// Silent is how long a member may say nothing and still be heard.
	Silent time.Duration
	// Gone is how long one may say nothing before it counts as gone, as the operator states; 0
	// for never. A member that was cut off for longer, and serves, is then counted by nobody.
	Gone time.Duration
	// Alone says that there is nobody to join: this life serves from its start. It must be true
	// of one of a fleet's first lives, and of no other: joiners wait for one that serves.
	Alone bool
}

// View is what one member knows. It is not safe for use by several goroutines at once.
type View struct {
	opts   Options
	self   ID
	lives  map[ID]*member      // those gone are kept, so that their old records count them no more
	ended  map[Identity]uint64 // the greatest life proven to have ended
	sum    uint64              // the digest of all that may be serving,
	drawn  uint64              // and the one for which step last looked at all
	ticked time.Duration       // the time of the last Tick
	whole  bool                // one that serves was known to count the same: nobody whom it counts is missing here
}

// New begins a life. Its record's Seq, State and Digest are the view's own from here on.
func New(o Options, self Record, now time.Duration) (*View, error) {
	self.Seq, self.State, self.Digest = 1, Joining, self.digest()
	if err := self.check(); err != nil {
		return nil, err
	}
	v := &View{opts: o, self: self.ID, lives: make(map[ID]*member), ended: make(map[Identity]uint64)}
	if o.Alone {
		self.State = Serving
	}
	v.lives[self.ID] = &member{rec: self, mark: self.digest(), heard: now}
	v.sum = self.digest()
	v.drawn = v.sum
	v.end(self.Identity, self.Ended)
	return v, nil
}

// All is what this member holds of everybody, for a full exchange.
func (v *View) All() []Record {
	all := make([]Record, 0, len(v.lives))
	for _, m := range v.lives {
		if m.goneAt > 0 && v.ticked-m.goneAt > tellGone {
			continue
		}
		if m.rec.Seq < math.MaxUint64 { // else it is a proof, which is for this member alone
			all = append(all, m.rec)
		}
	}
	return all
}

// Record is what there is to tell of this member now.
func (v *View) Record() Record {
	return v.lives[v.self].rec
}

// Hear takes a record that came from wherever, and says whether it was news. With an error nothing
// has changed. ErrName is for a joiner by the name of another that is not proven gone: who came
// first goes on, and one that serves already is counted, whatever its name.
func (v *View) Hear(now time.Duration, r Record) (news bool, err error) {
	if err := r.check(); err != nil {
		return false, err
	}
	if r.ID == v.self {
		if r.State == Leaving && r.Seq > v.Record().Seq { // all others count it no more: see Given
			v.count(v.lives[v.self], false)
		}
		return false, nil // else its own, on its way back
	}
	m := v.lives[r.ID]
	switch {
	case m != nil && r.Seq <= m.rec.Seq || r.Incarnation <= v.ended[r.Identity]:
		return false, nil // known, or of a life that has ended
	case m != nil && m.rec.Weight != r.Weight:
		return false, fmt.Errorf("%w: the weight of %s is another than it was; it takes a new life", ErrRecord, r.Name)
	}
	if m == nil {
		if r.State == Joining && v.taken(r.Identity) {
			return false, fmt.Errorf("%w: %s", ErrName, r.Name)
		}
		if len(v.lives) >= MaxMembers {
			return false, ErrFull
		}
		m = &member{mark: r.digest(), gone: true}
		v.lives[r.ID] = m
	}
	m.rec, m.heard = r, now
	v.count(m, r.State != Leaving)
	v.end(r.Identity, r.Ended)
	v.step(m)
	return true, nil
}

// taken says whether another place goes by a name, and is not proven gone.
func (v *View) taken(seat Identity) bool {
	for id, m := range v.lives {
		if id.Name == seat.Name && id.Place != seat.Place && !m.gone {
			return true
		}
	}
	return false
}

// Ended takes the proof of others, such as the group's, that a life has ended.
func (v *View) Ended(id ID) {
	if m := v.lives[id]; m != nil {
		if v.count(m, false); id != v.self {
			m.rec.Seq = math.MaxUint64 // whatever it told before comes too late
		}
	} else if len(v.lives) < MaxMembers {
		v.lives[id] = &member{gone: true, mark: id.digest(), rec: Record{ID: id, Seq: math.MaxUint64}}
	}
	v.step(nil)
}

// Given is the record with which an operator, who knows that a life has ended and cannot say so
// itself, has all members count it no more. Where it goes on after all, it has no part.
func (v *View) Given(id ID) (Record, error) {
	m := v.lives[id]
	if m == nil || id == v.self {
		return Record{}, fmt.Errorf("no other member %s of life %d is known", id.Name, id.Incarnation)
	}
	r := m.rec
	r.Seq, r.State, r.Weight = math.MaxUint64-1, Leaving, cmp.Or(r.Weight, 1)
	return r, nil
}

// end forgets the lives of a seat up to one.
func (v *View) end(seat Identity, life uint64) {
	if life <= v.ended[seat] {
		return
	}
	v.ended[seat] = life
	for id, m := range v.lives {
		if id.Identity != seat || id.Incarnation > life {
			continue
		}
		if v.count(m, false); id != v.self {
			delete(v.lives, id)
		}
	}
}

// Before takes the proof of this member's own machine that all lives of its seat up to one, which
// is before its own, have ended. It is told to all.
func (v *View) Before(life uint64) {
	self := &v.lives[v.self].rec
	if life <= self.Ended || life >= v.self.Incarnation {
		return
	}
	self.Ended = life
	self.Seq++
	v.end(v.self.Identity, life)
	v.step(nil)
}

// Whole takes the proof of others, such as the group's, that nobody who serves is missing here: it
// stands in for one that serves and counts the same.
func (v *View) Whole() {
	v.whole = true
	v.step(nil)
}

// Begin takes an operator's word that no member serves, as after the loss of a whole fleet: this
// one does from now on, and the others join it. A wrong word makes two fleets until they meet.
func (v *View) Begin() error {
	self := &v.lives[v.self].rec
	if self.State != Joining {
		return fmt.Errorf("%s is no joiner any more", self.Name)
	}
	self.State = Serving
	self.Seq++
	return nil
}

// Seen takes note that a member is there, though it has told nothing new.
func (v *View) Seen(now time.Duration, id ID) {
	if m := v.lives[id]; m != nil {
		m.heard = now
	}
}

// Leave gives this member's part up, for good. The record that says so has to be told.
func (v *View) Leave() {
	v.lives[v.self].rec.State = Leaving
	v.lives[v.self].rec.Seq++
}

// Tick lets time pass: members that have said nothing for as long as the operator states are gone, and
// those that are gone are forgotten in the end.
func (v *View) Tick(now time.Duration) {
	v.ticked = now
	for id, m := range v.lives {
		switch {
		case !m.gone:
			m.goneAt = 0
		case m.goneAt == 0:
			m.goneAt = max(now, 1)
		case now-m.goneAt > keepGone && id != v.self:
			delete(v.lives, id)
		}
		if v.opts.Gone > 0 && id != v.self && now-m.heard > v.opts.Gone {
			v.count(m, false)
		}
	}
	v.step(nil)
}

// count has a life counted, or not any more.
func (v *View) count(m *member, is bool) {
	if is == m.gone {
		if m.gone = !is; is {
			v.sum += m.mark
		} else {
			v.sum -= m.mark
		}
	}
}

// step draws what follows: who is known to count the same lives as this member, and so itself,
// and whether its part begins. Where these are the lives of the last time, only the one heard of
// can show something new.
func (v *View) step(heard *member) {
	self := &v.lives[v.self].rec
	shows := func(m *member) {
		if m.rec.Digest == v.sum && m.rec.ID != v.self {
			m.counts = true
			v.whole = v.whole || m.rec.State == Serving
		}
	}
	if v.sum != v.drawn {
		for _, m := range v.lives {
			shows(m)
		}
	} else if heard != nil {
		shows(heard)
	}
	v.drawn = v.sum
	state := self.State
	if state == Joining && v.whole && v.counted() {
		self.State = Serving
	}
	if self.State != state || self.Digest != v.sum {
		self.Digest = v.sum
		self.Seq++
	}
}

// counted says whether all others that may be serving are known to count this member. What a
// member has said of that once holds: none is forgotten without proof.
func (v *View) counted() bool {
	for other, m := range v.lives {
		if other != v.self && !m.gone && !m.counts {
			return false
		}
	}
	return true
}

// digest stands for a life in the digest of a set of them.
func (id ID) digest() uint64 {
	return hash(id.Incarnation, id.Name) ^ hash(^id.Incarnation, strconv.FormatUint(id.Place, 36))
}

// hash is the same at all members.
func hash(n uint64, text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, n))
	_, _ = io.WriteString(h, text)
	return h.Sum64()
}

// Part is which part of a bound over all members this one may use, from 0 to 1: its weight
// against that of all who may be serving, and 0 until it has joined or once it leaves.
func (v *View) Part() float64 {
	self := v.lives[v.self].rec
	if self.State != Serving || v.lives[v.self].gone {
		return 0
	}
	return self.Weight / v.weights()
}

// weights are those of all who may be serving.
func (v *View) weights() (sum float64) {
	for _, m := range v.lives {
		if !m.gone {
			sum += m.rec.Weight
		}
	}
	return sum
}

// Heard are the members that have said something of late, by name: this one, and who else is
// there to do something together.
func (v *View) Heard(now time.Duration) []Member {
	return slices.DeleteFunc(v.MayServe(), func(m Member) bool { return !v.Hears(now, m) })
}

// Hears says whether a member is among those heard.
func (v *View) Hears(now time.Duration, m Member) bool {
	return m.ID == v.self || m.Heard > 0 && now-m.Heard <= v.opts.Silent
}

// Knows says whether anything was heard of a life, or of a later one in its seat.
func (v *View) Knows(id ID) bool { return v.lives[id] != nil || id.Incarnation <= v.ended[id.Identity] }

// Counts says whether a life may be serving.
func (v *View) Counts(id ID) bool {
	m := v.lives[id]
	return m != nil && !m.gone
}

// MayServe are the members that may be serving, by name: all that were ever heard of and are not
// proven gone.
func (v *View) MayServe() []Member {
	sum := v.weights()
	all := make([]Member, 0, len(v.lives))
	for _, id := range slices.SortedFunc(maps.Keys(v.lives), ID.compare) {
		m := v.lives[id]
		if m.gone {
			continue
		}
		shown := Member{ID: id, Site: m.rec.Site, Weight: m.rec.Weight, State: m.rec.State, Heard: m.heard}
		if m.rec.State == Serving {
			shown.Part = m.rec.Weight / sum
		}
		all = append(all, shown)
	}
	return all
}

// Rank orders members for a key, the same at all who know the same: a join or leave moves only
// the keys that it wins or lost. Weights count, by weighted rendezvous hashing.
func Rank(key uint64, of []Member) []Member {
	score := make(map[ID]float64, len(of))
	for _, m := range of {
		u := rand.New(rand.NewPCG(hash(0, m.Name), key)).Float64()
		score[m.ID] = -math.Log(u+1e-18) / m.Weight
	}
	ranked := slices.Clone(of)
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Or(cmp.Compare(score[a.ID], score[b.ID]), a.compare(b.ID)) })
	return ranked
}

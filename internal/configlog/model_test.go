package configlog

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// smaller has logs and pieces that a model's small states go beyond.
func smaller(t *testing.T) {
	log, piece := maxLog, pieceBytes
	maxLog, pieceBytes = 4, 100
	t.Cleanup(func() { maxLog, pieceBytes = log, piece })
}

// wire is one stream of the model, as TCP has it: what was sent comes in order, late, or not at all. After a cut
// it may stay dead, and neither side hears of that.
type wire struct {
	id     uint64
	from   *party // the follower
	to     *party
	cursor *Cursor
	up     bool // the dial has come about
	dead   bool
	old    Piece    // the last one of an old snapshot, from a liar that gives such
	words  []Word   // on their way to the follower
	ask    []Resume // and to the relay
}

// party is a voter, relay or node of the model.
type party struct {
	name   string
	voter  bool // it has what the voters agreed on
	liar   bool // it says what it likes
	zone   string
	peers  []Peer
	f      *Follower // nil of a voter, or of one that is down
	down   bool
	paused bool
	born   time.Duration // its own clock began then
	serves *Streams
	// What is on its disk, and whether that was damaged.
	copy, journal []byte
	damaged       bool
	// What is in force, and the greatest version that was.
	version uint64
	inForce map[Key]string
	runs    uint64
}

// tier is the model: one order of changes, voters that have it, relays and nodes that follow.
type tier struct {
	t       *rapid.T // nil where nothing is drawn
	tb      rapid.TB
	now     time.Duration
	voters  *State
	past    []map[Key]string // by version
	digests []Digest
	all     []*party
	wires   []*wire
	cut     map[[2]string]bool // from one to another
	rough   bool               // words within a stream are lost, doubled and out of order
	errs    bool               // so that honest relays may be called liars
	manner  int                // of the liar
	old     *Snapshot          // that it gives in place of newer ones
	heard   int                // changes that came, and pieces, and lies that were found
	pieces  int
	lies    int
}

func newTier(tb rapid.TB, relays, nodes, liars int) *tier {
	t, _ := tb.(*rapid.T)
	m := &tier{t: t, tb: tb, voters: New(), past: []map[Key]string{{}}, cut: make(map[[2]string]bool)}
	m.digests = []Digest{m.voters.Digest()}
	zones := []string{"a", "b"}
	var voters, serve []Peer
	for i := range 2 {
		p := Peer{Name: fmt.Sprint("v", i), Zone: zones[i%2], Region: zones[i%2]}
		voters = append(voters, p)
		m.all = append(m.all, &party{name: p.Name, voter: true, zone: p.Zone, serves: new(Streams)})
	}
	for i := range relays + liars {
		p := Peer{Name: fmt.Sprint("r", i), Zone: zones[i%2], Region: zones[i%2]}
		serve = append(serve, p)
		m.all = append(m.all, &party{name: p.Name, zone: p.Zone, serves: new(Streams), liar: i >= relays})
	}
	for i := range nodes {
		m.all = append(m.all, &party{name: fmt.Sprint("n", i), zone: zones[i%2], peers: serve})
	}
	for _, p := range m.all {
		if strings.HasPrefix(p.name, "r") && !p.liar {
			for _, o := range serve {
				if o.Rank = 1; o.Name != p.name {
					p.peers = append(p.peers, o)
				}
			}
			p.peers = append(p.peers, voters...)
		}
		m.start(p)
	}
	return m
}

// follows says whether a party follows others.
func (p *party) follows() bool { return len(p.peers) > 0 }

// state is what a party that serves has.
func (m *tier) state(p *party) *State {
	if p.f != nil {
		return p.f.State()
	}
	return m.voters
}

// start has a party run, from what is on its disk.
func (m *tier) start(p *party) {
	p.down, p.paused = false, false
	if p.serves != nil {
		p.serves = new(Streams)
	}
	if !p.follows() {
		return
	}
	s := New()
	if len(p.copy) > 0 {
		back, err := Restore(p.copy)
		if err == nil {
			s = back
		} else if !p.damaged {
			m.tb.Fatalf("%s cannot read its copy: %v", p.name, err)
		}
	}
	good, _ := Replay(s, p.journal) // the end may have been cut by the crash
	p.journal = p.journal[:good]
	if s.Version() < p.version && !p.damaged {
		m.tb.Fatalf("%s had version %d in force and comes back with %d", p.name, p.version, s.Version())
	}
	if p.damaged {
		p.copy, p.journal = s.Snapshot().Encode(), nil
	}
	p.damaged = false
	p.version, p.inForce = s.Version(), table(s)
	p.runs++
	p.born = m.now
	p.f = NewFollower(Options{Name: p.name, Zone: p.zone, Region: p.zone, Peers: p.peers, Relay: p.serves != nil, Seed: p.runs}, s, 0)
	m.check(p)
}

// crash ends a party; a crash cuts what was just written.
func (m *tier) crash(p *party) {
	p.down, p.f = true, nil
	for _, w := range slices.Clone(m.wires) {
		if w.from == p || w.to == p {
			m.end(w, w.from != p)
		}
	}
}

// end ends a stream, and may tell its follower.
func (m *tier) end(w *wire, tell bool) {
	m.wires = slices.DeleteFunc(m.wires, func(o *wire) bool { return o == w })
	if w.cursor != nil {
		w.cursor.Close()
	}
	if tell && w.from.f != nil {
		w.from.f.Lost(w.id, m.now-w.from.born)
	}
}

// check holds what a party has in force to what was agreed on: one version of it, whole.
func (m *tier) check(p *party) {
	if p.version > m.voters.Version() || !maps.Equal(p.inForce, m.past[p.version]) {
		m.tb.Fatalf("%s has version %d in force as %v, which is %v", p.name, p.version, p.inForce, m.past[min(p.version, m.voters.Version())])
	}
}

// act has a party do what its follower says; a crash may come between any two steps.
func (m *tier) act(p *party, crashes bool) {
	if p.f == nil {
		return
	}
	dies := func(label string) bool {
		if crashes && rapid.IntRange(0, 19).Draw(m.t, label) == 0 {
			m.crash(p)
			return true
		}
		return false
	}
	for _, a := range p.f.Take() {
		switch a := a.(type) {
		case Dial:
			m.wires = append(m.wires, &wire{id: a.Stream, from: p, to: m.party(a.Peer)})
		case Resume:
			if w := m.wire(p, a.Stream); w != nil {
				w.ask = append(w.ask, a)
			}
		case Leave:
			if a.Why == Lies {
				m.lies++
				if !m.party(a.Peer).liar && !m.errs {
					m.tb.Fatalf("%s calls %s a liar", p.name, a.Peer)
				}
			}
			if w := m.wire(p, a.Stream); w != nil {
				m.end(w, false)
			}
		case Changed:
			m.heard += len(a.Changes)
			for _, c := range a.Changes {
				entry := AppendEntry(nil, c)
				if dies("while it is written") {
					p.journal = append(p.journal, entry[:rapid.IntRange(0, len(entry)).Draw(m.t, "written")]...)
					return
				}
				p.journal = append(p.journal, entry...)
				if dies("before it is in force") {
					return
				}
				if c.Version != p.version+1 {
					m.tb.Fatalf("%s goes from version %d to %d", p.name, p.version, c.Version)
				}
				p.version, p.inForce = c.Version, maps.Clone(p.inForce)
				for _, r := range c.Records {
					if delete(p.inForce, r.Key); r.Value != nil {
						p.inForce[r.Key] = string(r.Value)
					}
				}
				m.check(p)
			}
		case Installed:
			if a.Snapshot.Version() <= p.version {
				m.tb.Fatalf("%s goes from version %d to %d", p.name, p.version, a.Snapshot.Version())
			}
			p.copy = a.Snapshot.Encode() // renamed in its place, whole
			if dies("before the journal is cut") {
				return
			}
			p.journal = nil
			p.version, p.inForce = a.Snapshot.Version(), make(map[Key]string)
			for r := range a.Snapshot.Under("") {
				p.inForce[r.Key] = string(r.Value)
			}
			m.check(p)
		}
	}
}

func (m *tier) party(name string) *party {
	return m.all[slices.IndexFunc(m.all, func(p *party) bool { return p.name == name })]
}

func (m *tier) wire(p *party, id uint64) *wire {
	for _, w := range m.wires {
		if w.from == p && w.id == id {
			return w
		}
	}
	return nil
}

// reaches says whether words come from one to another.
func (m *tier) reaches(a, b *party) bool {
	return !m.cut[[2]string{a.name, b.name}] && !a.down && !b.down && !a.paused && !b.paused
}

// tick lets time pass, and words.
func (m *tier) tick(d time.Duration, crashes bool) {
	m.now += d
	for _, p := range m.all {
		if p.f != nil && !p.paused {
			p.f.Tick(m.now - p.born)
			m.act(p, crashes)
		}
	}
	for _, w := range slices.Clone(m.wires) {
		m.pass(w, crashes)
	}
}

// pass moves what a stream has, both ways.
func (m *tier) pass(w *wire, crashes bool) {
	if !slices.Contains(m.wires, w) || w.from.f == nil || w.dead {
		return
	}
	f := w.from.f
	there, back := m.reaches(w.from, w.to), m.reaches(w.to, w.from)
	if !w.up {
		switch {
		case w.to.down && !w.to.paused && !m.cut[[2]string{w.from.name, w.to.name}] && !m.cut[[2]string{w.to.name, w.from.name}]:
			m.end(w, true) // refused
		case there && back:
			w.up, w.cursor = true, w.to.serves.Open()
			f.Connected(w.id, m.now-w.from.born)
			m.act(w.from, crashes)
		}
		return
	}
	if there {
		for _, r := range w.ask {
			w.cursor.Resume(r.Version, r.Log)
		}
		w.ask = nil
	}
	for !w.to.down && !w.to.paused && len(w.words) < 4 {
		age := time.Duration(0)
		if w.to.f != nil {
			age = w.to.f.Age(m.now - w.to.born)
		}
		word := w.cursor.Next(m.state(w.to), age, m.now)
		if word == nil {
			break
		}
		if w.to.liar {
			if word = m.lie(w, word); word == nil {
				continue
			}
		}
		sent, err := DecodeWord(AppendWord(nil, word))
		if err != nil {
			m.tb.Fatal(err)
		}
		w.words = append(w.words, sent)
	}
	if m.rough && len(w.words) > 1 {
		switch rapid.IntRange(0, 9).Draw(m.t, "roughly") {
		case 0:
			w.words = w.words[1:]
		case 1:
			w.words = append(w.words, w.words[0])
		case 2:
			slices.Reverse(w.words)
		}
	}
	for back && len(w.words) > 0 && slices.Contains(m.wires, w) && w.from.f == f {
		word := w.words[0]
		w.words = w.words[1:]
		now := m.now - w.from.born
		switch word := word.(type) {
		case Offer:
			f.Offer(w.id, word, now)
		case Changes:
			f.Changes(w.id, word, now)
		case Piece:
			m.pieces++
			f.Piece(w.id, word, now)
		}
		m.act(w.from, crashes)
	}
}

// lie makes something else of a word now and then, or always promises what it never gives, or gives what is old.
func (m *tier) lie(on *wire, w Word) Word {
	o, offers := w.(Offer)
	switch {
	case m.manner == 1 && offers:
		o.Version += 1000
		return o
	case m.manner == 1:
		return nil
	case m.manner == 2 && offers && m.old == nil && rapid.Bool().Draw(m.t, "old"):
		s := m.voters.Snapshot()
		m.old = &s
	case m.manner == 2 && !offers && m.old != nil:
		if on.old.Last {
			return nil
		}
		on.old = m.old.Piece(on.old)
		return on.old
	}
	if m.manner > 0 {
		return w
	}
	kind := rapid.IntRange(0, 5).Draw(m.t, "lie")
	switch w := w.(type) {
	case Offer:
		switch kind {
		case 0:
			w.Version += rapid.Uint64Range(1, 9).Draw(m.t, "ahead")
		case 1:
			w.Version -= min(w.Version, 2)
		case 2:
			w.Digest[0]++
		}
		return w
	case Changes:
		w = slices.Clone(w)
		c := &w[0]
		c.Records = slices.Clone(c.Records)
		switch kind {
		case 0:
			c.Records[0].Value = []byte(`{"false":1}`)
		case 1:
			c.Records = append(c.Records, put(PoolKey("false"), `{}`))
		case 2:
			c.Digest[3]++
		case 3:
			c.Author = "nobody"
		case 4:
			return w[1:]
		}
		return w
	case Piece:
		switch kind {
		case 0:
			w.Records = append(slices.Clone(w.Records), Held{put(PoolKey("zz"), `{}`), 1})
		case 1:
			w.Last = !w.Last
		case 2:
			w.Version++
		case 3:
			w.Records = w.Records[:len(w.Records)/2]
		case 4:
			w.Digest[1]++
		case 5:
			if len(w.Changes) > 0 {
				w.Changes = slices.Clone(w.Changes)
				w.Changes[0].Author = "nobody"
			}
		}
		return w
	}
	return w
}

// propose has the voters agree on something, or not.
func (m *tier) propose() {
	c := Change{Base: m.voters.Version(), Records: rapid.SliceOfN(rapid.Custom(drawRecord), 1, 3).Draw(m.t, "records")}
	if m.voters.Version() > 0 && rapid.IntRange(0, 9).Draw(m.t, "rollback") == 0 {
		r, err := m.voters.Revert(rapid.Uint64Range(m.voters.Floor(), m.voters.Version()).Draw(m.t, "to"))
		if err != nil {
			return
		}
		c = r
	}
	if c, err := m.voters.Propose(c); err == nil {
		m.digests = append(m.digests, c.Digest)
		m.past = append(m.past, table(m.voters))
	}
}

// faults plays changes while links are cut, parties crash and their disks rot.
func (m *tier) faults(steps int) {
	t := m.t
	any := func(label string) *party { return m.all[rapid.IntRange(0, len(m.all)-1).Draw(t, label)] }
	for range rapid.IntRange(1, steps).Draw(t, "steps") {
		switch rapid.IntRange(0, 11).Draw(t, "op") {
		case 0, 1:
			m.propose()
		case 2: // one way, or both
			a, b, is, dead := any("from"), any("to"), rapid.Bool().Draw(t, "cut"), rapid.Bool().Draw(t, "dead")
			m.split(a, b, is, dead)
			if rapid.Bool().Draw(t, "both ways") {
				m.split(b, a, is, dead)
			}
		case 3: // a region from another
			m.divide(rapid.Bool().Draw(t, "regions cut"), rapid.Bool().Draw(t, "dead"))
		case 4:
			m.crash(any("crash"))
		case 5, 6:
			if p := any("start"); p.down {
				m.start(p)
			}
		case 7:
			p := any("pause")
			p.paused = !p.paused && !p.down
		case 8: // the disk of one that is down
			p := any("disk")
			if n := len(p.copy) + len(p.journal); p.down && n > 0 {
				p.damaged = true
				at := rapid.IntRange(0, n-1).Draw(t, "at")
				of := &p.copy
				if at >= len(p.copy) {
					of, at = &p.journal, at-len(p.copy)
				}
				if *of = bytes.Clone(*of); rapid.Bool().Draw(t, "cut off") {
					*of = (*of)[:at]
				} else {
					(*of)[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
				}
			}
		case 9: // long enough for anything
			for range 40 {
				m.tick(Stagger, false)
			}
		default:
			m.tick(time.Duration(rapid.IntRange(10, 150).Draw(t, "ms"))*time.Millisecond, true)
		}
	}
}

// split cuts a link one way, or mends it. Streams over it may be dead from then on.
func (m *tier) split(a, b *party, is, dead bool) {
	m.cut[[2]string{a.name, b.name}] = is
	for _, w := range m.wires {
		if is && (w.from == a && w.to == b || w.from == b && w.to == a) {
			w.dead = w.dead || dead
		}
	}
}

// divide cuts the regions from each other, or mends that.
func (m *tier) divide(is, dead bool) {
	for _, a := range m.all {
		for _, b := range m.all {
			if a.zone != b.zone {
				m.split(a, b, is, dead)
			}
		}
	}
}

// heal ends all faults but lies.
func (m *tier) heal() {
	m.cut, m.rough = make(map[[2]string]bool), false
	for _, p := range m.all {
		if p.paused = false; p.down {
			m.start(p)
		}
	}
}

// isLevel says whether all have the newest version, and who not.
func (m *tier) isLevel() (bool, string) {
	for _, p := range m.all {
		if p.f != nil && (p.version != m.voters.Version() || p.f.State().Digest() != m.voters.Digest()) {
			at, level := p.f.Following(m.now - p.born)
			return false, fmt.Sprintf("%s is at %d of %d, after %q (%v)", p.name, p.version, m.voters.Version(), at, level)
		}
	}
	return true, ""
}

// within lets time pass until all are level, and says how long it took.
func (m *tier) within(d time.Duration) time.Duration {
	for from := m.now; ; {
		is, who := m.isLevel()
		switch {
		case is:
			return m.now - from
		case m.now-from > d:
			m.tb.Fatalf("%v after all faults ended, %s", m.now-from, who)
		}
		m.tick(Stagger, false)
	}
}

// TestAllGetLevel: whatever was cut, crashed, paused or damaged, and with a relay that lies, nobody has
// anything in force but one agreed version as a whole, none goes back, no honest relay is called a liar, and all
// are level within 7 s of the end of the faults, and hear of the next change within 2 s.
func TestAllGetLevel(t *testing.T) {
	smaller(t)
	var most time.Duration
	heard, pieces, lies := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newTier(t, rapid.IntRange(2, 3).Draw(t, "relays"), 4, rapid.IntRange(0, 1).Draw(t, "liars"))
		m.manner = rapid.IntRange(0, 2).Draw(t, "manner")
		m.faults(80)
		m.heal()
		took := m.within(7 * time.Second)
		most = max(most, took)
		heard, pieces, lies = heard+m.heard, pieces+m.pieces, lies+m.lies
	})
	t.Logf("level after %v at most; %d changes, %d pieces, %d lies", most, heard, pieces, lies)
}

// TestRoughStreams: where words within a stream are lost, doubled and out of order, as no connection of ours has
// them, nothing false is in force either; honest relays may be barred, and all are level once that is over.
func TestRoughStreams(t *testing.T) {
	smaller(t)
	var most time.Duration
	rapid.Check(t, func(t *rapid.T) {
		m := newTier(t, 2, 3, 1)
		m.rough, m.errs = true, true
		m.faults(60)
		m.heal()
		most = max(most, m.within(Distrust+7*time.Second))
	})
	t.Logf("level after %v at most", most)
}

// TestRegionCutOffForAnHour: what the cut-off region has is served on and its age told; it is level within 7 s of the
// cut's end, by changes and not by a snapshot.
func TestRegionCutOffForAnHour(t *testing.T) {
	m := newTier(t, 4, 8, 0)
	agree := func(n int) {
		c := propose(t, m.voters, m.voters.Version(), put(PoolKey(fmt.Sprint(n)), `{}`))
		m.past, m.digests = append(m.past, table(m.voters)), append(m.digests, c.Digest)
	}
	agree(0)
	m.within(7 * time.Second)
	m.divide(true, false)
	m.crash(m.party("v1")) // the voter there has no majority, and answers nobody
	hour := m.now + time.Hour
	for n := 1; m.now < hour; n++ {
		if n%350 == 0 { // a change every 35 s, as 2,500 a day are
			agree(n)
		}
		m.tick(Stagger, false)
	}
	for _, p := range m.all {
		if p.f == nil {
			continue
		}
		age := p.f.Age(m.now - p.born)
		if p.zone == "a" && (age > Stale || p.version != m.voters.Version()) || p.zone == "b" && (age < time.Hour-time.Second || age > time.Hour+Stale || p.version != 1) {
			t.Errorf("%s in region %s has version %d of %d, aged %v", p.name, p.zone, p.version, m.voters.Version(), age)
		}
	}
	was := m.pieces
	m.heal()
	took := m.within(7 * time.Second)
	t.Logf("level %v after the hour, %d versions on", took, m.voters.Version()-1)
	if m.pieces != was {
		t.Errorf("%d pieces of snapshots were sent", m.pieces-was)
	}
}

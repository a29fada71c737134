package configlog

import (
	"cmp"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of those that follow, and of relays' words to them. They are of the protocol: a change is in force
// everywhere within 7 s, whatever fails, as docs/design/configuration.md adds them up.
const (
	// Heartbeat is how often a relay offers what it has, news or none, and Silence how long a follower
	// hears nothing before it takes the stream for dead.
	Heartbeat = time.Second
	Silence   = 2500 * time.Millisecond
	// DialTime is how long a dial may take, to the end of the handshake.
	DialTime = time.Second
	// Retry is how long a relay is not dialled again at most, and Stagger how far apart dials of
	// different ones are; three quarters of either at the least.
	Retry   = 1500 * time.Millisecond
	Stagger = 100 * time.Millisecond
	// Spread is within which time those that lose one relay first dial another.
	Spread = 200 * time.Millisecond
	// Stale is from which age on a relay is not level, and another is looked for beside it.
	Stale = 4 * time.Second
	// Stall is how long a relay that has news may give none of it, and Queue how long where it says that
	// others come before.
	Stall = 2 * time.Second
	Queue = 30 * time.Second
	// Shun is how long a relay that was left is asked only where no other is left, and Distrust how long one
	// whose digest did not come out is not asked at all.
	Shun     = 10 * time.Second
	Distrust = 30 * time.Second
	// Home is after which time, from three quarters of it on, a nearer relay is tried again, so that one that was away
	// gets its followers back little by little.
	Home = 10 * time.Minute
	// Never is the age of what is not known to have been the newest at any time.
	Never = 1 << 60 * time.Nanosecond
)

// Peer is one that can be followed, a voter or a relay.
type Peer struct {
	Name         string
	Zone, Region string
	// Rank goes before nearness: a relay has voters at 0 and other relays at 1.
	Rank int
}

// Options are what a follower goes by.
type Options struct {
	Name         string // its own, that no other has
	Zone, Region string
	Peers        []Peer
	Relay        bool   // it serves others: it wants the log with a snapshot, and looks for news more eagerly
	Seed         uint64 // of what it draws
}

// Offer is what a relay says of itself: the version that it has, and how long ago that was certainly the
// newest.
type Offer struct {
	Version uint64
	Digest  Digest
	Age     time.Duration
	Busy    bool // a snapshot is due, and others are before this stream
}

// Action is something for the follower's driver to do, in the order given.
type Action interface{ action() }

// Dial asks for a stream. The driver tells of it by Connected or Lost, and of each word that comes in it.
type Dial struct {
	Stream uint64
	Peer   string
}

// Resume asks a stream's relay for what comes after a version.
type Resume struct {
	Stream  uint64
	Version uint64
	Digest  Digest
	Log     bool // a snapshot, if one is due, is to come with the log
}

// Leave ends a stream, or a dial that still goes on.
type Leave struct {
	Stream uint64
	Peer   string
	Why    Why
}

// Changed has changes to be kept on disk and then put in force.
type Changed struct{ Changes []Change }

// Installed has a whole state to be kept and put in force, in place of all before it.
type Installed struct{ Snapshot Snapshot }

func (Dial) action()      {}
func (Resume) action()    {}
func (Leave) action()     {}
func (Changed) action()   {}
func (Installed) action() {}

// Why says for what reason a stream was left.
type Why string

// The reasons to leave a stream.
const (
	Unreached Why = "unreached" // it could not be dialled in time
	Lost      Why = "lost"      // it ended
	Silent    Why = "silent"
	Stalled   Why = "stalled" // it had news and gave none
	Behind    Why = "behind"  // another has what it has not
	GoesBack  Why = "goes back"
	Lies      Why = "lies" // a digest did not come out, or a word made no sense
	Broken    Why = "broken"
	Spare     Why = "spare" // another is as good
)

// peer is one that can be followed, and what was seen of it.
type peer struct {
	Peer
	order   int           // of preference
	due     time.Duration // not dialled again before
	tried   time.Duration // when it was dialled last
	shunned time.Duration // until when others go first
	barred  time.Duration // until when it is not asked
	seen    uint64        // the version that it offered last
	link    *link
	denies  bool // it has another digest than the follower at a version of the follower's
}

// link is a stream, or a dial for one.
type link struct {
	stream    uint64
	peer      *peer
	since     time.Duration
	connected bool
	heard     time.Duration
	offer     Offer
	offered   time.Duration // when; 0 for not yet
	progress  time.Duration // when it last brought something that was due
	chosen    time.Duration // when it was chosen, or last brought changes or a whole snapshot
}

// Follower is one that follows, a node or a relay: which relay it asks, what it takes from it, and how old
// what it has is. It owns its State. It is not safe for use by several goroutines at once.
type Follower struct {
	opts    Options
	state   *State
	peers   []*peer // in the order of preference
	links   map[uint64]*link
	streams uint64 // the number of the last one
	chosen  *link  // the one that it takes changes from
	build   *Builder
	next    time.Duration // no dial before
	home    time.Duration // no look for a nearer one before
	level   time.Duration // when what it has was certainly the newest, by its own clock
	wanting bool          // the chosen one is not level, as Tick saw it
	doubt   bool          // what it has is denied by most
	left    map[Why]int
	rand    *rand.Rand
	todo    []Action
}

// NewFollower begins with a state, such as that of a copy on disk.
func NewFollower(o Options, s *State, now time.Duration) *Follower {
	f := &Follower{opts: o, state: s, links: make(map[uint64]*link), left: make(map[Why]int), rand: rand.New(rand.NewPCG(o.Seed, hash(o.Name, "")))}
	for _, p := range o.Peers {
		f.peers = append(f.peers, &peer{Peer: p, tried: -Never})
	}
	slices.SortFunc(f.peers, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(f.far(a), f.far(b)),
			cmp.Compare(hash(o.Name, a.Name), hash(o.Name, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	for i, p := range f.peers {
		p.order = i
	}
	f.level = -Never
	f.next = now + f.within(Spread)
	return f
}

// far is how far away a peer is: in this zone, in this region, elsewhere.
func (f *Follower) far(p *peer) int {
	switch {
	case p.Region != f.opts.Region:
		return 2
	case p.Zone != f.opts.Zone:
		return 1
	}
	return 0
}

// hash is by what followers spread over relays, by rendezvous: the relay that dies has its followers
// spread over all others.
func hash(follower, relay string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, follower+"\x00"+relay)
	x := h.Sum64() // its last step mixes little
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// within draws a time up to one.
func (f *Follower) within(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d)))
}

// most draws a time of three quarters of one up to it.
func (f *Follower) most(d time.Duration) time.Duration { return d - f.within(d/4) }

// State is what it has. It changes with Changes and Piece.
func (f *Follower) State() *State { return f.state }

// Take gives what there is to do, the first thing first.
func (f *Follower) Take() []Action {
	todo := f.todo
	f.todo = nil
	return todo
}

// Age is how long ago what it has was certainly the newest; Never or more where that is not known.
func (f *Follower) Age(now time.Duration) time.Duration { return now - f.level }

// Following is the peer that it takes changes from, "" for none, and whether that one is level.
func (f *Follower) Following(now time.Duration) (peer string, level bool) {
	if f.chosen == nil {
		return "", false
	}
	return f.chosen.peer.Name, f.isLevel(f.chosen, now)
}

// Left counts why streams were left.
func (f *Follower) Left(why Why) int { return f.left[why] }

// Doubts says whether most of its peers deny what it has, so that it asks for all anew.
func (f *Follower) Doubts() bool { return f.doubt }

// Connected says that a dial came about.
func (f *Follower) Connected(stream uint64, now time.Duration) {
	if l := f.links[stream]; l != nil {
		l.connected, l.heard = true, now
	}
}

// Lost says that a dial failed, or a stream ended.
func (f *Follower) Lost(stream uint64, now time.Duration) {
	if l := f.links[stream]; l != nil {
		f.end(l, Lost, now)
	}
}

// leave ends a stream from this side.
func (f *Follower) leave(l *link, why Why, now time.Duration) {
	f.todo = append(f.todo, Leave{l.stream, l.peer.Name, why})
	f.end(l, why, now)
}

func (f *Follower) end(l *link, why Why, now time.Duration) {
	delete(f.links, l.stream)
	f.left[why]++
	switch p := l.peer; why {
	case Lies:
		p.barred = now + Distrust
	case Behind, GoesBack, Stalled, Silent, Broken:
		p.shunned = now + Shun
	}
	if l.peer.link = nil; f.chosen == l {
		f.chosen, f.build = nil, nil
		f.next = now + f.within(Spread)
	}
}

// isLevel says whether a stream's relay has all that this follower has, and is not old itself.
func (f *Follower) isLevel(l *link, now time.Duration) bool {
	return l.offered > 0 && l.offer.Version >= f.state.Version() && l.offer.Age+now-l.offered < Stale
}

// Offer takes a relay's word of what it has.
func (f *Follower) Offer(stream uint64, o Offer, now time.Duration) {
	l := f.links[stream]
	if l == nil {
		return
	}
	o.Age = min(max(o.Age, 0), Never)
	p := l.peer
	was := p.seen
	p.seen = o.Version
	if o.Version < was {
		f.leave(l, GoesBack, now)
		return
	}
	if d, ok := f.state.DigestAt(o.Version); ok && !f.doubt {
		if p.denies = d != o.Digest; p.denies {
			f.leave(l, Lies, now)
			f.denied()
			return
		}
	}
	if l.offered == 0 || !f.doubt && (o.Version <= f.state.Version() || l.offer.Version <= f.state.Version()) {
		l.progress = now // nothing was due before
	}
	l.connected, l.heard, l.offer, l.offered = true, now, o, max(now, 1)
	switch {
	case l == f.chosen:
		f.note(l)
	case f.chosen == nil:
		f.choose(l)
	case f.better(l, f.chosen, now):
		why := Behind
		if f.isLevel(f.chosen, now) {
			why = Spare
		}
		f.leave(f.chosen, why, now)
		f.choose(l)
	case f.isLevel(l, now):
		f.leave(l, Spare, now)
	default:
		f.leave(l, Behind, now)
	}
	if f.chosen != nil && f.isLevel(f.chosen, now) {
		f.spare(now)
	}
}

// spare ends what is beside the chosen stream, but for a look at a nearer relay.
func (f *Follower) spare(now time.Duration) {
	for _, p := range f.peers {
		if p.link != nil && p.link != f.chosen && p.order > f.chosen.peer.order {
			f.leave(p.link, Spare, now)
		}
	}
}

// better says whether a stream goes before the chosen one.
func (f *Follower) better(l, than *link, now time.Duration) bool {
	a, b := f.isLevel(l, now), f.isLevel(than, now)
	switch {
	case a != b:
		return a
	case a:
		return l.peer.order < than.peer.order
	case l.offer.Version != than.offer.Version:
		return l.offer.Version > max(than.offer.Version, f.state.Version())
	}
	return l.offer.Age+now-l.offered+Heartbeat < than.offer.Age+now-than.offered
}

func (f *Follower) choose(l *link) {
	f.chosen, f.build = l, nil
	f.home = l.heard + f.most(Home)
	l.progress, l.chosen = l.heard, l.heard
	r := Resume{Stream: l.stream, Version: f.state.Version(), Digest: f.state.Digest(), Log: f.opts.Relay}
	if f.doubt {
		r.Version, r.Digest = 0, Digest{}
	}
	f.todo = append(f.todo, r)
	f.note(l)
}

// note draws from the chosen relay's last offer how old what there is may be.
func (f *Follower) note(l *link) {
	if at := l.offered - l.offer.Age; !f.doubt && f.state.Version() >= l.offer.Version {
		f.level = max(f.level, at)
	}
}

// Changes takes those that a relay sent, one version after another. Of streams but the chosen one nothing
// is taken.
func (f *Follower) Changes(stream uint64, all []Change, now time.Duration) {
	l := f.links[stream]
	if l == nil || l != f.chosen || f.doubt {
		return
	}
	l.heard = now
	var done []Change
	var err error
	for _, c := range all {
		err = f.state.Apply(c)
		if errors.Is(err, ErrStale) { // it came twice
			if d, ok := f.state.DigestAt(c.Version); !ok || d == c.Digest {
				err = nil
				continue
			}
		}
		if err != nil {
			break
		}
		done = append(done, c)
	}
	if len(done) > 0 {
		l.progress, l.chosen = now, now
		f.todo = append(f.todo, Changed{done})
		f.note(l)
	}
	switch {
	case errors.Is(err, ErrGap):
		f.leave(l, Broken, now)
	case err != nil:
		l.peer.denies = true
		f.leave(l, Lies, now)
		f.denied()
	}
}

// denied asks whether this follower's own state is the odd one: two of its peers at least, and more than half of
// all, have another history.
func (f *Follower) denied() {
	n := 0
	for _, p := range f.peers {
		if p.denies {
			n++
		}
	}
	if n < 2 || n <= len(f.peers)/2 {
		return
	}
	f.doubt = true
	for _, p := range f.peers {
		p.denies, p.barred = false, 0
	}
}

// Piece takes one of a snapshot. It is in force once it is whole, and beyond what there is.
func (f *Follower) Piece(stream uint64, p Piece, now time.Duration) {
	l := f.links[stream]
	if l == nil || l != f.chosen {
		return
	}
	l.heard = now
	if at := f.state.Version(); p.Version < at || p.Version == at && !f.doubt {
		f.leave(l, GoesBack, now)
		return
	}
	if f.build == nil || p.After == "" && p.Log == 0 { // the first, or the first anew: its place had gone to others
		f.build = NewBuilder()
	}
	s, err := f.build.Add(p)
	if err != nil {
		f.leave(l, Lies, now)
		return
	}
	l.progress = now
	if s != nil {
		f.state, f.build, f.doubt, l.chosen = s, nil, false, now
		f.todo = append(f.todo, Installed{s.Snapshot()})
		f.note(l)
	}
}

// Tick lets time pass. It is due every Stagger or so.
func (f *Follower) Tick(now time.Duration) {
	for _, p := range f.peers {
		l := p.link
		if l == nil {
			continue
		}
		patience := Stall
		if l.offer.Busy {
			patience = Queue
		}
		switch {
		case !l.connected:
			if now-l.since >= DialTime {
				f.leave(l, Unreached, now)
			}
		case now-l.heard >= Silence:
			f.leave(l, Silent, now)
		case l == f.chosen && (l.offer.Version > f.state.Version() || f.doubt) && now-l.progress >= patience,
			l == f.chosen && f.build != nil && now-l.chosen >= Queue+2*SnapshotTime:
			f.leave(l, Stalled, now)
		}
	}
	was := f.wanting
	of := len(f.peers)
	if f.wanting = f.chosen != nil && !f.isLevel(f.chosen, now); f.wanting && !was {
		f.next = max(f.next, now+f.within(f.lull())) // all that follow the same relay see the same
	} else if f.opts.Relay && f.chosen != nil && f.chosen.peer.Rank > f.peers[0].Rank {
		// Two relays that have lost the voters may follow each other, and think themselves level for long.
		f.wanting = true
		of = slices.IndexFunc(f.peers, func(p *peer) bool { return p.Rank == f.chosen.peer.Rank })
	}
	if now < f.next {
		return
	}
	switch {
	case f.chosen == nil || f.wanting: // which is kept for what it may bring, and another looked for
		if p := f.pick(now, of); p != nil {
			f.dial(p, now)
			f.next = now + f.most(f.lull())
		}
	case now >= f.home:
		f.home = now + f.most(Home)
		if p := f.pick(now, f.chosen.peer.order); p != nil {
			f.dial(p, now)
		}
	}
}

// lull is how long after a dial the next one is due at most. Whoever has a relay that is not level does no harm
// by waiting a little, and there may be thousands of such nodes, all of which look at relays that are there.
func (f *Follower) lull() time.Duration {
	if f.wanting && !f.opts.Relay {
		return Retry
	}
	return Stagger
}

// pick chooses whom to dial of the first peers by preference. Who was not tried of late goes first, and beside
// a relay that is not level those that share least with what was found wanting.
func (f *Follower) pick(now time.Duration, of int) *peer {
	type score [5]time.Duration
	var best *peer
	var least score
	for _, p := range f.peers[:of] {
		if p.link != nil || now < p.due || now < p.barred {
			continue
		}
		s := score{2: time.Duration(p.Rank), 4: time.Duration(p.order)}
		if now < p.shunned {
			s[0] = 1
		}
		if now-p.tried < Shun {
			s[1] = max(p.tried, 1)
		}
		if f.wanting {
			s[3] = f.near(p, now)
		}
		if best == nil || slices.Compare(s[:], least[:]) < 0 {
			best, least = p, s
		}
	}
	return best
}

// near counts how much a peer shares with those that are wanting.
func (f *Follower) near(p *peer, now time.Duration) (n time.Duration) {
	for _, o := range f.peers {
		if now >= o.shunned && o != f.chosen.peer {
			continue
		}
		if o.Region == p.Region {
			n++
			if o.Zone == p.Zone {
				n++
			}
		}
	}
	return n
}

func (f *Follower) dial(p *peer, now time.Duration) {
	f.streams++
	p.link = &link{stream: f.streams, peer: p, since: now}
	p.tried, p.due = now, now+f.most(Retry)
	f.links[f.streams] = p.link
	f.todo = append(f.todo, Dial{f.streams, p.Name})
}

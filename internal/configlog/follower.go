package configlog

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Peer is a voter or relay that can be followed.
type Peer struct {
	Name         string
	Zone, Region string
	// Rank goes before distance, the least first. A relay ranks voters 0 and other relays 1.
	Rank int
}

// Options configure a follower.
type Options struct {
	Name         string // unique among followers
	Zone, Region string
	Peers        []Peer
	// Relay says that the follower serves others itself. It asks for the log with a snapshot, and looks for
	// a better relay more often.
	Relay bool
	Seed  uint64 // of its random choices
}

// Follower keeps a State in sync with the voters through one of several peers. It decides which peer to
// follow, what to take from it, and how old the state is. It owns its State and is not safe for concurrent
// use. Its driver calls Tick about each DialStagger, passes on what happens, and executes the actions that
// Ready returns after each call.
type Follower struct {
	opts    Options
	state   *State
	peers   []*peer // in the order of preference
	streams map[uint64]*stream
	lastID  uint64           // of a stream
	current *stream          // that the state is updated from; nil for none
	builder *SnapshotBuilder // of the snapshot that the current stream sends; nil for none
	// nextDial and nextPreferredProbe are the earliest times of the next dial, and of the next probe of
	// a more preferred peer.
	nextDial           time.Duration
	nextPreferredProbe time.Duration
	inSyncAt           time.Duration // when the state was certainly the newest
	currentStale       bool          // another peer is looked for: see updateStale
	diverged           bool          // most peers have another history than the state
	closeCounts        map[CloseReason]int
	rng                *rand.Rand
	actions            []Action
}

// peer is a Peer and what was seen of it.
type peer struct {
	Peer
	preference    int           // its index in the order of preference
	lastDialed    time.Duration // -AgeUnknown for never
	redialAfter   time.Duration
	backoffUntil  time.Duration // others are dialled before it until then
	excludedUntil time.Duration // it is not dialled until then
	lastVersion   uint64        // the version of its last heartbeat
	stream        *stream       // nil for none
	disagrees     bool          // its digest differs at a version that the state had
}

// stream is a connection to a peer, or a dial of one.
type stream struct {
	id           uint64
	peer         *peer
	dialedAt     time.Duration
	connected    bool
	lastHeard    time.Duration
	heartbeat    Heartbeat     // the last one
	heartbeatAt  time.Duration // 0 for none
	lastProgress time.Duration // when it last sent something that was due, or nothing was due
	lastUpdate   time.Duration // when it became current, or last sent changes or a whole snapshot
}

// NewFollower makes a follower of a state, such as that of a snapshot on disk.
func NewFollower(o Options, s *State, now time.Duration) *Follower {
	f := &Follower{
		opts:        o,
		state:       s,
		streams:     make(map[uint64]*stream),
		inSyncAt:    -AgeUnknown,
		closeCounts: make(map[CloseReason]int),
		rng:         rand.New(rand.NewPCG(o.Seed, rendezvousHash(o.Name, ""))),
	}
	for _, p := range o.Peers {
		f.peers = append(f.peers, &peer{Peer: p, lastDialed: -AgeUnknown})
	}
	slices.SortFunc(f.peers, f.comparePreference)
	for i, p := range f.peers {
		p.preference = i
	}
	f.nextDial = now + f.jitter(FailoverJitter)
	return f
}

// jitter returns a random time from 0 up to d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

// shorten returns a random time of three quarters of d up to d.
func (f *Follower) shorten(d time.Duration) time.Duration { return d - f.jitter(d/4) }

// State is the state that the follower keeps in sync. HandleChanges and HandleChunk change or replace it.
func (f *Follower) State() *State { return f.state }

// Ready returns the actions to execute, in order, and forgets them.
func (f *Follower) Ready() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// Age is how long ago the state was certainly the newest; AgeUnknown or more where that is not known.
func (f *Follower) Age(now time.Duration) time.Duration { return now - f.inSyncAt }

// Following returns the peer that the state is updated from, "" for none, and whether that is in sync.
func (f *Follower) Following(now time.Duration) (peer string, inSync bool) {
	if f.current == nil {
		return "", false
	}
	return f.current.peer.Name, f.inSync(f.current, now)
}

// Diverged reports whether most peers have another history than the state, so that the follower asks for the
// whole of theirs.
func (f *Follower) Diverged() bool { return f.diverged }

// HandleConnected reports that a dial has succeeded.
func (f *Follower) HandleConnected(id uint64, now time.Duration) {
	if s := f.streams[id]; s != nil {
		s.connected, s.lastHeard = true, now
	}
}

// HandleLost reports that a dial has failed, or that a stream has ended.
func (f *Follower) HandleLost(id uint64, now time.Duration) {
	if s := f.streams[id]; s != nil {
		f.removeStream(s, ReasonLost, now)
	}
}

// HandleHeartbeat takes a peer's heartbeat. It closes the stream where the peer contradicts itself or the state,
// and else decides which stream to follow.
func (f *Follower) HandleHeartbeat(id uint64, h Heartbeat, now time.Duration) {
	s := f.streams[id]
	if s == nil {
		return
	}
	h.Age = min(max(h.Age, 0), AgeUnknown)
	p := s.peer
	regressed := h.Version < p.lastVersion
	p.lastVersion = h.Version
	if regressed {
		f.closeStream(s, ReasonVersionRegressed, now)
		return
	}
	if digest, known := f.state.DigestAt(h.Version); known && !f.diverged {
		p.disagrees = digest != h.Digest
		if p.disagrees {
			f.closeStream(s, ReasonDigestMismatch, now)
			f.checkDivergence()
			return
		}
	}
	if f.nothingDue(s, h) {
		s.lastProgress = now
	}
	s.connected, s.lastHeard = true, now
	s.heartbeat, s.heartbeatAt = h, max(now, 1)
	f.selectStream(s, now)
}

// nothingDue reports whether a stream had nothing to send up to a heartbeat.
func (f *Follower) nothingDue(s *stream, h Heartbeat) bool {
	if s.heartbeatAt == 0 {
		return true
	}
	return !f.diverged && (h.Version <= f.state.Version() || s.heartbeat.Version <= f.state.Version())
}

// updateInSyncAt computes from the current stream's last heartbeat when the state was last the newest.
func (f *Follower) updateInSyncAt(s *stream) {
	if !f.diverged && f.state.Version() >= s.heartbeat.Version {
		f.inSyncAt = max(f.inSyncAt, s.heartbeatAt-s.heartbeat.Age)
	}
}

// HandleChanges takes a peer's changes and applies them. Streams other than the current one are ignored.
func (f *Follower) HandleChanges(id uint64, changes []Change, now time.Duration) {
	s := f.streams[id]
	if s == nil || s != f.current || f.diverged {
		return
	}
	s.lastHeard = now
	applied, err := f.applyAll(changes)
	if len(applied) > 0 {
		s.lastProgress, s.lastUpdate = now, now
		f.actions = append(f.actions, ApplyChanges{Changes: applied})
		f.updateInSyncAt(s)
	}
	switch {
	case errors.Is(err, ErrGap):
		f.closeStream(s, ReasonGap, now)
	case err != nil:
		s.peer.disagrees = true
		f.closeStream(s, ReasonDigestMismatch, now)
		f.checkDivergence()
	}
}

// applyAll applies changes up to the first error, and returns those that were new. A change that the state has
// already is no error, unless it is known to be another one.
func (f *Follower) applyAll(changes []Change) (applied []Change, err error) {
	for _, c := range changes {
		err := f.state.Apply(c)
		if errors.Is(err, ErrStale) {
			if digest, known := f.state.DigestAt(c.Version); !known || digest == c.Digest {
				continue
			}
		}
		if err != nil {
			return applied, err
		}
		applied = append(applied, c)
	}
	return applied, nil
}

// HandleChunk takes a chunk of a peer's snapshot. The state is replaced once the snapshot is complete.
func (f *Follower) HandleChunk(id uint64, c SnapshotChunk, now time.Duration) {
	s := f.streams[id]
	if s == nil || s != f.current {
		return
	}
	s.lastHeard = now
	if version := f.state.Version(); c.Version < version || c.Version == version && !f.diverged {
		f.closeStream(s, ReasonVersionRegressed, now)
		return
	}
	isFirst := c.After == "" && c.LogOffset == 0
	if f.builder == nil || isFirst { // it starts again where the stream had lost its turn
		f.builder = NewSnapshotBuilder()
	}
	state, err := f.builder.Add(c)
	if err != nil {
		f.closeStream(s, ReasonDigestMismatch, now)
		return
	}
	s.lastProgress = now
	if state == nil {
		return
	}
	f.state, f.builder, f.diverged = state, nil, false
	s.lastUpdate = now
	f.actions = append(f.actions, InstallSnapshot{Snapshot: state.Snapshot()})
	f.updateInSyncAt(s)
}

// Tick lets time pass: it closes streams that have failed, and dials.
func (f *Follower) Tick(now time.Duration) {
	f.closeFailed(now)
	candidates := f.updateStale(now)
	if now < f.nextDial {
		return
	}
	switch {
	case f.current == nil || f.currentStale:
		if p := f.selectPeer(candidates, now); p != nil {
			f.dial(p, now)
			f.nextDial = now + f.shorten(f.dialPause())
		}
	case now >= f.nextPreferredProbe:
		f.nextPreferredProbe = now + f.shorten(PreferredRetryInterval)
		if p := f.selectPeer(f.peers[:f.current.peer.preference], now); p != nil {
			f.dial(p, now)
		}
	}
}

// dial starts a stream to a peer.
func (f *Follower) dial(p *peer, now time.Duration) {
	f.lastID++
	p.stream = &stream{id: f.lastID, peer: p, dialedAt: now}
	p.lastDialed, p.redialAfter = now, now+f.shorten(RedialInterval)
	f.streams[f.lastID] = p.stream
	f.actions = append(f.actions, Dial{Stream: f.lastID, Peer: p.Name})
}

// comparePreference orders peers by rank, distance and a hash that spreads followers over equal peers.
func (f *Follower) comparePreference(a, b *peer) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(f.distance(a), f.distance(b)),
		cmp.Compare(rendezvousHash(f.opts.Name, a.Name), rendezvousHash(f.opts.Name, b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

package configlog

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Peer is a voter or relay that a follower can follow.
type Peer struct {
	Name         string
	Zone, Region string
	// Rank takes precedence over distance; peers of the lowest rank are preferred. A relay ranks voters 0 and
	// other relays 1.
	Rank int
}

// Options configures a follower.
type Options struct {
	Name         string // the follower's name, unique among followers
	Zone, Region string
	Peers        []Peer
	// Relay is whether the follower serves other followers. If true, the follower requests the log with a snapshot,
	// and probes for better relays more often.
	Relay bool
	Seed  uint64 // the seed of the follower's random choices
}

// Follower keeps a State in sync with the voters through one of several peers. It selects the peer to follow, applies
// the peer's changes and snapshots, and computes the state's age. It owns its State and is not safe for concurrent
// use. Its driver calls Tick about every DialStagger, calls the Handle methods for connections and messages, and after
// each call executes the actions that Ready returns.
type Follower struct {
	opts    Options
	state   *State
	peers   []*peer // all peers, in order of preference
	streams map[uint64]*stream
	lastID  uint64           // the id of the last stream
	current *stream          // the stream that updates the state; nil for none
	builder *SnapshotBuilder // builds the snapshot that the current stream sends; nil for none
	// nextDial and nextPreferredProbe are the earliest times of the next dial, and of the next probe of
	// a more preferred peer.
	nextDial           time.Duration
	nextPreferredProbe time.Duration
	inSyncAt           time.Duration // the last time at which the state was certainly the newest
	probing            bool          // other peers are probed while the current one is followed; see updateProbing
	diverged           bool          // most peers have another history than the state
	closeCounts        map[CloseReason]int
	rng                *rand.Rand
	actions            []Action
}

// peer is a Peer and the follower's state of it.
type peer struct {
	Peer
	preference    int           // the peer's index in the order of preference
	lastDialed    time.Duration // when the peer was last dialled; -AgeUnknown for never
	redialAfter   time.Duration // the peer is not dialled before this time
	backoffUntil  time.Duration // other peers are preferred for dials before this time
	excludedUntil time.Duration // the peer is not dialled before this time because of a digest mismatch
	lastVersion   uint64        // the version of the peer's last heartbeat
	stream        *stream       // the stream to the peer; nil for none
	disagrees     bool          // the peer's digest or changes contradict the state
}

// stream is a connection to a peer, or a dial of one.
type stream struct {
	id           uint64
	peer         *peer
	dialedAt     time.Duration
	connected    bool
	lastReceived time.Duration
	heartbeat    Heartbeat     // the last heartbeat received
	heartbeatAt  time.Duration // when that heartbeat was received; 0 for none
	lastProgress time.Duration // when the peer last sent part of a pending update, or no update was pending
	lastUpdate   time.Duration // when the stream became current, or its peer last sent changes or completed a snapshot
}

// NewFollower returns a follower that starts with a state, such as one restored from disk. It takes ownership of the
// state.
func NewFollower(opts Options, state *State, now time.Duration) *Follower {
	follower := &Follower{
		opts:        opts,
		state:       state,
		streams:     make(map[uint64]*stream),
		inSyncAt:    -AgeUnknown,
		closeCounts: make(map[CloseReason]int),
		rng:         rand.New(rand.NewPCG(opts.Seed, rendezvousHash(opts.Name, ""))),
	}
	for _, p := range opts.Peers {
		follower.peers = append(follower.peers, &peer{Peer: p, lastDialed: -AgeUnknown})
	}
	slices.SortFunc(follower.peers, follower.comparePreference)
	for i, p := range follower.peers {
		p.preference = i
	}
	follower.nextDial = now + follower.jitter(FailoverJitter)
	return follower
}

// jitter returns a random duration from 0 up to d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

// shorten returns a random duration from three quarters of d up to d.
func (f *Follower) shorten(d time.Duration) time.Duration { return d - f.jitter(d/4) }

// State returns the state that the follower keeps in sync. HandleChanges and HandleChunk modify or replace it.
func (f *Follower) State() *State { return f.state }

// Ready returns the pending actions in the order in which the driver must execute them, and clears them.
func (f *Follower) Ready() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// Age returns the time since the state was certainly the newest. It is AgeUnknown or more if that time is not known.
func (f *Follower) Age(now time.Duration) time.Duration { return now - f.inSyncAt }

// Following returns the name of the peer that the follower follows, "" for none, and whether that peer is in sync.
func (f *Follower) Following(now time.Duration) (peer string, inSync bool) {
	if f.current == nil {
		return "", false
	}
	return f.current.peer.Name, f.inSync(f.current, now)
}

// Diverged reports whether most peers have another history than the state. The follower then requests a whole
// snapshot.
func (f *Follower) Diverged() bool { return f.diverged }

// HandleConnected is called by the driver when a dial has succeeded.
func (f *Follower) HandleConnected(id uint64, now time.Duration) {
	if s := f.streams[id]; s != nil {
		s.connected, s.lastReceived = true, now
	}
}

// HandleLost is called by the driver when a dial has failed, or when a stream has ended.
func (f *Follower) HandleLost(id uint64, now time.Duration) {
	if s := f.streams[id]; s != nil {
		f.removeStream(s, ReasonLost, now)
	}
}

// HandleHeartbeat handles a peer's heartbeat. It closes the stream if the peer's version has decreased, or if its
// digest does not match that of the state at the same version. Otherwise it selects the stream to follow.
func (f *Follower) HandleHeartbeat(id uint64, heartbeat Heartbeat, now time.Duration) {
	stream := f.streams[id]
	if stream == nil {
		return
	}
	heartbeat.Age = min(max(heartbeat.Age, 0), AgeUnknown)
	p := stream.peer
	regressed := heartbeat.Version < p.lastVersion
	p.lastVersion = heartbeat.Version
	if regressed {
		f.closeStream(stream, ReasonVersionRegressed, now)
		return
	}
	if digest, known := f.state.DigestAt(heartbeat.Version); known && !f.diverged {
		p.disagrees = digest != heartbeat.Digest
		if p.disagrees {
			f.closeStream(stream, ReasonDigestMismatch, now)
			f.checkDivergence()
			return
		}
	}
	if f.nothingDue(stream, heartbeat) {
		stream.lastProgress = now
	}
	stream.connected, stream.lastReceived = true, now
	stream.heartbeat, stream.heartbeatAt = heartbeat, max(now, 1)
	f.selectStream(stream, now)
}

// nothingDue reports whether no update was pending on a stream until a heartbeat.
func (f *Follower) nothingDue(s *stream, heartbeat Heartbeat) bool {
	if s.heartbeatAt == 0 {
		return true
	}
	return !f.diverged && (heartbeat.Version <= f.state.Version() || s.heartbeat.Version <= f.state.Version())
}

// updateInSyncAt updates inSyncAt from the last heartbeat of the current stream.
func (f *Follower) updateInSyncAt(s *stream) {
	if !f.diverged && f.state.Version() >= s.heartbeat.Version {
		f.inSyncAt = max(f.inSyncAt, s.heartbeatAt-s.heartbeat.Age)
	}
}

// HandleChanges applies a peer's changes. It ignores changes of streams other than the current one.
func (f *Follower) HandleChanges(id uint64, changes []Change, now time.Duration) {
	stream := f.streams[id]
	if stream == nil || stream != f.current || f.diverged {
		return
	}
	stream.lastReceived = now
	applied, err := f.applyAll(changes)
	if len(applied) > 0 {
		stream.lastProgress, stream.lastUpdate = now, now
		f.actions = append(f.actions, ApplyChanges{Changes: applied})
		f.updateInSyncAt(stream)
	}
	switch {
	case errors.Is(err, ErrGap):
		f.closeStream(stream, ReasonGap, now)
	case err != nil:
		stream.peer.disagrees = true
		f.closeStream(stream, ReasonDigestMismatch, now)
		f.checkDivergence()
	}
}

// applyAll applies changes up to the first error, and returns those that it applied. A change that the state already
// contains is an error only if its digest is known to differ.
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

// HandleChunk handles a chunk of a peer's snapshot. It replaces the state when the snapshot is complete. It ignores
// chunks of streams other than the current one.
func (f *Follower) HandleChunk(id uint64, chunk SnapshotChunk, now time.Duration) {
	stream := f.streams[id]
	if stream == nil || stream != f.current {
		return
	}
	stream.lastReceived = now
	if version := f.state.Version(); chunk.Version < version || chunk.Version == version && !f.diverged {
		f.closeStream(stream, ReasonVersionRegressed, now)
		return
	}
	isFirst := chunk.After == "" && chunk.LogOffset == 0
	if f.builder == nil || isFirst { // a relay restarts the snapshot of a stream that lost its slot
		f.builder = NewSnapshotBuilder()
	}
	state, err := f.builder.Add(chunk)
	if err != nil {
		f.closeStream(stream, ReasonDigestMismatch, now)
		return
	}
	stream.lastProgress = now
	if state == nil {
		return
	}
	f.state, f.builder, f.diverged = state, nil, false
	stream.lastUpdate = now
	f.actions = append(f.actions, InstallSnapshot{Snapshot: state.Snapshot()})
	f.updateInSyncAt(stream)
}

// Tick closes streams that have failed by the given time, and dials peers.
func (f *Follower) Tick(now time.Duration) {
	f.closeFailed(now)
	candidates := f.updateProbing(now)
	if now < f.nextDial {
		return
	}
	switch {
	case f.current == nil || f.probing:
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

// comparePreference orders peers by rank, then by distance, then by a hash that spreads followers over equal peers.
func (f *Follower) comparePreference(a, b *peer) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(f.distance(a), f.distance(b)),
		cmp.Compare(rendezvousHash(f.opts.Name, a.Name), rendezvousHash(f.opts.Name, b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

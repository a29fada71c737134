package configlog

import (
	"hash/fnv"
	"io"
	"slices"
	"time"
)

// This file has the rules by which a follower selects the peer to dial and the stream to follow.

// Distances of a peer.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

func (f *Follower) distance(p *peer) int {
	switch {
	case p.Region != f.opts.Region:
		return otherRegion
	case p.Zone != f.opts.Zone:
		return sameRegion
	}
	return sameZone
}

// rendezvousHash ranks relays for a follower, differently for each: the followers of a relay that fails spread
// over all others.
func rendezvousHash(follower, relay string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, follower+"\x00"+relay) // it never returns an error
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd // murmur3's finalizer: the last step of FNV mixes little
	return x ^ x>>33
}

// inSync reports whether a stream's peer has all that this follower has, and is not stale itself.
func (f *Follower) inSync(s *stream, now time.Duration) bool {
	return s.heartbeatAt > 0 && s.heartbeat.Version >= f.state.Version() && s.age(now) < StaleAfter
}

// age is how long ago what a stream's peer announced was certainly the newest.
func (s *stream) age(now time.Duration) time.Duration { return s.heartbeat.Age + now - s.heartbeatAt }

// selectStream decides, as a heartbeat has come on a stream, which one is current. The first to answer is.
// Another takes its place where that one is better, and is closed else. Streams to less preferred peers are
// closed once the current one is in sync.
func (f *Follower) selectStream(s *stream, now time.Duration) {
	switch {
	case s == f.current:
		f.updateInSyncAt(s)
	case f.current == nil:
		f.follow(s)
	case f.isBetter(s, f.current, now):
		reason := ReasonLagging
		if f.inSync(f.current, now) {
			reason = ReasonRedundant
		}
		f.closeStream(f.current, reason, now)
		f.follow(s)
	case f.inSync(s, now):
		f.closeStream(s, ReasonRedundant, now)
	default:
		f.closeStream(s, ReasonLagging, now)
	}
	if f.current != nil && f.inSync(f.current, now) {
		f.closeRedundant(now)
	}
}

// isBetter reports whether a stream is to be followed rather than another: one in sync before one that is not; of
// two in sync the one to the more preferred peer; else the one with the newer version, if that is news, or
// with an age that is lower by more than a heartbeat.
func (f *Follower) isBetter(s, than *stream, now time.Duration) bool {
	inSync, thanInSync := f.inSync(s, now), f.inSync(than, now)
	switch {
	case inSync != thanInSync:
		return inSync
	case inSync:
		return s.peer.preference < than.peer.preference
	case s.heartbeat.Version != than.heartbeat.Version:
		return s.heartbeat.Version > max(than.heartbeat.Version, f.state.Version())
	}
	return s.age(now)+HeartbeatInterval < than.age(now)
}

// follow makes a stream the current one, and asks its peer for what the state lacks.
func (f *Follower) follow(s *stream) {
	f.current, f.builder = s, nil
	f.nextPreferredProbe = s.lastHeard + f.shorten(PreferredRetryInterval)
	s.lastProgress, s.lastUpdate = s.lastHeard, s.lastHeard
	r := Resume{Stream: s.id, Version: f.state.Version(), Digest: f.state.Digest(), WithLog: f.opts.Relay}
	if f.diverged {
		r.Version, r.Digest = 0, Digest{}
	}
	f.actions = append(f.actions, r)
	f.updateInSyncAt(s)
}

// updateStale notes whether another peer is to be looked for, as the current one is stale or this relay
// follows another relay, and returns the peers that may be dialled. As the peer turns stale the next dial is delayed at random: all its followers see the same.
//
// A relay that follows another relay keeps looking for a voter: two relays that have lost the voters
// could otherwise follow each other, each in sync by the other's heartbeats, until their ages exceed StaleAfter.
func (f *Follower) updateStale(now time.Duration) (candidates []*peer) {
	wasStale := f.currentStale
	f.currentStale = f.current != nil && !f.inSync(f.current, now)
	if f.currentStale && !wasStale {
		f.nextDial = max(f.nextDial, now+f.jitter(f.dialPause()))
		return f.peers
	}
	if f.opts.Relay && f.current != nil && f.current.peer.Rank > f.peers[0].Rank {
		f.currentStale = true
		firstOfRank := slices.IndexFunc(f.peers, func(p *peer) bool { return p.Rank == f.current.peer.Rank })
		return f.peers[:firstOfRank]
	}
	return f.peers
}

// dialPause is the most time from one dial to the next. A node whose relay is stale has a configuration in force
// and can wait; there may be thousands of such nodes, all of which probe the relays that are left.
func (f *Follower) dialPause() time.Duration {
	if f.currentStale && !f.opts.Relay {
		return RedialInterval
	}
	return DialStagger
}

// selectPeer is the rule for which candidate to dial next; nil for none. Peers with a stream, dialled within
// RedialInterval or excluded are left out. Of the others it takes, in this order,
//
//   - one that is not backing off,
//   - one that was not dialled within FailureBackoff, else the one dialled longest ago,
//   - the lowest rank,
//   - while the current peer is stale, the one that shares the least locality with it and with those that failed,
//   - the most preferred.
func (f *Follower) selectPeer(candidates []*peer, now time.Duration) *peer {
	var best *peer
	var bestScore dialScore
	for _, p := range candidates {
		if p.stream != nil || now < p.redialAfter || now < p.excludedUntil {
			continue
		}
		if score := f.scoreFor(p, now); best == nil || slices.Compare(score[:], bestScore[:]) < 0 {
			best, bestScore = p, score
		}
	}
	return best
}

// dialScore orders peers for selectPeer, the lowest first.
type dialScore [5]time.Duration

func (f *Follower) scoreFor(p *peer, now time.Duration) dialScore {
	var backingOff, lastDialed, locality time.Duration
	if now < p.backoffUntil {
		backingOff = 1
	}
	if now-p.lastDialed < FailureBackoff {
		lastDialed = max(p.lastDialed, 1)
	}
	if f.currentStale {
		locality = f.sharedLocality(p, now)
	}
	return dialScore{backingOff, lastDialed, time.Duration(p.Rank), locality, time.Duration(p.preference)}
}

// sharedLocality counts the zones and regions that a peer shares with the current one and with those that are
// backing off: what they have in common may have failed.
func (f *Follower) sharedLocality(p *peer, now time.Duration) (shared time.Duration) {
	for _, failed := range f.peers {
		if now >= failed.backoffUntil && failed != f.current.peer {
			continue
		}
		if failed.Region != p.Region {
			continue
		}
		shared++
		if failed.Zone == p.Zone {
			shared++
		}
	}
	return shared
}

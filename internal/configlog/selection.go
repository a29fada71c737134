package configlog

import (
	"hash/fnv"
	"io"
	"slices"
	"time"
)

// This file implements how a follower selects the peer to dial and the stream to follow.

// Distances of a peer from the follower.
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

// rendezvousHash returns the weight of a relay for a follower in rendezvous hashing. Each follower ranks the relays
// differently, so that the followers of a failed relay spread over all others.
func rendezvousHash(follower, relay string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, follower+"\x00"+relay) // hash.Hash.Write never returns an error
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd // part of murmur3's finalizer, because the last step of FNV mixes few bits
	return x ^ x>>33
}

// inSync reports whether a stream's peer has at least the version of this follower, and is not stale.
func (f *Follower) inSync(s *stream, now time.Duration) bool {
	return s.heartbeatAt > 0 && s.heartbeat.Version >= f.state.Version() && s.age(now) < StaleAfter
}

// age returns the time since the version that the stream's peer last announced was certainly the newest.
func (s *stream) age(now time.Duration) time.Duration { return s.heartbeat.Age + now - s.heartbeatAt }

// selectStream selects the current stream after a heartbeat of a candidate. The first stream with a heartbeat becomes
// the current one. A later candidate replaces the current stream if it is better, and is closed otherwise. Streams to
// less preferred peers are closed once the current one is in sync.
func (f *Follower) selectStream(candidate *stream, now time.Duration) {
	switch {
	case candidate == f.current:
		f.updateInSyncAt(candidate)
	case f.current == nil:
		f.follow(candidate)
	case f.isBetter(candidate, f.current, now):
		reason := ReasonLagging
		if f.inSync(f.current, now) {
			reason = ReasonRedundant
		}
		f.closeStream(f.current, reason, now)
		f.follow(candidate)
	case f.inSync(candidate, now):
		f.closeStream(candidate, ReasonRedundant, now)
	default:
		f.closeStream(candidate, ReasonLagging, now)
	}
	if f.current != nil && f.inSync(f.current, now) {
		f.closeRedundant(now)
	}
}

// isBetter reports whether a candidate is a better stream to follow than the other one. A stream in sync is better than
// one that is not. Of two streams in sync, the one to the more preferred peer is better. If neither is in sync, the one
// with the higher version is better, provided that the version is also higher than the follower's. At equal versions,
// the one whose age is lower by more than HeartbeatInterval is better.
func (f *Follower) isBetter(candidate, other *stream, now time.Duration) bool {
	inSync, otherInSync := f.inSync(candidate, now), f.inSync(other, now)
	switch {
	case inSync != otherInSync:
		return inSync
	case inSync:
		return candidate.peer.preference < other.peer.preference
	case candidate.heartbeat.Version != other.heartbeat.Version:
		return candidate.heartbeat.Version > max(other.heartbeat.Version, f.state.Version())
	}
	return candidate.age(now)+HeartbeatInterval < other.age(now)
}

// follow makes a stream the current one, and sends a Resume to its peer.
func (f *Follower) follow(s *stream) {
	f.current, f.builder = s, nil
	f.nextPreferredProbe = s.lastReceived + f.shorten(PreferredRetryInterval)
	s.lastProgress, s.lastUpdate = s.lastReceived, s.lastReceived
	r := Resume{Stream: s.id, Version: f.state.Version(), Digest: f.state.Digest(), WithLog: f.opts.Relay}
	if f.diverged {
		r.Version, r.Digest = 0, Digest{}
	}
	f.actions = append(f.actions, r)
	f.updateInSyncAt(s)
}

// updateProbing decides whether to probe other peers, and returns the peers that may be dialled. Other peers are
// probed if the current one is stale, or if this relay follows another relay. When the current peer becomes stale, the
// next dial is delayed by a random time, because all followers of that peer detect it at the same time.
//
// A relay that follows another relay always probes for a voter. Otherwise two relays that have lost the voters could
// follow each other, each in sync by the other's heartbeats, until their ages exceed StaleAfter.
func (f *Follower) updateProbing(now time.Duration) (candidates []*peer) {
	wasProbing := f.probing
	f.probing = f.current != nil && !f.inSync(f.current, now)
	if f.probing && !wasProbing {
		f.nextDial = max(f.nextDial, now+f.jitter(f.dialPause()))
		return f.peers
	}
	if f.opts.Relay && f.current != nil && f.current.peer.Rank > f.peers[0].Rank {
		f.probing = true
		firstOfRank := slices.IndexFunc(f.peers, func(p *peer) bool { return p.Rank == f.current.peer.Rank })
		return f.peers[:firstOfRank]
	}
	return f.peers
}

// dialPause returns the maximum time between two dials. It is longer for a node whose relay is stale: the node has a
// configuration and can wait, and thousands of such nodes may probe the remaining relays.
func (f *Follower) dialPause() time.Duration {
	if f.probing && !f.opts.Relay {
		return RedialInterval
	}
	return DialStagger
}

// selectPeer returns the candidate to dial next; nil for none. It skips peers that have a stream, that were dialled
// within RedialInterval, or that are excluded. Among the others it prefers, in this order:
//
//   - a peer that is not backing off,
//   - a peer that was not dialled within FailureBackoff, or else the one dialled longest ago,
//   - the peer of the lowest rank,
//   - while probing, the peer that shares the least locality with the current peer and with failed peers,
//   - the most preferred peer.
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

// dialScore orders peers for selectPeer, lowest first. Its elements correspond to the criteria that selectPeer lists.
type dialScore [5]time.Duration

func (f *Follower) scoreFor(p *peer, now time.Duration) dialScore {
	var backingOff, lastDialed, locality time.Duration
	if now < p.backoffUntil {
		backingOff = 1
	}
	if now-p.lastDialed < FailureBackoff {
		lastDialed = max(p.lastDialed, 1)
	}
	if f.probing {
		locality = f.sharedLocality(p, now)
	}
	return dialScore{backingOff, lastDialed, time.Duration(p.Rank), locality, time.Duration(p.preference)}
}

// sharedLocality returns the number of zones and regions that a peer shares with the current peer and with peers that
// are backing off. A zone or region that they have in common may have failed.
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

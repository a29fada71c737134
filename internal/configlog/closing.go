package configlog

import "time"

// This file implements when a follower closes streams, and how long it backs off from their peers.

// closeFailed closes failed streams: dials that exceed DialTimeout, streams that were silent for HeartbeatTimeout, and
// the current stream if it makes no progress.
func (f *Follower) closeFailed(now time.Duration) {
	for _, p := range f.peers {
		s := p.stream
		switch {
		case s == nil:
		case !s.connected:
			if now-s.dialedAt >= DialTimeout {
				f.closeStream(s, ReasonDialTimeout, now)
			}
		case now-s.lastReceived >= HeartbeatTimeout:
			f.closeStream(s, ReasonSilent, now)
		case s == f.current && f.makesNoProgress(s, now):
			f.closeStream(s, ReasonNoProgress, now)
		}
	}
}

// makesNoProgress reports whether the current stream fails to send an update that its peer has announced. Either it
// has sent no part of the update for ProgressTimeout, or for SnapshotQueueTimeout while it is queued for a snapshot, or it
// has sent parts of a snapshot for too long without completing it.
func (f *Follower) makesNoProgress(s *stream, now time.Duration) bool {
	timeout := ProgressTimeout
	if s.heartbeat.SnapshotQueued {
		timeout = SnapshotQueueTimeout
	}
	updateDue := s.heartbeat.Version > f.state.Version() || f.diverged
	if updateDue && now-s.lastProgress >= timeout {
		return true
	}
	return f.builder != nil && now-s.lastUpdate >= SnapshotQueueTimeout+2*SnapshotTimeout
}

// closeRedundant closes the streams to peers that are less preferred than the current one. Probes of more preferred
// peers stay open.
func (f *Follower) closeRedundant(now time.Duration) {
	for _, p := range f.peers {
		if p.stream != nil && p.stream != f.current && p.preference > f.current.peer.preference {
			f.closeStream(p.stream, ReasonRedundant, now)
		}
	}
}

// closeStream closes a stream and requests that the driver closes its connection.
func (f *Follower) closeStream(s *stream, reason CloseReason, now time.Duration) {
	f.actions = append(f.actions, CloseStream{Stream: s.id, Peer: s.peer.Name, Reason: reason})
	f.removeStream(s, reason, now)
}

// removeStream removes a stream that has ended, and backs off from its peer for a time that depends on the reason.
func (f *Follower) removeStream(s *stream, reason CloseReason, now time.Duration) {
	delete(f.streams, s.id)
	f.closeCounts[reason]++
	switch reason {
	case ReasonDigestMismatch:
		s.peer.excludedUntil = now + MismatchBackoff
	case ReasonLagging, ReasonVersionRegressed, ReasonNoProgress, ReasonSilent, ReasonGap:
		s.peer.backoffUntil = now + FailureBackoff
	}
	s.peer.stream = nil
	if f.current == s {
		f.current, f.builder = nil, nil
		f.nextDial = now + f.jitter(FailoverJitter)
	}
}

// CloseCount returns the number of streams that were closed for a reason.
func (f *Follower) CloseCount(reason CloseReason) int { return f.closeCounts[reason] }

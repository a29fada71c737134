package configlog

import (
	"slices"
	"time"
)

const (
	// MaxSnapshotStreams bounds the streams to which a relay sends a snapshot at the same time. It applies separately
	// to followers that lag (takeTurn) and to followers that have diverged (configsync.Relay). It limits the relay's
	// cost if many followers restart at once; other streams wait.
	MaxSnapshotStreams = 4
	// SnapshotTimeout is the time after which a stream loses its slot if other streams wait. It is longer than the
	// transfer of a snapshot over a slow link. A snapshot to a diverged follower fails after this time even if no other
	// stream waits.
	SnapshotTimeout = time.Minute
	// SnapshotIdleTimeout is the time after which a stream that accepts no data loses its slot, or its place in the
	// queue.
	SnapshotIdleTimeout = 5 * time.Second
)

// ProgressTracker is the state that the streams of one relay share: the snapshot that is being sent, and the queue of
// streams that need one. The zero value is ready to use. Neither it nor its Progress values are safe for concurrent
// use.
type ProgressTracker struct {
	snapshot     *Snapshot // without the log; nil while none is being sent
	fullSnapshot *Snapshot // the same with the log
	sending      []*Progress
	queue        []*Progress // the stream that has waited longest is first
}

// Progress is a relay's view of one follower, as in raft. It stores no messages: NextMessage makes the next one from
// the relay's state when the connection can accept it, so that a slow stream uses no more memory than a fast one.
type Progress struct {
	tracker     *ProgressTracker
	resumed     bool   // the follower has sent a Resume
	withLog     bool   // the follower requests snapshots with the log
	sentVersion uint64 // the version up to which all changes were sent

	started       bool      // a heartbeat was sent
	lastHeartbeat Heartbeat // the last heartbeat that was sent
	heartbeatAt   time.Duration

	snapshot      *Snapshot     // the snapshot that is being sent; nil for none
	chunk         SnapshotChunk // the last chunk that was sent of it
	snapshotStart time.Duration
	lastRequest   time.Duration // when the connection could last accept a chunk
}

// Open adds a stream. The caller must call Progress.Close when the stream ends.
func (t *ProgressTracker) Open() *Progress { return &Progress{tracker: t} }

// Close removes the stream.
func (p *Progress) Close() { p.release() }

// release releases the stream's slot, or its place in the queue.
func (p *Progress) release() {
	t := p.tracker
	isThis := func(other *Progress) bool { return other == p }
	t.sending, t.queue = slices.DeleteFunc(t.sending, isThis), slices.DeleteFunc(t.queue, isThis)
	p.snapshot, p.chunk = nil, SnapshotChunk{}
	if len(t.sending) == 0 {
		t.snapshot, t.fullSnapshot = nil, nil
	}
}

// Resume sets the version after which to send changes, and whether a snapshot includes the log, as the follower's
// Resume message requests.
func (p *Progress) Resume(version uint64, withLog bool) {
	p.release()
	p.resumed, p.sentVersion, p.withLog = true, version, withLog
}

// SentVersion returns the version up to which all changes were sent.
func (p *Progress) SentVersion() uint64 { return p.sentVersion }

// NextMessage returns the stream's next message, made from the relay's state and the age of that state. It returns nil
// if there is no message until the state changes, HeartbeatInterval has passed, or another stream releases its slot.
// It must be called only when the connection can accept a message.
func (p *Progress) NextMessage(state *State, age, now time.Duration) Message {
	if !p.started || p.lastHeartbeat.Version != state.Version() || now-p.heartbeatAt >= HeartbeatInterval {
		p.started, p.heartbeatAt = true, now
		p.lastHeartbeat = Heartbeat{
			Version:        state.Version(),
			Digest:         state.Digest(),
			Age:            age,
			SnapshotQueued: slices.Contains(p.tracker.queue, p),
		}
		return p.lastHeartbeat
	}
	switch {
	case !p.resumed:
		return nil
	case p.snapshot != nil:
		return p.nextChunk(now)
	case p.sentVersion >= state.Version():
		return nil
	}
	if changes, retained := state.ChangesSince(p.sentVersion); retained {
		p.release() // the stream may still be queued for a snapshot, from before the follower resumed again
		return p.nextChanges(changes)
	}
	if !p.startSnapshot(state, now) {
		return nil
	}
	return p.nextChunk(now)
}

// nextChanges returns the first changes, up to ChunkBytes in size but at least one.
func (p *Progress) nextChanges(changes []Change) Message {
	size, n := 0, 0
	for n < len(changes) && (n == 0 || size+changes[n].size() <= ChunkBytes) {
		size += changes[n].size()
		n++
	}
	p.sentVersion = changes[n-1].Version
	return Changes(changes[:n:n])
}

// nextChunk returns the next chunk of the snapshot that is being sent.
func (p *Progress) nextChunk(now time.Duration) Message {
	p.chunk, p.lastRequest = p.snapshot.Chunk(p.chunk), now
	chunk := p.chunk
	if chunk.Last {
		p.sentVersion = chunk.Version
		p.release()
	}
	return chunk
}

// startSnapshot starts sending a snapshot. It returns false if the stream has to wait for its slot.
func (p *Progress) startSnapshot(s *State, now time.Duration) bool {
	p.lastRequest = now
	if !p.tracker.takeTurn(p, now) {
		return false
	}
	p.tracker.prepareSnapshot(s)
	p.snapshot, p.chunk, p.snapshotStart = p.tracker.snapshot, SnapshotChunk{}, now
	if p.withLog {
		p.snapshot = p.tracker.fullSnapshot
	}
	return true
}

// takeTurn reports whether a stream gets a slot to be sent a snapshot, and queues it otherwise. At most
// MaxSnapshotStreams streams have a slot at a time, and the queue is first in, first out. A stream that accepts no data
// for SnapshotIdleTimeout loses its place or its slot. While other streams wait, a stream also loses its slot after
// SnapshotTimeout. It then starts again at the end of the queue.
func (t *ProgressTracker) takeTurn(p *Progress, now time.Duration) bool {
	if !slices.Contains(t.queue, p) {
		t.queue = append(t.queue, p)
	}
	for now-t.queue[0].lastRequest >= SnapshotIdleTimeout {
		t.queue = t.queue[1:]
	}
	if len(t.sending) >= MaxSnapshotStreams {
		t.releaseOverdue(now)
	}
	if len(t.sending) >= MaxSnapshotStreams || t.queue[0] != p {
		return false
	}
	t.queue = t.queue[1:]
	t.sending = append(t.sending, p)
	return true
}

// releaseOverdue ends the slot of one stream that is idle or has exceeded SnapshotTimeout, if there is such a stream.
func (t *ProgressTracker) releaseOverdue(now time.Duration) {
	for _, p := range t.sending {
		if now-p.lastRequest >= SnapshotIdleTimeout || now-p.snapshotStart >= SnapshotTimeout {
			p.release()
			return
		}
	}
}

// prepareSnapshot makes the snapshot that the streams share. It reuses an existing one if the log still retains all
// changes after it.
func (t *ProgressTracker) prepareSnapshot(s *State) {
	if t.snapshot != nil {
		if _, retained := s.ChangesSince(t.snapshot.Version()); retained {
			return
		}
	}
	full := s.Snapshot()
	withoutLog := full.WithoutLog()
	t.snapshot, t.fullSnapshot = &withoutLog, &full
}

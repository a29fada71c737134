package configlog

import (
	"slices"
	"time"
)

const (
	// MaxSnapshotStreams bounds the streams that a relay sends a snapshot at a time, once for followers that
	// lag (takeTurn) and once more for followers that have diverged (configsync.Relay). It bounds what many
	// restarts at once cost the relay; other streams wait.
	MaxSnapshotStreams = 4
	// SnapshotTimeout is how long a stream keeps its turn while others wait: longer than a snapshot takes
	// on a slow link. A snapshot to a diverged follower fails after it, whoever waits.
	SnapshotTimeout = time.Minute
	// SnapshotIdleTimeout is how long a stream that takes nothing keeps its turn, or its place in the queue.
	SnapshotIdleTimeout = 5 * time.Second
)

// ProgressTracker holds what the streams of one relay share: the snapshot that is being sent, and the queue of
// those that need one. The zero value is ready to use. Neither it nor its Progress is safe for concurrent use.
type ProgressTracker struct {
	snapshot     *Snapshot // without the log; nil while none is being sent
	fullSnapshot *Snapshot // the same with the log
	sending      []*Progress
	queue        []*Progress // the one that has waited longest first
}

// Progress is a relay's view of one follower, as in raft. It holds no messages: NextMessage makes the next one
// from the relay's state when the connection can take it, so that a slow stream costs no more than a fast one.
type Progress struct {
	tracker     *ProgressTracker
	resumed     bool   // Resume was received
	withLog     bool   // the follower wants snapshots with the log
	sentVersion uint64 // up to which everything was sent

	started       bool      // a heartbeat was sent
	lastHeartbeat Heartbeat // as it was sent
	heartbeatAt   time.Duration

	snapshot      *Snapshot     // that is being sent; nil for none
	chunk         SnapshotChunk // the last one that was sent of it
	snapshotStart time.Duration
	lastRequest   time.Duration // when the connection could last take a chunk
}

// Open adds a stream.
func (t *ProgressTracker) Open() *Progress { return &Progress{tracker: t} }

// Close removes the stream.
func (p *Progress) Close() { p.release() }

// release gives up the stream's turn, or its place in the queue.
func (p *Progress) release() {
	t := p.tracker
	isThis := func(other *Progress) bool { return other == p }
	t.sending, t.queue = slices.DeleteFunc(t.sending, isThis), slices.DeleteFunc(t.queue, isThis)
	p.snapshot, p.chunk = nil, SnapshotChunk{}
	if len(t.sending) == 0 {
		t.snapshot, t.fullSnapshot = nil, nil
	}
}

// Resume starts to send what comes after a version, as the follower asked.
func (p *Progress) Resume(version uint64, withLog bool) {
	p.release()
	p.resumed, p.sentVersion, p.withLog = true, version, withLog
}

// Sent is the version up to which everything was sent.
func (p *Progress) Sent() uint64 { return p.sentVersion }

// NextMessage returns the stream's next message from the relay's state and that one's age. It returns nil where
// there is none until the state changes, HeartbeatInterval has passed or another stream gives up its turn. It
// is called when the connection can take a message.
func (p *Progress) NextMessage(s *State, age, now time.Duration) Message {
	if !p.started || p.lastHeartbeat.Version != s.Version() || now-p.heartbeatAt >= HeartbeatInterval {
		p.started, p.heartbeatAt = true, now
		p.lastHeartbeat = Heartbeat{
			Version:        s.Version(),
			Digest:         s.Digest(),
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
	case p.sentVersion >= s.Version():
		return nil
	}
	if changes, retained := s.Since(p.sentVersion); retained {
		p.release() // it may be in the queue, from before the follower resumed anew
		return p.nextChanges(changes)
	}
	if !p.startSnapshot(s, now) {
		return nil
	}
	return p.nextChunk(now)
}

// nextChanges returns the first of the changes, up to about a chunk's size.
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

// startSnapshot starts to send a snapshot, and returns false where the stream has to wait for its turn.
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

// takeTurn is the rule for whose turn it is to be sent a snapshot. Up to MaxSnapshotStreams have a turn at a
// time, and the queue is in order of arrival. A stream that takes nothing for SnapshotIdleTimeout loses its
// place, and its turn; one that others wait for loses its turn after SnapshotTimeout. It starts again at the
// end of the queue.
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

// releaseOverdue ends the turn of one stream that is idle or has had it for too long, if there is one.
func (t *ProgressTracker) releaseOverdue(now time.Duration) {
	for _, p := range t.sending {
		if now-p.lastRequest >= SnapshotIdleTimeout || now-p.snapshotStart >= SnapshotTimeout {
			p.release()
			return
		}
	}
}

// prepareSnapshot makes the snapshot that the streams share, or keeps one whose successors are retained.
func (t *ProgressTracker) prepareSnapshot(s *State) {
	if t.snapshot != nil {
		if _, retained := s.Since(t.snapshot.Version()); retained {
			return
		}
	}
	full := s.Snapshot()
	withoutLog := full.WithoutLog()
	t.snapshot, t.fullSnapshot = &withoutLog, &full
}

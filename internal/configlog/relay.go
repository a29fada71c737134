package configlog

import (
	"slices"
	"time"
)

// Bounds of what a relay gives.
const (
	// MaxSnapshots is how many streams of a relay are sent a snapshot at a time; others wait.
	MaxSnapshots = 4
	// SnapshotTime is how long a stream that is sent one keeps its place from those that wait, and
	// SnapshotIdle how long where it takes nothing.
	SnapshotTime = time.Minute
	SnapshotIdle = 5 * time.Second
)

// Word is one thing that a relay sends: an Offer, Changes or a Piece.
type Word interface{ word() }

// Changes follow each other.
type Changes []Change

func (Offer) word()   {}
func (Changes) word() {}
func (Piece) word()   {}

// Streams are those of one relay, or of a voter that is followed. They share what snapshots are sent, and who
// is sent one. One owner at a time uses them and their cursors.
type Streams struct {
	shared *Snapshot
	log    *Snapshot // the same with its log
	giving []*Cursor
	line   []*Cursor // those that wait for a snapshot, the longest first
}

// Cursor is one stream: what it has been sent. It has no queue: what is next comes from the state whenever the
// connection can take more, so that a slow reader costs no more than a quick one.
type Cursor struct {
	streams *Streams
	asked   bool // Resume came
	log     bool
	version uint64 // up to which it was sent
	told    Offer  // the last one
	toldAt  time.Duration
	began   bool
	from    *Snapshot // the snapshot that it is sent,
	piece   Piece     // the last piece of it,
	since   time.Duration
	pulled  time.Duration
}

// Open is a new stream.
func (s *Streams) Open() *Cursor { return &Cursor{streams: s} }

// Close gives back what a stream held.
func (c *Cursor) Close() { c.release() }

// release gives its place up, among those that are sent a snapshot or wait for one.
func (c *Cursor) release() {
	s := c.streams
	is := func(o *Cursor) bool { return o == c }
	s.giving, s.line = slices.DeleteFunc(s.giving, is), slices.DeleteFunc(s.line, is)
	if c.from, c.piece = nil, (Piece{}); len(s.giving) == 0 {
		s.shared, s.log = nil, nil
	}
}

// Resume is the stream's follower's word of what it has.
func (c *Cursor) Resume(version uint64, log bool) {
	c.release()
	c.asked, c.version, c.log = true, version, log
}

// Sent is the version up to which the stream was sent.
func (c *Cursor) Sent() uint64 { return c.version }

// Next is the stream's next word, from the relay's state and the age of it, or nil where there is none before
// the state changes or a Heartbeat has passed. It is asked for whenever the connection can take one.
func (c *Cursor) Next(s *State, age, now time.Duration) Word {
	if !c.began || c.told.Version != s.Version() || now-c.toldAt >= Heartbeat {
		c.began, c.toldAt = true, now
		c.told = Offer{s.Version(), s.Digest(), age, slices.Contains(c.streams.line, c)}
		return c.told
	}
	switch {
	case !c.asked:
		return nil
	case c.from != nil:
		return c.next(now)
	case c.version >= s.Version():
		return nil
	}
	if all, ok := s.Since(c.version); ok {
		c.release() // it may have waited, and the follower asked anew
		return c.changes(all)
	}
	if !c.enter(s, now) {
		return nil
	}
	return c.next(now)
}

// changes gives the first of some, about as many as a piece has bytes.
func (c *Cursor) changes(all []Change) Word {
	bytes, n := 0, 0
	for n < len(all) && (n == 0 || bytes+all[n].size() <= PieceBytes) {
		bytes += all[n].size()
		n++
	}
	c.version = all[n-1].Version
	return Changes(all[:n:n])
}

// next gives the next piece of the snapshot that the stream is sent.
func (c *Cursor) next(now time.Duration) Word {
	c.piece, c.pulled = c.from.Piece(c.piece), now
	p := c.piece
	if p.Last {
		c.version = p.Version
		c.release()
	}
	return p
}

// enter has the stream sent a snapshot, if its turn has come.
func (c *Cursor) enter(s *State, now time.Duration) bool {
	all := c.streams
	c.pulled = now
	if !slices.Contains(all.line, c) {
		all.line = append(all.line, c)
	}
	for now-all.line[0].pulled >= SnapshotIdle { // it takes nothing, so others need not wait for it
		all.line = all.line[1:]
	}
	if len(all.giving) >= MaxSnapshots {
		for _, o := range all.giving {
			if now-o.pulled >= SnapshotIdle || now-o.since >= SnapshotTime {
				o.release() // it begins again, last in the line
				break
			}
		}
	}
	if len(all.giving) >= MaxSnapshots || all.line[0] != c {
		return false
	}
	all.line = all.line[1:]
	if all.shared != nil {
		if _, ok := s.Since(all.shared.Version()); !ok { // what comes after it is forgotten
			all.shared = nil
		}
	}
	if all.shared == nil {
		whole := s.Snapshot()
		bare := whole.Bare()
		all.shared, all.log = &bare, &whole
	}
	all.giving = append(all.giving, c)
	c.from, c.piece, c.since, c.pulled = all.shared, Piece{}, now, now
	if c.log {
		c.from = all.log
	}
	return true
}

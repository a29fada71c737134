package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

const (
	// tickInterval is the time between two updates of the view, after which the member sends what has changed. It
	// bounds how long a joiner waits for the members' digests.
	tickInterval = 200 * time.Millisecond
	// topicIntervalPerMember, times the number of connected members, is the time between two publications of the
	// topics. The notes of the whole fleet then arrive at a constant rate of ten per second, which takes a third of
	// the capacity of the packets in a fleet of 300.
	topicIntervalPerMember = 100 * time.Millisecond
	// minTopicInterval is the minimum time between two publications, which applies to small fleets.
	minTopicInterval = time.Second
	// maxDigestMessages bounds the number of joiners that receive the digest at a tick. The others receive it at
	// later ticks.
	maxDigestMessages = 16
)

// tickLoop calls tick at each tickInterval until Close.
func (g *Gossip) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.tick()
		case <-g.done:
			return
		}
	}
}

// tick updates the view and sends what has changed.
func (g *Gossip) tick() {
	endedUpTo := uint64(0)
	if g.opts.EndedUpTo != nil {
		endedUpTo = g.opts.EndedUpTo() // before mu is locked, as it reads files
	}
	g.mu.Lock()
	now := g.now()
	g.view.EndPredecessors(endedUpTo)
	for id := range g.addresses {
		g.view.MarkSeen(now, id)
	}
	g.view.Tick(now)
	g.notes.Tick(now)
	g.publishLocked()
	g.publishTopicsLocked(now)
	record := encodeRecord(g.view.Record(), true)
	joiners := g.joinersLocked()
	g.mu.Unlock()
	for _, addr := range joiners {
		_ = g.list.SendToAddress(memberlist.Address{Addr: addr}, record) // after an error the record is sent again at the next tick
	}
}

// publishLocked reports the position if it has changed, and then broadcasts this member's record if more than its digest
// has changed. The order matters: other members may increase their quotas when they receive the record, so this
// member's quota must have decreased before. The caller must hold mu.
func (g *Gossip) publishLocked() {
	if p := g.positionLocked(); p != g.position {
		g.position = p
		g.opts.Log.Info("members", "may_serve", p.Count, "heard", p.Reachable, "index", p.Index, "quota", p.Quota)
		if g.opts.OnPositionChange != nil {
			g.opts.OnPositionChange(p)
		}
	}
	record := g.view.Record()
	if !g.leaving && withoutDigest(record) != withoutDigest(g.sentRecord) {
		g.sentRecord = record
		g.broadcastRecord(record)
	}
}

// withoutDigest returns a record without the fields that only joiners need.
func withoutDigest(r membership.Record) membership.Record {
	r.Seq, r.Digest = 0, 0
	return r
}

// positionLocked returns this member's position according to the view. The caller must hold mu.
func (g *Gossip) positionLocked() FleetPosition {
	members, now := g.view.MayServe(), g.now()
	p := FleetPosition{Count: len(members), Quota: g.view.Quota()}
	for i, m := range members {
		if g.view.IsReachable(now, m) {
			p.Reachable++
		}
		if m.ID == g.opts.Self.ID {
			p.Index = i
		}
	}
	return p
}

// publishTopicsLocked broadcasts the notes of the topics if their interval has passed. The caller must hold mu.
func (g *Gossip) publishTopicsLocked(now time.Duration) {
	interval := max(minTopicInterval, time.Duration(g.connectedCount())*topicIntervalPerMember)
	wallNow := time.Now()
	if wallNow.Sub(g.lastPublication) < interval {
		return
	}
	g.lastPublication = wallNow
	for _, topic := range g.opts.Topics {
		body := topic.Read()
		if body == nil {
			continue
		}
		n, err := g.notes.Publish(now, topic.Name, body)
		if err != nil {
			continue // the body exceeds the kind's MaxBytes; the next one may be shorter
		}
		g.broadcastNote(n)
	}
}

// joinersLocked returns the addresses of at most maxDigestMessages joiners, chosen at random. The caller must hold mu.
func (g *Gossip) joinersLocked() []string {
	var addrs []string
	for _, m := range g.view.MayServe() {
		if addr := g.addresses[m.ID]; addr != "" && m.State == membership.Joining && m.ID != g.opts.Self.ID {
			addrs = append(addrs, addr)
		}
	}
	return sample(addrs, maxDigestMessages)
}

// broadcastRecord queues a record for broadcast. It replaces a queued record of the same incarnation.
func (g *Gossip) broadcastRecord(r membership.Record) {
	g.broadcasts.QueueBroadcast(broadcast{id: r.ID, message: encodeRecord(r, false)})
}

// broadcastNote queues a note for broadcast. It replaces a queued note of the same incarnation and kind.
func (g *Gossip) broadcastNote(n nodestate.Note) {
	g.broadcasts.QueueBroadcast(broadcast{id: n.Origin, kind: n.Kind, message: encodeNote(n)})
}

// broadcast implements memberlist.Broadcast.
type broadcast struct {
	id      membership.ID
	kind    string // the kind of a note; "" for a record
	message []byte
}

// Invalidates implements memberlist.Broadcast.
func (b broadcast) Invalidates(other memberlist.Broadcast) bool {
	old, ok := other.(broadcast)
	return ok && old.id == b.id && old.kind == b.kind
}

// Message implements memberlist.Broadcast.
func (b broadcast) Message() []byte { return b.message }

// Finished implements memberlist.Broadcast.
func (broadcast) Finished() {}

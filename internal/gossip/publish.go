package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

const (
	// tickInterval is how often a member looks at the connections and at what it has to send. It bounds how
	// long a joiner waits for the members' digests.
	tickInterval = 200 * time.Millisecond
	// topicIntervalPerMember is multiplied by the number of connected members to give the time between two
	// publications of the topics: the notes of the whole fleet then arrive at a steady rate. At ten a second they take a third of
	// what packets carry in a fleet of 300.
	topicIntervalPerMember = 100 * time.Millisecond
	// minTopicInterval is the least time between two publications, in small fleets.
	minTopicInterval = time.Second
	// maxDigestMessages bounds how many joiners get the digest at each tick. Others get it at a later one.
	maxDigestMessages = 16
)

// tickLoop lets time pass until Close.
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

// tick brings the view up to date and sends what has changed.
func (g *Gossip) tick() {
	endedUpTo := uint64(0)
	if g.opts.EndedUpTo != nil {
		endedUpTo = g.opts.EndedUpTo() // which reads files
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
		_ = g.list.SendToAddress(memberlist.Address{Addr: addr}, record) // again at the next tick
	}
}

// publishLocked passes a changed position on, and broadcasts the own record where more than its digest has
// changed. The order matters: other members grow their quotas by the record, and the own one must
// have shrunk before. The caller holds mu.
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

// withoutDigest is what a record says to others than joiners.
func withoutDigest(r membership.Record) membership.Record {
	r.Seq, r.Digest = 0, 0
	return r
}

// positionLocked is this member's position by the view. The caller holds mu.
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

// publishTopicsLocked broadcasts the topics' notes where their interval has passed. The caller holds mu.
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
			continue // longer than the kind allows; the next may be shorter
		}
		g.broadcastNote(n)
	}
}

// joinersLocked returns the addresses of some joiners, which wait for digests and are asked for their own
// record. The caller holds mu.
func (g *Gossip) joinersLocked() []string {
	var addrs []string
	for _, m := range g.view.MayServe() {
		if addr := g.addresses[m.ID]; addr != "" && m.State == membership.Joining && m.ID != g.opts.Self.ID {
			addrs = append(addrs, addr)
		}
	}
	return sample(addrs, maxDigestMessages)
}

// broadcastRecord queues a record for broadcast, in place of an older one of the same incarnation.
func (g *Gossip) broadcastRecord(r membership.Record) {
	g.broadcasts.QueueBroadcast(broadcast{id: r.ID, message: encodeRecord(r, false)})
}

// broadcastNote queues a note for broadcast, in place of an older one of the same incarnation and kind.
func (g *Gossip) broadcastNote(n nodestate.Note) {
	g.broadcasts.QueueBroadcast(broadcast{id: n.Origin, kind: n.Kind, message: encodeNote(n)})
}

// broadcast implements memberlist.Broadcast.
type broadcast struct {
	id      membership.ID
	kind    string // of a note; "" for a record
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

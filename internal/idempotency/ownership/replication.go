package ownership

import (
	"time"

	"jasperpin/internal/idempotency"
)

// This file implements replication, for the owner and for the replica.

// replicate sends the replica the current record of a key, or the record that results from r.end. The actions
// of r follow once the replica has confirmed the record, or at once if there is no replica.
func (m *Member) replicate(now time.Duration, k idempotency.Key, replica string, r replication) {
	if replica == "" {
		m.replicated(now, r)
		return
	}
	m.lastID++
	r.replica = replica
	r.message = Message{Kind: KindReplicate, ID: m.lastID, Key: k}
	record, ok := m.store.Export(now, k)
	if settled, ends := m.store.ExportSettled(now, k, r.settles, r.end.outcome, r.end.answer); ends {
		record = settled
	}
	if ok {
		r.message.Records = []idempotency.Record{record}
	}
	m.replications[m.lastID] = r
	m.send(replica, r.message)
}

// replicated performs the actions that waited for a replication.
func (m *Member) replicated(now time.Duration, r replication) {
	if origin, ok := m.origins[r.run]; ok && r.run != 0 {
		k, _ := m.store.KeyOf(r.run) // a ticket with an origin has a key
		m.removeTickets([]idempotency.Ticket{r.run})
		m.send(origin.Member, Message{Kind: KindVerdict, ID: origin.ID, Verdict: idempotency.Run, Run: r.run, Key: k})
	}
	if r.settles != 0 {
		settled := m.store.Settle(now, r.settles, r.end.outcome, r.end.answer)
		m.answerWaiters(settled.Waiters, r.end.answer)
	}
	if r.replyTo != "" {
		m.send(r.replyTo, r.reply)
	}
}

// receiveReplicate stores the record of an owner. It ignores a record older than the last one from this owner:
// the owner resends the key with its current record.
func (m *Member) receiveReplicate(now time.Duration, from string, msg Message) {
	if msg.ID <= m.lastReplicated[from] {
		return
	}
	m.lastReplicated[from] = msg.ID
	if len(m.assignment.awaited) > 0 {
		m.replicatedEarly[msg.Key] = true
	}
	// The record of the owner replaces the local one, which may be about to expire.
	m.removeTickets(m.store.Drop(msg.Key))
	if len(msg.Records) > 0 {
		m.removeTickets(m.store.Import(now, msg.Records[0]))
	}
	m.send(from, Message{Kind: KindReplicated, ID: msg.ID})
}

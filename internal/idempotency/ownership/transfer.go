package ownership

import (
	"maps"
	"slices"
	"time"

	"jasperpin/internal/idempotency"
)

// This file implements the transfer of keys between members after a change of table.

// resetReplication discards the replications and transfers in progress under the previous table. The requester
// or runner resends each message that waited for a replication. A run whose origin has not received its verdict
// is known by its record, at this member or at the new owner.
func (m *Member) resetReplication() {
	for _, r := range m.replications {
		m.removeTickets([]idempotency.Ticket{r.run})
	}
	clear(m.replications)
	clear(m.transfers)
	clear(m.lastReplicated)
	clear(m.replicatedEarly)
}

// startTransfers sends every other member the records of its keys, or an empty list if there are none.
func (m *Member) startTransfers(now time.Duration, t Table) {
	for _, to := range t.members {
		if to == m.self {
			continue
		}
		msg := Message{Epoch: t.Epoch, Kind: KindTransfer}
		for _, k := range m.assignment.KeysFor(m.store, to) {
			if r, ok := m.store.Export(now, k); ok {
				msg.Records = append(msg.Records, r)
			}
		}
		m.transfers[to] = msg
		m.send(to, msg)
	}
}

// releaseWaitersOfOthers removes the waiting requests for keys of another owner; their members now ask that
// owner. The records stay until they are transferred.
func (m *Member) releaseWaitersOfOthers(now time.Duration, t Table) {
	for _, k := range m.store.Keys() {
		if t.Holders(k).Owner == m.self {
			continue
		}
		r, _ := m.store.Export(now, k)
		m.removeTickets(m.store.Drop(k))
		m.store.Import(now, r)
	}
}

// dropKeysOfOthers deletes the keys that this member does not hold under the current table. It is called once
// all transfers are confirmed: if it were called earlier, the next change of table could lose a key.
func (m *Member) dropKeysOfOthers() {
	for _, k := range m.store.Keys() {
		if !m.assignment.Holds(k) {
			m.removeTickets(m.store.Drop(k))
		}
	}
}

// receiveEarlyTransfers handles the transfers that arrived before the table of their epoch.
func (m *Member) receiveEarlyTransfers(now time.Duration, epoch uint64) {
	for _, from := range slices.Sorted(maps.Keys(m.earlyTransfers)) {
		if msg := m.earlyTransfers[from]; msg.Epoch <= epoch {
			delete(m.earlyTransfers, from)
			m.receive(now, from, msg)
		}
	}
}

// receiveTransfer imports the records of this member's keys from another member.
func (m *Member) receiveTransfer(now time.Duration, from string, msg Message) {
	if m.assignment.awaited[from] {
		for _, r := range msg.Records {
			if !m.replicatedEarly[r.Key] && m.assignment.Holds(r.Key) {
				m.removeTickets(m.store.Import(now, r))
			}
		}
		m.assignment.TransferArrived(from, msg.Epoch)
		if len(m.assignment.awaited) == 0 {
			clear(m.replicatedEarly)
		}
	}
	m.send(from, Message{Kind: KindTransferred})
}

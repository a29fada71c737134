package ownership

import (
	"maps"
	"slices"
	"time"

	"jasperpin/internal/idempotency"
)

// This file is how keys move between members after a change of table.

// resetReplication forgets what is under way from the table before. What waited for a replication is asked for
// again, by its requester or its runner. A run whose origin was not told is known by its record, here or at the
// new owner.
func (m *Member) resetReplication() {
	for _, r := range m.replications {
		m.removeTickets([]idempotency.Ticket{r.run})
	}
	clear(m.replications)
	clear(m.transfers)
	clear(m.lastReplicated)
	clear(m.replicatedEarly)
}

// startTransfers sends every other member what is held here of its keys, if only that there is nothing.
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

// releaseWaitersOfOthers forgets the requests that wait here for keys of another owner, which they ask now. The
// records stay until they are transferred.
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

// dropKeysOfOthers forgets the keys that only others hold by the table. It is called once all transfers are
// confirmed: before, a key could be lost with the next change.
func (m *Member) dropKeysOfOthers() {
	for _, k := range m.store.Keys() {
		if !m.assignment.Holds(k) {
			m.removeTickets(m.store.Drop(k))
		}
	}
}

// receiveEarlyTransfers takes the transfers that came before the table of their epoch.
func (m *Member) receiveEarlyTransfers(now time.Duration, epoch uint64) {
	for _, from := range slices.Sorted(maps.Keys(m.earlyTransfers)) {
		if msg := m.earlyTransfers[from]; msg.Epoch <= epoch {
			delete(m.earlyTransfers, from)
			m.receive(now, from, msg)
		}
	}
}

// receiveTransfer takes over what another member held of this one's keys.
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

package ownership

import (
	"maps"
	"time"

	"jasperpin/internal/idempotency"
)

// This file implements the owner of a key: it decides about requests, replicates each step, and settles runs.

// receiveRequest decides how to handle a request.
func (m *Member) receiveRequest(now time.Duration, origin idempotency.Origin, msg Message) {
	if _, known := m.tickets[origin]; known {
		return // the request's verdict is pending
	}
	role, holders := m.assignment.RoleFor(now, msg.Key)
	if role != Owner {
		m.send(origin.Member, Message{Kind: KindVerdict, ID: origin.ID, Verdict: RetryLater})
		return
	}
	if run, ok := m.runOf(now, msg.Key, origin); ok {
		// This owner or the previous one sent the verdict to run, and the message was lost.
		m.addTicket(run, origin)
		m.replicate(now, msg.Key, holders.Replica, replication{run: run})
		return
	}
	decision := m.store.Begin(now, msg.Key, msg.Digest)
	switch decision.Verdict {
	case idempotency.Run:
		m.addTicket(decision.Ticket, origin)
		m.startRun(now, msg.Key, decision.Ticket, holders.Replica, replication{})
	case idempotency.Wait:
		m.addTicket(decision.Ticket, origin)
	default:
		m.send(origin.Member, Message{Kind: KindVerdict, ID: origin.ID, Verdict: decision.Verdict, Answer: decision.Answer})
	}
}

// runOf returns the run under a key, if it belongs to this origin.
func (m *Member) runOf(now time.Duration, k idempotency.Key, origin idempotency.Origin) (idempotency.Ticket, bool) {
	r, ok := m.store.Export(now, k)
	return r.Run, ok && r.Running && r.Runner == origin
}

// startRun sends the verdict to run to the origin of a ticket once the replica has the record.
func (m *Member) startRun(now time.Duration, k idempotency.Key, run idempotency.Ticket, replica string, r replication) {
	r.run = run
	m.store.SetRunner(k, m.origins[run])
	m.replicate(now, k, replica, r)
}

// receiveCancel removes a cancelled request. If it was to run, it is settled as one that never ran.
func (m *Member) receiveCancel(now time.Duration, origin idempotency.Origin, msg Message) {
	role, holders := m.assignment.RoleFor(now, msg.Key)
	if role != Owner {
		return // the sender resends the message
	}
	ack := Message{Kind: KindCancelAck, ID: msg.ID}
	if run, ok := m.runOf(now, msg.Key, origin); ok {
		m.settleNeverRan(now, msg.Key, run, holders.Replica, origin.Member, ack)
		return
	}
	if t, ok := m.tickets[origin]; ok {
		m.store.Cancel(t)
		m.removeTickets([]idempotency.Ticket{t})
	}
	m.send(origin.Member, ack)
}

// receiveRunEnded settles a run.
func (m *Member) receiveRunEnded(now time.Duration, from string, msg Message) {
	role, holders := m.assignment.RoleFor(now, msg.Key)
	if role != Owner {
		return // the sender resends the message
	}
	ack := Message{Kind: KindRunEndedAck, Run: msg.Run}
	r, ok := m.store.Export(now, msg.Key)
	switch {
	case !ok || !r.Running || r.Run != msg.Run:
		m.send(from, ack)
	case msg.Outcome == idempotency.NeverRan:
		m.settleNeverRan(now, msg.Key, msg.Run, holders.Replica, from, ack)
	default:
		m.settle(now, msg.Run, runEnd{msg.Key, msg.Outcome, msg.Answer}, holders.Replica, from, ack)
	}
}

// settleNeverRan ends a run that never ran: the next waiting request runs, or the key is deleted. The reply is
// sent once the replica has confirmed the change.
func (m *Member) settleNeverRan(now time.Duration, k idempotency.Key, run idempotency.Ticket, replica, replyTo string, reply Message) {
	m.removeTickets([]idempotency.Ticket{run})
	maps.DeleteFunc(m.replications, func(_ uint64, r replication) bool { return r.run == run })
	r := replication{replyTo: replyTo, reply: reply}
	settled := m.store.Settle(now, run, idempotency.NeverRan, idempotency.Answer{})
	if settled.Next != 0 {
		m.startRun(now, k, settled.Next, replica, r)
		return
	}
	m.replicate(now, k, replica, r)
}

// settle ends a run that ran or may have run, once the replica has confirmed its end. The reply is sent after
// that.
func (m *Member) settle(now time.Duration, run idempotency.Ticket, end runEnd, replica, replyTo string, reply Message) {
	for _, r := range m.replications {
		if r.settles == run {
			return // the end of the run is already being replicated
		}
	}
	m.replicate(now, end.key, replica, replication{settles: run, end: end, replyTo: replyTo, reply: reply})
}

// probeRunners probes the runs under the keys that this member owns.
func (m *Member) probeRunners(now time.Duration) {
	for _, k := range m.store.Keys() {
		r, _ := m.store.Export(now, k)
		role, _ := m.assignment.RoleFor(now, k)
		if role == Owner && r.Running && m.assignment.table.Has(r.Runner.Member) {
			m.send(r.Runner.Member, Message{Kind: KindProbe, ID: r.Runner.ID, Key: k, Run: r.Run})
		}
	}
}

// settleOverdue settles the runs that have exceeded the maximum run time of their class.
func (m *Member) settleOverdue(now time.Duration) {
	for _, run := range m.store.Overdue(now) {
		k, _ := m.store.KeyOf(run) // an overdue run has a key
		if role, holders := m.assignment.RoleFor(now, k); role == Owner {
			end := runEnd{k, idempotency.MayHaveRun, idempotency.Answer{Status: overdueStatus, Trimmed: true}}
			m.settle(now, run, end, holders.Replica, "", Message{})
		}
	}
}

// answerWaiters sends the answer of a run to the requests that waited for it.
func (m *Member) answerWaiters(waiters []idempotency.Ticket, answer idempotency.Answer) {
	for _, t := range waiters {
		if origin, ok := m.origins[t]; ok {
			m.send(origin.Member, Message{Kind: KindVerdict, ID: origin.ID, Verdict: idempotency.Replay, Answer: answer})
		}
	}
	m.removeTickets(waiters)
}

// addTicket stores the origin of a ticket.
func (m *Member) addTicket(t idempotency.Ticket, origin idempotency.Origin) {
	m.tickets[origin], m.origins[t] = t, origin
}

// removeTickets deletes the origins of tickets.
func (m *Member) removeTickets(tickets []idempotency.Ticket) {
	for _, t := range tickets {
		delete(m.tickets, m.origins[t])
		delete(m.origins, t)
	}
}

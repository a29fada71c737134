package ownership

import (
	"maps"
	"slices"

	"jasperpin/internal/idempotency"
)

// This file is a member's part as the one to which a request came: it asks the owner, runs, and reports.

// sendRequest asks the owner of a request's key. Without any member in the table the verdict is RetryLater.
func (m *Member) sendRequest(id uint64) {
	r := m.requests[id]
	owner := m.assignment.table.Holders(r.key).Owner
	if owner == "" {
		m.finish(Result{ID: id, Verdict: RetryLater})
		return
	}
	m.send(owner, Message{Kind: KindRequest, ID: id, Key: r.key, Digest: r.digest})
}

// sendCancel tells the owner of a request's key that nobody waits for it.
func (m *Member) sendCancel(id uint64) {
	key := m.cancelled[id]
	if owner := m.assignment.table.Holders(key).Owner; owner != "" {
		m.send(owner, Message{Kind: KindCancel, ID: id, Key: key})
	}
}

// sendRunEnded reports the end of a run to the owner of its key.
func (m *Member) sendRunEnded(run idempotency.Ticket) {
	e := m.ended[run]
	if owner := m.assignment.table.Holders(e.key).Owner; owner != "" {
		m.send(owner, Message{Kind: KindRunEnded, Key: e.key, Run: run, Outcome: e.outcome, Answer: e.answer})
	}
}

// sendOwnAgain sends again what owners have not answered.
func (m *Member) sendOwnAgain() {
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		m.sendRequest(id)
	}
	for _, id := range slices.Sorted(maps.Keys(m.cancelled)) {
		m.sendCancel(id)
	}
	for _, run := range slices.Sorted(maps.Keys(m.ended)) {
		m.sendRunEnded(run)
	}
}

// finish hands the result of a request to the caller.
func (m *Member) finish(r Result) {
	delete(m.requests, r.ID)
	m.results = append(m.results, r)
}

// receiveVerdict takes a verdict, under whichever table it was given. One to run that nobody waits for here does
// not run, and its owner is told so.
func (m *Member) receiveVerdict(msg Message) {
	if _, open := m.requests[msg.ID]; open {
		if msg.Verdict == idempotency.Run {
			m.runs[msg.Run] = msg.Key
		}
		m.finish(Result{msg.ID, msg.Verdict, msg.Run, msg.Answer})
		return
	}
	if msg.Verdict == idempotency.Run {
		m.reportNeverRan(msg)
	}
}

// reportNeverRan reports a run that is not known here as one that never ran.
func (m *Member) reportNeverRan(msg Message) {
	if _, known := m.runs[msg.Run]; !known {
		m.runs[msg.Run] = msg.Key
		m.ended[msg.Run] = runEnd{key: msg.Key, outcome: idempotency.NeverRan}
		m.sendRunEnded(msg.Run)
	}
}

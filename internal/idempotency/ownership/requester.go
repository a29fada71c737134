package ownership

import (
	"maps"
	"slices"

	"jasperpin/internal/idempotency"
)

// This file implements the member that receives a request from a client: it asks the owner of the key, runs the
// request, and reports the end of the run.

// sendRequest asks the owner of a request's key. If the table has no members, the verdict is RetryLater.
func (m *Member) sendRequest(id uint64) {
	r := m.requests[id]
	owner := m.assignment.table.Holders(r.key).Owner
	if owner == "" {
		m.finish(Result{ID: id, Verdict: RetryLater})
		return
	}
	m.send(owner, Message{Kind: KindRequest, ID: id, Key: r.key, Digest: r.digest})
}

// sendCancel notifies the owner of a request's key that the request was cancelled.
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

// resendOwn resends the requests, cancellations and ends of runs that owners have not answered.
func (m *Member) resendOwn() {
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

// finish adds the result of a request to the output.
func (m *Member) finish(r Result) {
	delete(m.requests, r.ID)
	m.results = append(m.results, r)
}

// receiveVerdict handles a verdict, which is valid under any table. If the verdict is to run and the request is
// no longer open, the request does not run and its owner is notified.
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

// reportNeverRan reports to the owner that a run unknown to this member never ran.
func (m *Member) reportNeverRan(msg Message) {
	if _, known := m.runs[msg.Run]; !known {
		m.runs[msg.Run] = msg.Key
		m.ended[msg.Run] = runEnd{key: msg.Key, outcome: idempotency.NeverRan}
		m.sendRunEnded(msg.Run)
	}
}

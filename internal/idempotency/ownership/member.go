package ownership

import (
	"maps"
	"slices"
	"time"

	"jasperpin/internal/idempotency"
)

// overdueStatus is the HTTP status that waiting requests receive if the member that ran the first request has
// failed: 504, as no server has answered in time.
const overdueStatus = 504

// Member is one of several members that share keys. It is not safe for concurrent use. After each call the
// caller must take the outgoing messages and the results by TakeOutput.
type Member struct {
	self       string
	store      *idempotency.Store
	assignment *Assignment

	outbox  []Outgoing
	results []Result
	inbox   []Message // messages of this member to itself

	// This member's requests and runs.
	lastID    uint64
	requests  map[uint64]request                     // requests without a verdict
	cancelled map[uint64]idempotency.Key             // cancelled requests, until their owners have acknowledged the cancellation
	runs      map[idempotency.Ticket]idempotency.Key // runs, until their owners have acknowledged the end
	ended     map[idempotency.Ticket]runEnd          // the runs that have ended

	// Requests that this member decides about as the owner: those that wait, and those that are to run once the
	// replica has confirmed the record.
	tickets map[idempotency.Origin]idempotency.Ticket
	origins map[idempotency.Ticket]idempotency.Origin

	// Replication.
	replications   map[uint64]replication // unconfirmed replications, by ID
	lastReplicated map[string]uint64      // ID of the newest record under this table, by owner
	// replicatedEarly is the set of keys replicated to this member before all transfers have arrived. Their
	// records are newer than the records of the transfers.
	replicatedEarly map[idempotency.Key]bool

	// Transfers after a change of table.
	transfers      map[string]Message // unconfirmed transfers, by receiver
	earlyTransfers map[string]Message // transfers under tables that this member has not received yet, by sender
}

// request is a request of this member.
type request struct {
	key    idempotency.Key
	digest idempotency.Digest
}

// runEnd is the end of a run.
type runEnd struct {
	key     idempotency.Key
	outcome idempotency.Outcome
	answer  idempotency.Answer
}

// replication is a record that the replica has not confirmed yet, and the actions that wait for the
// confirmation.
type replication struct {
	replica string
	message Message
	run     idempotency.Ticket // run whose origin then receives the verdict to run; 0 if none
	settles idempotency.Ticket // run that is then settled with end; 0 if none
	end     runEnd
	replyTo string // member that then receives reply; "" if none
	reply   Message
}

// NewMember returns a member without a table. It decides about no key.
func NewMember(self string, store *idempotency.Store) *Member {
	return &Member{
		self: self, store: store, assignment: NewAssignment(self),
		requests:        make(map[uint64]request),
		cancelled:       make(map[uint64]idempotency.Key),
		runs:            make(map[idempotency.Ticket]idempotency.Key),
		ended:           make(map[idempotency.Ticket]runEnd),
		tickets:         make(map[idempotency.Origin]idempotency.Ticket),
		origins:         make(map[idempotency.Ticket]idempotency.Origin),
		replications:    make(map[uint64]replication),
		lastReplicated:  make(map[string]uint64),
		replicatedEarly: make(map[idempotency.Key]bool),
		transfers:       make(map[string]Message),
		earlyTransfers:  make(map[string]Message),
	}
}

// TakeOutput returns and clears the outgoing messages and the results of this member's requests.
func (m *Member) TakeOutput() (outgoing []Outgoing, results []Result) {
	outgoing, results = m.outbox, m.results
	m.outbox, m.results = nil, nil
	return outgoing, results
}

// ExtendLease extends the lease of this member in the table to an end time. See Assignment.ExtendLease.
func (m *Member) ExtendLease(end time.Duration) { m.assignment.ExtendLease(end) }

// Request asks the owner of a key about a request that arrived at this member. TakeOutput returns its Result,
// after this call or after a later one.
func (m *Member) Request(now time.Duration, k idempotency.Key, d idempotency.Digest) (id uint64) {
	m.lastID++
	m.requests[m.lastID] = request{k, d}
	m.sendRequest(m.lastID)
	m.receiveOwn(now)
	return m.lastID
}

// Cancel cancels a request whose client disconnected. If the owner then sends the verdict to run, the request
// does not run.
func (m *Member) Cancel(now time.Duration, id uint64) {
	if r, ok := m.requests[id]; ok {
		delete(m.requests, id)
		m.cancelled[id] = r.key
		m.sendCancel(id)
		m.receiveOwn(now)
	}
}

// EndRun reports the end of a run at this member.
func (m *Member) EndRun(now time.Duration, run idempotency.Ticket, k idempotency.Key, outcome idempotency.Outcome, answer idempotency.Answer) {
	m.ended[run] = runEnd{k, outcome, answer}
	m.sendRunEnded(run)
	m.receiveOwn(now)
}

// Tick resends the unacknowledged messages, and settles overdue runs as runs that may have run, because the
// members that ran them have failed. The caller must call it at regular intervals.
func (m *Member) Tick(now time.Duration) {
	m.resendOwn()
	for _, id := range slices.Sorted(maps.Keys(m.replications)) {
		r := m.replications[id]
		delete(m.replications, id)
		m.replicate(now, r.message.Key, r.replica, r)
	}
	for _, to := range slices.Sorted(maps.Keys(m.transfers)) {
		m.send(to, m.transfers[to])
	}
	m.probeRunners(now)
	m.settleOverdue(now)
	m.receiveOwn(now)
}

// SetTable applies a newer table. This member transfers to every other member the records of that member's
// keys, and decides about no key until it has received the transfers of all others.
func (m *Member) SetTable(now time.Duration, t Table) {
	if !m.assignment.SetTable(t) {
		return
	}
	m.resetReplication()
	m.startTransfers(now, t)
	m.releaseWaitersOfOthers(now, t)
	if len(m.transfers) == 0 {
		m.dropKeysOfOthers()
	}
	m.resendOwn()
	m.receiveEarlyTransfers(now, t.Epoch)
	m.receiveOwn(now)
}

// Receive handles a message from another member.
func (m *Member) Receive(now time.Duration, from string, msg Message) {
	m.receive(now, from, msg)
	m.receiveOwn(now)
}

// send sends a message under the current epoch.
func (m *Member) send(to string, msg Message) {
	msg.Epoch = m.assignment.Epoch()
	if to == m.self {
		m.inbox = append(m.inbox, msg)
		return
	}
	m.outbox = append(m.outbox, Outgoing{to, msg})
}

// receiveOwn handles the messages that this member has sent to itself.
func (m *Member) receiveOwn(now time.Duration) {
	for len(m.inbox) > 0 {
		msg := m.inbox[0]
		m.inbox = m.inbox[1:]
		m.receive(now, m.self, msg)
	}
}

// receive handles a message from any member, including this one.
func (m *Member) receive(now time.Duration, from string, msg Message) {
	if m.receiveOfAnyEpoch(from, msg) || msg.Epoch != m.assignment.Epoch() {
		return // the sender resends a message of another epoch under its current one
	}
	switch msg.Kind {
	case KindRequest:
		m.receiveRequest(now, idempotency.Origin{Member: from, ID: msg.ID}, msg)
	case KindReplicate:
		m.receiveReplicate(now, from, msg)
	case KindReplicated:
		if r, ok := m.replications[msg.ID]; ok && r.replica == from {
			delete(m.replications, msg.ID)
			m.replicated(now, r)
		}
	case KindRunEnded:
		m.receiveRunEnded(now, from, msg)
	case KindTransfer:
		m.receiveTransfer(now, from, msg)
	case KindTransferred:
		if delete(m.transfers, from); len(m.transfers) == 0 {
			m.dropKeysOfOthers()
		}
	case KindCancel:
		m.receiveCancel(now, idempotency.Origin{Member: from, ID: msg.ID}, msg)
	}
}

// receiveOfAnyEpoch handles the messages that are valid under any table, and stores a transfer of a later table
// until that table is applied. It reports whether it has handled the message.
func (m *Member) receiveOfAnyEpoch(from string, msg Message) bool {
	switch msg.Kind {
	case KindRunEndedAck:
		delete(m.ended, msg.Run)
		delete(m.runs, msg.Run)
	case KindCancelAck:
		delete(m.cancelled, msg.ID)
	case KindVerdict:
		m.receiveVerdict(msg)
	case KindProbe:
		if _, open := m.requests[msg.ID]; !open {
			m.reportNeverRan(msg)
		}
	case KindTransfer:
		if msg.Epoch <= m.assignment.Epoch() {
			return false
		}
		if m.earlyTransfers[from].Epoch <= msg.Epoch {
			m.earlyTransfers[from] = msg
		}
	default:
		return false
	}
	return true
}

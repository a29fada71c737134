package ownership

import (
	"maps"
	"slices"
	"time"

	"jasperpin/internal/idempotency"
)

// overdueStatus is the HTTP status that waiting requests get of a run whose runner is gone: 504, as no server
// has answered in time.
const overdueStatus = 504

// Member is one of several members that hold keys together. It is not safe for concurrent use. After each
// call the caller takes what is to be sent and what was decided by TakeOutput.
type Member struct {
	self       string
	store      *idempotency.Store
	assignment *Assignment

	outbox  []Outgoing
	results []Result
	inbox   []Message // from this member to itself

	// This member's requests and runs.
	lastID    uint64
	requests  map[uint64]request                     // without a verdict yet
	cancelled map[uint64]idempotency.Key             // requests whose owners do not know it yet
	runs      map[idempotency.Ticket]idempotency.Key // until their owners know how they ended
	ended     map[idempotency.Ticket]runEnd          // of the runs, those that have ended

	// Requests that this member decides about as the owner: those that wait here, or are to be told to run.
	tickets map[idempotency.Origin]idempotency.Ticket
	origins map[idempotency.Ticket]idempotency.Origin

	// Replication.
	replications   map[uint64]replication // not confirmed yet, by ID
	lastReplicated map[string]uint64      // ID of the newest record from each owner under this table
	// replicatedEarly are the keys replicated here before all transfers have arrived, which are older.
	replicatedEarly map[idempotency.Key]bool

	// Transfers after a change of table.
	transfers      map[string]Message // not confirmed yet, by receiver
	earlyTransfers map[string]Message // under a table that this member does not have yet, by sender
}

// request is a request of this member.
type request struct {
	key    idempotency.Key
	digest idempotency.Digest
}

// runEnd is how a run ended.
type runEnd struct {
	key     idempotency.Key
	outcome idempotency.Outcome
	answer  idempotency.Answer
}

// replication is a record that the replica has yet to confirm, and what waits for that.
type replication struct {
	replica string
	message Message
	run     idempotency.Ticket // its origin is then told to run; 0 for none
	settles idempotency.Ticket // this run is then settled by end; 0 for none
	end     runEnd
	replyTo string // gets the reply then; "" for none
	reply   Message
}

// NewMember makes a member without a table, which decides about nothing.
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

// TakeOutput returns and clears what is to be sent, and what became of this member's requests.
func (m *Member) TakeOutput() (outgoing []Outgoing, results []Result) {
	outgoing, results = m.outbox, m.results
	m.outbox, m.results = nil, nil
	return outgoing, results
}

// ExtendLease says until when the group keeps this member in the table.
func (m *Member) ExtendLease(end time.Duration) { m.assignment.ExtendLease(end) }

// Request asks about a request that has come to this member. Its Result comes by TakeOutput, now or later.
func (m *Member) Request(now time.Duration, k idempotency.Key, d idempotency.Digest) (id uint64) {
	m.lastID++
	m.requests[m.lastID] = request{k, d}
	m.sendRequest(m.lastID)
	m.receiveOwn(now)
	return m.lastID
}

// Cancel says that nobody waits for a request any more. Where it is told to run after all it does not.
func (m *Member) Cancel(now time.Duration, id uint64) {
	if r, ok := m.requests[id]; ok {
		delete(m.requests, id)
		m.cancelled[id] = r.key
		m.sendCancel(id)
		m.receiveOwn(now)
	}
}

// EndRun reports how a run of this member ended.
func (m *Member) EndRun(now time.Duration, run idempotency.Ticket, k idempotency.Key, outcome idempotency.Outcome, answer idempotency.Answer) {
	m.ended[run] = runEnd{k, outcome, answer}
	m.sendRunEnded(run)
	m.receiveOwn(now)
}

// Tick sends again what was not answered, and settles overdue runs as such that may have run: their runners are
// gone. It is to be called at regular intervals.
func (m *Member) Tick(now time.Duration) {
	m.sendOwnAgain()
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

// SetTable puts a newer table in force. Every other member gets what is held here of its keys, and nothing is
// decided before all have sent the same.
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
	m.sendOwnAgain()
	m.receiveEarlyTransfers(now, t.Epoch)
	m.receiveOwn(now)
}

// Receive takes a message.
func (m *Member) Receive(now time.Duration, from string, msg Message) {
	m.receive(now, from, msg)
	m.receiveOwn(now)
}

// send sends a message under the epoch in force.
func (m *Member) send(to string, msg Message) {
	msg.Epoch = m.assignment.Epoch()
	if to == m.self {
		m.inbox = append(m.inbox, msg)
		return
	}
	m.outbox = append(m.outbox, Outgoing{to, msg})
}

// receiveOwn takes the messages that this member has sent to itself.
func (m *Member) receiveOwn(now time.Duration) {
	for len(m.inbox) > 0 {
		msg := m.inbox[0]
		m.inbox = m.inbox[1:]
		m.receive(now, m.self, msg)
	}
}

// receive takes a message, from whichever member.
func (m *Member) receive(now time.Duration, from string, msg Message) {
	if m.receiveOfAnyEpoch(from, msg) || msg.Epoch != m.assignment.Epoch() {
		return // a message of another table is sent again under the one that its sender has then
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

// receiveOfAnyEpoch takes the messages that mean the same under any table, and keeps a transfer of a later
// table for when that is in force. It returns false for a message that it does not take.
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

package ownership

import "jasperpin/internal/idempotency"

// RetryLater is the verdict on a request whose key cannot be decided about yet, as its owner is changing. The
// request has not run, and its client should retry it. Its value follows the last verdict of package
// idempotency, so that one type contains both.
const RetryLater = idempotency.RunUnprotected + 1

// Kind is the type of a message.
type Kind uint8

const (
	// KindRequest asks the owner of a key about a request.
	KindRequest Kind = iota
	// KindVerdict answers KindRequest.
	KindVerdict
	// KindReplicate sends the replica a record to store, or no record if the replica must drop the key.
	KindReplicate
	// KindReplicated answers KindReplicate.
	KindReplicated
	// KindRunEnded reports the end of a run to the owner.
	KindRunEnded
	// KindRunEndedAck answers KindRunEnded: owner and replica have the end of the run.
	KindRunEndedAck
	// KindTransfer sends all records of the receiver's keys that the sender has, after a change of table.
	KindTransfer
	// KindTransferred answers KindTransfer.
	KindTransferred
	// KindCancel reports that a request was cancelled and did not run.
	KindCancel
	// KindCancelAck answers KindCancel.
	KindCancelAck
	// KindProbe asks a member about its run. A member that does not know the run reports that it never ran.
	KindProbe
)

// Message is sent between members. The Kind determines which fields are set.
type Message struct {
	Epoch   uint64 // epoch of the sender's table
	Kind    Kind
	ID      uint64 // ID of the request or the replication
	Key     idempotency.Key
	Digest  idempotency.Digest
	Verdict idempotency.Verdict
	Run     idempotency.Ticket
	Outcome idempotency.Outcome
	Answer  idempotency.Answer
	Records []idempotency.Record // any number if KindTransfer; one if KindReplicate, or none to drop the key
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To string
	Message
}

// Result is the verdict on a request of this member. If it is idempotency.Run, the request runs and the caller
// must report its end by Member.EndRun. If it is idempotency.Replay, the request receives the Answer.
type Result struct {
	ID      uint64
	Verdict idempotency.Verdict
	Run     idempotency.Ticket
	Answer  idempotency.Answer
}

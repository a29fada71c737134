package ownership

import "jasperpin/internal/idempotency"

// RetryLater is the verdict on a request whose key cannot be decided about yet, as its owner is changing: it has not
// run, and is to come back. It follows idempotency's last verdict, so that one type holds both.
const RetryLater = idempotency.RunUnprotected + 1

// Kind is what a message says.
type Kind uint8

const (
	// KindRequest asks the owner of a key about a request.
	KindRequest Kind = iota
	// KindVerdict answers KindRequest.
	KindVerdict
	// KindReplicate has the replica hold a record, or drop it where there is none.
	KindReplicate
	// KindReplicated answers KindReplicate.
	KindReplicated
	// KindRunEnded reports the end of a run to the owner.
	KindRunEnded
	// KindRunEndedAck answers KindRunEnded: owner and replica know it.
	KindRunEndedAck
	// KindTransfer brings all that the sender holds of the receiver's keys, after a change of table.
	KindTransfer
	// KindTransferred answers KindTransfer.
	KindTransferred
	// KindCancel says that nobody waits for a request any more, and that it was not run.
	KindCancel
	// KindCancelAck answers KindCancel.
	KindCancelAck
	// KindProbe asks a runner after its run. One that does not know it reports that it never ran.
	KindProbe
)

// Message is sent from member to member. Which fields are set depends on Kind.
type Message struct {
	Epoch   uint64 // of the sender's table
	Kind    Kind
	ID      uint64 // of the request or the replication
	Key     idempotency.Key
	Digest  idempotency.Digest
	Verdict idempotency.Verdict
	Run     idempotency.Ticket
	Outcome idempotency.Outcome
	Answer  idempotency.Answer
	Records []idempotency.Record // of KindTransfer; one of KindReplicate, or none to drop the key
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To string
	Message
}

// Result is what becomes of a request of this member. With idempotency.Run it runs, and its end is to be
// reported by Member.EndRun; with idempotency.Replay it gets the answer.
type Result struct {
	ID      uint64
	Verdict idempotency.Verdict
	Run     idempotency.Ticket
	Answer  idempotency.Answer
}

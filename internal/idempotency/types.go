package idempotency

// Key identifies an operation that must not run twice. It is scoped to its tenant: no other tenant receives its
// answer.
type Key struct {
	Tenant string `json:"Tenant"`
	Class  string `json:"Class"`
	Text   string `json:"Text"`
}

// Digest identifies a request by its method, target and body. The zero Digest means unknown, as while a body is
// still streaming. If a run ends before its body is complete, its digest stays unknown and the key alone
// identifies repeats.
type Digest [32]byte

// Answer is the answer to the first request. If the body was too long to store, Trimmed is set and only the
// status is stored.
type Answer struct {
	Status  int    `json:"Status"`
	Body    []byte `json:"Body"` // opaque to the Store
	Trimmed bool   `json:"Trimmed"`
}

// Outcome is the result of a run.
type Outcome uint8

const (
	// Answered means that a server answered the request.
	Answered Outcome = iota
	// NeverRan means that the request certainly had no effect, for example because it was rejected.
	NeverRan
	// MayHaveRun means that the request failed and may have taken effect.
	MayHaveRun
)

// Verdict is the decision on a request.
type Verdict uint8

const (
	// Run means that the request is the first under its key. It runs, and the caller must report its end by
	// Store.Settle.
	Run Verdict = iota
	// Wait means that the first request is still running. Its outcome decides how this request is handled.
	Wait
	// Replay means that the request receives the answer of the first request.
	Replay
	// NeedDigest means that the key is in use and the digest of this request is required: the caller must read
	// the body and begin the request again.
	NeedDigest
	// Mismatch means that the key was used for a different request.
	Mismatch
	// Busy means that the first request is still running, and that the class rejects concurrent repeats or too
	// many requests already wait.
	Busy
	// Full means that there is no room for the key, and that the class does not allow the request to run
	// unprotected.
	Full
	// RunUnprotected means that the request runs and its key is not stored: its class is not configured in this
	// store, or there is no room and the class sets RunWhenFull.
	RunUnprotected
)

// Ticket identifies a request that runs or waits. 0 means none.
type Ticket uint64

// Origin identifies a request among several members that share keys, by the member that received the request
// and the ID that this member assigned. A member name belongs to one process; its successor has a different
// name.
type Origin struct {
	Member string
	ID     uint64
}

// Decision is the result of Store.Begin. Ticket is set if the Verdict is Run or Wait, Answer if it is Replay.
type Decision struct {
	Verdict Verdict
	Ticket  Ticket
	Answer  Answer
}

// Settled is the result of Store.Settle.
type Settled struct {
	Done    bool     // false if the ticket does not belong to a run, or the run has already ended
	Waiters []Ticket // requests that receive the answer of the run; their tickets are no longer valid
	Next    Ticket   // waiting request that runs now; 0 if none
}

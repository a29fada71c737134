package idempotency

// Key names an operation that must not run twice. It belongs to its tenant: no other tenant gets its answer.
type Key struct {
	Tenant string `json:"Tenant"`
	Class  string `json:"Class"`
	Text   string `json:"Text"`
}

// Digest identifies a request by its method, target and body. The zero Digest is not known yet, as of a body
// that still streams. Where a run ends before its body is complete it stays unknown, and the key alone
// identifies repeats.
type Digest [32]byte

// Answer is what the first request got. One that was too long to keep has Trimmed set: its status is kept
// and its body is not.
type Answer struct {
	Status  int    `json:"Status"`
	Body    []byte `json:"Body"` // opaque to the Store
	Trimmed bool   `json:"Trimmed"`
}

// Outcome is how a run ended.
type Outcome uint8

const (
	// Answered is a run that a server answered.
	Answered Outcome = iota
	// NeverRan is a run that has certainly had no effect, as after a rejection.
	NeverRan
	// MayHaveRun is a run that failed, and may have had its effect.
	MayHaveRun
)

// Verdict is what a request is to do.
type Verdict uint8

const (
	// Run says that the request is the first under its key: it runs, and its end is to be reported by
	// Store.Settle.
	Run Verdict = iota
	// Wait says that the first request still runs, and that its end decides about this one.
	Wait
	// Replay says that the answer of the first request is this one's.
	Replay
	// NeedDigest says that the key is in use and the digest of this request is wanted: its body is to be
	// read, and the request to begin again.
	NeedDigest
	// Mismatch says that the key was used for another request.
	Mismatch
	// Busy says that the first request still runs, and the class does not wait, or too many wait already.
	Busy
	// Full says that there is no room for the key, and the class must not run without it.
	Full
	// RunUnprotected says that the request runs without its key being remembered: the class has no keys
	// here, or there is no room and the class may run without.
	RunUnprotected
)

// Ticket identifies a request that runs or waits. 0 is none.
type Ticket uint64

// Origin identifies a request where several members share keys: by the member that received it, and its
// number there. A member's name belongs to one process, and not to its successor.
type Origin struct {
	Member string
	ID     uint64
}

// Decision is the answer to a request that begins. Ticket is set with Run and Wait, Answer with Replay.
type Decision struct {
	Verdict Verdict
	Ticket  Ticket
	Answer  Answer
}

// Settled is what follows from the end of a run.
type Settled struct {
	Done    bool     // false where the ticket is not that of a run, or the run had ended before
	Waiters []Ticket // waited for the run: they get its answer, and their tickets are void
	Next    Ticket   // waited for the run and runs now; 0 for none
}

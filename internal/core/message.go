package core

import (
	"io"
	"time"
)

// DefaultMaxBody is the longest request or response body, in bytes, in a pool whose configuration sets no limit.
// It bounds the node's memory and the server's time that one request may use.
const DefaultMaxBody = 32 << 20

// MaxBufferedAnswer is the longest answer, in bytes, that is read completely before it is forwarded. If it
// fails before that, another attempt can still succeed, as the client has received no part of it.
const MaxBufferedAnswer = 64 << 10

// Status is how a request ended.
type Status uint8

// The statuses of a request that has ended.
const (
	Served                   Status = iota // the request ended with a server's answer
	Rejected                               // the request never ran, or may run again without harm
	Failed                                 // the request may have run
	StatusClientDisconnected               // the client disconnected, see ClientDisconnected: no answer is sent
)

// Final is the one final answer to a request.
type Final struct {
	Status     Status
	RetryAfter time.Duration // Retry-After time sent with a rejection; 0 for none
	Answer     *Answer       // nil unless Status is Served
}

// Answer is a server's answer.
type Answer struct {
	StatusCode    int                 // an HTTP status code, or the equivalent of another protocol
	Header        map[string][]string // canonical names; end-to-end headers only
	Body          []byte              // the whole body or, if StreamedBody is set, its first part
	StreamedBody  io.ReadCloser       // the rest of the body, after Body; nil if Body is complete
	ContentLength int64               // of the whole body, in bytes; -1 if unknown
	Memory        AnswerMemory        // of Body; nil for none
}

// drop closes an answer that is not sent to the client. The answer may be nil.
func (a *Answer) drop() {
	if a == nil {
		return
	}
	a.ReleaseBody()
	if a.StreamedBody != nil {
		a.StreamedBody.Close()
	}
}

// ReleaseBody releases the memory of Body, which is not needed any more.
func (a *Answer) ReleaseBody() {
	a.Body = nil
	if a.Memory != nil {
		a.Memory.Release()
		a.Memory = nil
	}
}

// AnswerMemory admits the memory of one answer before it is used. Its methods may be called by one goroutine at a time.
type AnswerMemory interface {
	// Take takes memory for n more bytes, and reports whether there is any. It does not block.
	Take(n int) bool
	// Release releases all that has been taken.
	Release()
}

// Message is a request as it is forwarded to a server.
type Message struct {
	Method        string
	Target        string // path and query, unchanged
	Host          string
	Header        map[string][]string // canonical names; end-to-end headers only
	Body          []byte              // the whole body or, if StreamedBody is set, its first part
	StreamedBody  io.ReadCloser       // the rest of the body; nil if Body is complete; Close ends a read in progress
	ContentLength int64               // of the whole body, in bytes; -1 if unknown
}

// Request is a request as a front end submits it: once its last byte has arrived or, with a streamed body, once
// as much of the body as may be buffered has arrived.
type Request struct {
	Message
	ID          string        // chosen by the client; unique among open requests
	Class       int           // index into Pool.Classes
	AffinityKey uint64        // hash of the key for key affinity; 0 for none
	WorkHint    time.Duration // an estimate of the work that the request takes; 0 for none
	ClientRetry bool          // the request is a client's own retry
	ReceivedAt  time.Time     // when the last byte arrived; meaningless if the body is streamed
	Timeout     time.Duration // how long after ReceivedAt the client waits

	// Presence reports whether the client still waits, by the state of its connection. It is called
	// before each attempt is written, and must not block. Nil means ClientWaiting.
	Presence func() ClientPresence
	// BodySentAt returns the earliest time at which the client may have sent the last byte of a streamed body, by
	// what is known now: Timeout counts from then, however slowly a server reads the body. It must not block. If it
	// is nil, Timeout counts from when the last byte is written to a server.
	BodySentAt func() time.Time
	// HasWaiters reports whether duplicate requests wait for this request's final answer now. It must
	// not block. If it is set, attempts that have begun continue after the client disconnected, for
	// duplicates that may still arrive; an attempt that has not begun continues only if HasWaiters returns
	// true, and the request is rejected only if no attempt may have run. Nil means that only the client waits.
	HasWaiters func() bool
	// NewAnswerMemory returns the memory of an answer to this request; nil means that it is not limited.
	NewAnswerMemory func() AnswerMemory
	// Released is called once if the request has been submitted: it has ended, and no attempt uses its message any more.
	// It must not block. It may be nil.
	Released func()
}

// unlimitedMemory is an AnswerMemory without a limit.
type unlimitedMemory struct{}

func (unlimitedMemory) Take(int) bool { return true }
func (unlimitedMemory) Release()      {}

// ClientPresence is whether a request's client still waits, as far as the node can determine.
type ClientPresence uint8

// The values of ClientPresence.
const (
	ClientWaiting      ClientPresence = iota
	ClientDisconnected                // the request's Status becomes StatusClientDisconnected
	// ClientPresenceUnknown means that the node cannot determine whether the connection is closed, as the client
	// has sent unread data after its request. No further attempt begins, and the request is rejected, or
	// failed if an attempt may have run.
	ClientPresenceUnknown
)

package core

import (
	"io"
	"time"
)

// DefaultMaxBody is the longest body, either way, in bytes, of a pool whose configuration sets no other: what a
// request may take of the node's memory and of a server's time.
const DefaultMaxBody = 32 << 20

// MaxBufferedAnswer is the longest answer, in bytes, that is read whole before it is passed on: until then
// another attempt may still do better, and no client has seen a part of it.
const MaxBufferedAnswer = 64 << 10

// Status is how a request ended.
type Status uint8

// How a request ends.
const (
	Served                   Status = iota // with a server's answer
	Rejected                               // it never ran, or running it again does no harm
	Failed                                 // it may have run
	StatusClientDisconnected               // its client has disconnected, see ClientDisconnected: no answer is due
)

// Final is the one answer to a request.
type Final struct {
	Status     Status
	RetryAfter time.Duration // sent with a rejection, if above 0
	Answer     *Answer       // where served
}

// Answer is a server's answer.
type Answer struct {
	StatusCode    int                 // an HTTP status, or the like of it
	Header        map[string][]string // canonical names, end to end only
	Body          []byte              // all of it or, where StreamedBody is set, what has come so far
	StreamedBody  io.ReadCloser       // brings what comes after Body; nil where Body is whole
	ContentLength int64               // of the whole body, in bytes; -1 if unknown
}

// drop gives up an answer that nobody takes.
func (a *Answer) drop() {
	if a != nil && a.StreamedBody != nil {
		a.StreamedBody.Close()
	}
}

// Message is a request as it is forwarded to a server.
type Message struct {
	Method        string
	Target        string // path and query as they came
	Host          string
	Header        map[string][]string // canonical names, end to end only
	Body          []byte              // all of it or, where StreamedBody is set, its first part
	StreamedBody  io.ReadCloser       // streams what comes after Body; Close ends a read in progress
	ContentLength int64               // of the whole body, in bytes; -1 if unknown
}

// Request is what a front end hands over once the last byte has come or, with a streamed body, once as
// much of it as may be held has.
type Request struct {
	Message
	ID          string        // the client's name for it; no two open ones share one
	Class       int           // its position among the pool's classes
	AffinityKey uint64        // hash of what it is about, for cache affinity; 0 for nothing
	WorkHint    time.Duration // an estimate of its work; 0 for none
	ClientRetry bool          // the client has tried before
	ReceivedAt  time.Time     // when its last byte came; without meaning where its body is streamed
	Timeout     time.Duration // how long after ReceivedAt the client waits

	// Presence reports whether the client still waits, as its connection shows. It is called before
	// each attempt is written, and must not block. Nil stands for ClientWaiting.
	Presence func() ClientPresence
	// OthersWait reports whether others than the client wait for the request's end now, and must not block.
	// Attempts that have begun then go on without the client, for repeats that may still come; others
	// begin only for those that wait now. Nil where its end is the client's alone.
	OthersWait func() bool
}

// ClientPresence is what is known of a request's client.
type ClientPresence uint8

// Whether a request's client still waits.
const (
	ClientWaiting      ClientPresence = iota
	ClientDisconnected                // a request's Status is StatusClientDisconnected
	// ClientUnknown is a client whose connection cannot be seen to be closed, behind all that it has
	// sent beyond its request. Nothing more is begun for it, and its request is rejected.
	ClientUnknown
)

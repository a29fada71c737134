package core

import (
	"io"
	"time"
)

// Status is how a request ended.
type Status uint8

// Final is the one answer to a request.
type Final struct {
	Status     Status
	RetryAfter time.Duration // told with a refusal, if above 0
	Answer     *Answer       // where served
}

// Answer is a server's answer. Code is its status, of HTTP's kind. Where Rest is set,
// Body is only what has come so far; Length is that of the whole, or -1 if untold.
type Answer struct {
	Code   int
	Header map[string][]string
	Body   []byte
	Rest   io.ReadCloser
	Length int64
}

// drop gives up an answer that nobody takes.
func (a *Answer) drop() {
	if a != nil && a.Rest != nil {
		a.Rest.Close()
	}
}

// Message is a request as it goes on to a server.
type Message struct {
	Method string
	Target string // path and query as they came
	Host   string
	Header map[string][]string // canonical names, end to end only
	Body   []byte
	// Rest brings what comes after Body, of a request that streams. Close ends a read
	// that goes on. Length is that of the whole body, or -1 if untold.
	Rest   io.ReadCloser
	Length int64
}

// Request is what a front hands over once the last byte has come or, with a Rest, once
// as much as it keeps has.
type Request struct {
	Message
	ID          string // the client's name for it; no two open ones share one
	Class       int
	Key         uint64        // what it is about; 0 for nothing
	WorkHint    time.Duration // its work, as a guess; 0 for none
	ClientRetry bool          // the client has tried before
	ReceivedAt  time.Time     // when its last byte came; without meaning where it streams
	Timeout     time.Duration // how long after At the client waits

	// Presence says whether the client still waits, as its connection tells. It is asked before
	// each attempt is written, and must not block. Nil stands for Waiting.
	Presence func() ClientPresence
	// Awaited says whether others than the client wait for its end now, and must not block.
	// What has begun goes on without the client then, for those that may still come; what has
	// not begins for those that wait alone. Nil where its end is the client's alone.
	Awaited func() bool
}

// ClientPresence is what is known of a request's client.
type ClientPresence uint8

// A client waits; has left; or cannot be seen, behind so much that it has sent beyond its request.
// Nothing more is begun for one that cannot be seen, and it is told so.
const (
	ClientWaiting ClientPresence = iota
	ClientGone
	ClientUnknown
)

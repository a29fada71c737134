package planner

import (
	"errors"
	"time"

	"jasperpin/decide"
)

// Version is the version of the protocol. A forwarder states it in its Hello, and a planner rejects a
// forwarder with another version.
const Version = 1

// Limits on the data that one end may send to the other, so that a faulty end uses few resources.
const (
	// MaxFrame is the maximum length of a frame's payload in bytes, enough for about 20,000 messages.
	MaxFrame = 256 << 10
	// MaxHello is the maximum length of a Hello, or of the answer to one, in bytes.
	MaxHello = 16 << 10
	// maxAttempt is the highest attempt number; package decide allows no more attempts of a request.
	maxAttempt = 15
	// maxClass is the highest class number, which is encoded as one byte.
	maxClass = 255
	// maxDuration is the longest duration in a message; it is longer than any deadline.
	maxDuration = time.Hour
)

// ErrFrame is the error for bytes that are not a valid frame of this protocol version.
var ErrFrame = errors.New("not a frame of this protocol")

// Kind is the kind of a message. The numbers are part of the protocol.
type Kind uint8

// The kinds of messages.
const (
	// KindPlace asks a planner to choose the server of a request's first attempt.
	KindPlace Kind = 1 + iota
	// KindAttemptSent reports to a planner an attempt that it has not planned.
	KindAttemptSent
	// KindAttemptEnded reports to a planner the end of an attempt. The result Abandoned withdraws an
	// attempt that the planner planned and the forwarder does not send.
	KindAttemptEnded
	// KindSynced reports to a planner that the forwarder has reported all attempts that were in flight
	// when it connected.
	KindSynced
	// KindPlacement is a planner's answer to KindPlace with a server.
	KindPlacement
	// KindDeclined is a planner's answer to KindPlace without a server: the forwarder chooses one by
	// itself.
	KindDeclined
)

// Message is a message from a forwarder to a planner or from a planner to a forwarder. Its kind
// determines which fields are set; the others are zero.
type Message struct {
	Kind        Kind
	ID          decide.RequestID // ID that the forwarder assigned; set in all kinds except KindSynced
	Attempt     int              // attempt number, from 0; set in KindAttemptSent and KindAttemptEnded
	Server      decide.ServerID  // set in KindAttemptSent and KindPlacement
	Result      decide.Result    // set in KindAttemptEnded
	RequestInfo                  // set in KindPlace and KindAttemptSent
}

// RequestInfo describes a request to a planner.
type RequestInfo struct {
	Class       int           // position in the pool's list of classes
	Key         uint64        // hash of the request's key
	WorkHint    time.Duration // expected work at the server; 0 if unknown
	Remaining   time.Duration // remaining time until the client's deadline
	ClientRetry bool          // whether the client has sent the request before
}

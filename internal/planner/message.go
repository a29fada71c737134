package planner

import (
	"errors"
	"time"

	"jasperpin/decide"
)

// Version is that of the protocol. Both ends state theirs first, and part where they differ.
const Version = 1

// Bounds of what one end may send to the other, so that a broken end costs little.
const (
	// MaxFrame is the longest payload of a frame, in bytes: some 20,000 messages.
	MaxFrame = 256 << 10
	// MaxHello is the longest Hello or answer to one, in bytes.
	MaxHello = 16 << 10
	// maxAttempt is the highest number of an attempt, as decide allows no more of one request.
	maxAttempt = 15
	// maxClass is the highest number of a class, which has one byte.
	maxClass = 255
	// maxDuration is the longest duration, beyond any deadline.
	maxDuration = time.Hour
)

// ErrFrame marks bytes that are not a frame of this version of the protocol.
var ErrFrame = errors.New("not a frame of this protocol")

// Kind says what a message is. The numbers are the protocol's.
type Kind uint8

// The kinds of messages.
const (
	// KindPlace is a forwarder's question where a request should go.
	KindPlace Kind = 1 + iota
	// KindAttemptSent is a forwarder's report of an attempt that the planner has not planned.
	KindAttemptSent
	// KindAttemptEnded is a forwarder's report of an attempt's end; with the result Abandoned, that a plan is
	// not carried out.
	KindAttemptEnded
	// KindSynced says that a forwarder has reported all attempts that were in flight when it connected.
	KindSynced
	// KindPlacement is a planner's answer with a server.
	KindPlacement
	// KindDeclined is a planner's answer without one: the forwarder is to decide by itself.
	KindDeclined
)

// Message is sent from a forwarder to a planner or back. Which fields it has depends on its kind;
// the others are zero.
type Message struct {
	Kind        Kind
	ID          decide.RequestID // the forwarder's; not of Synced
	Attempt     int              // from 0; of Sent and Ended
	Server      decide.ServerID  // of Sent and Plan
	Result      decide.Result    // of Ended
	RequestInfo                  // of Ask and Sent
}

// RequestInfo is what a planner knows of a request.
type RequestInfo struct {
	Class       int           // its number in the order of the pool's classes
	Key         uint64        // hash of the request's key
	WorkHint    time.Duration // expected work at the server; 0 if unknown
	TimeLeft    time.Duration // until its client gives up
	ClientRetry bool          // the client has sent it before
}

// Package simproto implements the simulator's binary protocol: it decodes batches of events, encodes replies
// of actions, and parses the settings of an instance. It does not trust its input: every length is checked
// against the available bytes before anything is allocated.
//
// The protocol has its own names for everything. They appear in this package only: in the comments on the codes
// below, as the keys of settings, and as field names in errors, where the simulator's operators expect them.
package simproto

import (
	"errors"
	"time"
)

// Codes of events. Comments begin with the protocol's name.
const (
	EventStart              = 0 // Launch: an instance starts
	EventEndpoints          = 1 // Fleet: an update of the endpoint list
	EventRequest            = 2 // NewRequest
	EventFirstByte          = 3 // AckFirst: the first byte of an answer
	EventAttemptFinished    = 4 // Ended
	EventClientDisconnected = 5 // Left
	EventTimerFired         = 6 // Elapsed
	EventHealthChecked      = 7 // Probed: the result of a health check
	EventPeerMessage        = 8 // Peer: a message of another instance
	EventStop               = 9 // Retire: an instance ends
)

// Codes of actions. Comments are the protocol's names.
const (
	ActionWatchEndpoints = 0  // StreamChanges
	ActionSetTimer       = 1  // Sleep
	ActionCancel         = 2  // StopAttempt
	ActionBroken         = 3  // Broken
	ActionCloseIdle      = 4  // Disconnect
	ActionReject         = 5  // Decline
	ActionPollEndpoints  = 6  // Resolve
	ActionSendToPeer     = 7  // BroadcastTo
	ActionHealthCheck    = 8  // Sample
	ActionSend           = 9  // Assign
	ActionFail           = 10 // GiveUp
	ActionLog            = 11 // Remark
)

// Bits of Event.Flags.
const (
	FlagWorkHint    = 1 // the request has a work hint
	FlagClientRetry = 2 // the client marked the request as its own retry
)

// Maximum values that the decoder accepts.
const (
	maxUpdateKind  = 3
	maxServerState = 2
	maxResult      = 7
)

// Sizes in bytes.
const (
	lengthSize       = 4  // size of the length prefix of frames and replies
	headerSize       = 16 // size of a frame header: length, clock, number of records
	recordHeaderSize = 5  // size of a record header: code, size
	entrySize        = 22 // size of an entry of an endpoint list

	// MaxFrame is the maximum size of a frame. Batches reach several megabytes; a larger length is
	// damage, and nothing is allocated for it.
	MaxFrame = 256 << 20
	// MaxPayload is the maximum size of a message to a peer.
	MaxPayload = 256
	// maxLogText is the maximum size of a text in an action.
	maxLogText = 1000
)

// maxMillis is the maximum absolute value of times, in milliseconds, so that they fit in a time.Duration.
const maxMillis = 1e12

// ErrFormat is wrapped by every error about a malformed frame.
var ErrFormat = errors.New("malformed frame")

// Entry is one server of an endpoint list.
type Entry struct {
	Model     uint16
	Server    uint32
	Zone      uint8
	State     uint8 // 0 gone, 1 ready, 2 draining
	Capacity  float32
	StartedAt time.Duration
	Cell      uint16
}

// Event is one decoded record. Code determines which fields are set. The slices alias the frame or a
// buffer of the decoder, and are valid until the decoder's next call.
type Event struct {
	Code     uint8
	Instance uint16

	// EventStart.
	Seed     uint64
	Settings []byte

	// EventEndpoints.
	Version    uint64
	UpdateKind uint8 // 0 delta, 1 complete, 2 cached, 3 failed
	Entries    []Entry

	// EventRequest, EventFirstByte, EventAttemptFinished, EventClientDisconnected, EventHealthChecked.
	Request    uint32
	Key        uint64
	WorkHint   time.Duration
	Tenant     uint32
	Class      uint8
	Flags      uint8
	Deadline   time.Duration
	Attempt    uint16
	Server     uint32
	Latency    time.Duration
	Result     uint16
	Final      bool
	LoadReport []float32

	// EventTimerFired.
	Token uint64

	// EventPeerMessage.
	Peer uint16
	Data []byte
}

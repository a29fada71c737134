package configlog

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Message is a message from a relay to a follower: a Heartbeat, Changes or a SnapshotChunk.
type Message interface{ message() }

// Heartbeat announces the newest version of a relay.
type Heartbeat struct {
	Version uint64
	Digest  Digest
	// Age is the time since the relay's state was certainly the newest of the voters. It is AgeUnknown or more if
	// that time is not known.
	Age time.Duration
	// SnapshotQueued is whether the follower needs a snapshot and its stream is queued for one.
	SnapshotQueued bool
}

// Changes are changes of consecutive versions.
type Changes []Change

func (Heartbeat) message()     {}
func (Changes) message()       {}
func (SnapshotChunk) message() {}

// Resume is a follower's request to a relay: to send the changes after a version, or a snapshot.
type Resume struct {
	Stream  uint64 // the follower's id of the stream; not sent
	Version uint64
	Digest  Digest // the digest of the follower's state; zero if it has diverged and requests the whole state
	WithLog bool   // if a snapshot is needed, the relay must include the log
}

// messageKind is the first byte of an encoded message.
type messageKind = byte

// Kinds of messages. They are sent on the wire.
const (
	kindHeartbeat messageKind = iota + 1
	kindChanges
	kindSnapshotChunk
	kindResume
)

const (
	// MaxMessage bounds an encoded message, in bytes, if snapshots do not include the log.
	MaxMessage = MaxEncodedChange + MaxChunkWithoutLog
	// MaxLogMessage bounds an encoded message, in bytes, if snapshots include the log.
	MaxLogMessage = MaxChunk + 64
)

// AppendMessage appends the encoding of a relay's message to b.
func AppendMessage(b []byte, m Message) []byte {
	switch m := m.(type) {
	case Heartbeat:
		b = binary.AppendUvarint(append(b, kindHeartbeat), m.Version)
		b = append(b, m.Digest[:]...)
		b = binary.AppendUvarint(b, uint64(min(max(m.Age, 0), AgeUnknown)))
		return appendBool(b, m.SnapshotQueued)
	case Changes:
		b = binary.AppendUvarint(append(b, kindChanges), uint64(len(m)))
		for _, c := range m {
			b = AppendChange(b, c)
		}
	case SnapshotChunk:
		b = AppendChunk(append(b, kindSnapshotChunk), m)
	}
	return b
}

// DecodeMessage decodes a message that AppendMessage encoded. The error wraps ErrEncoding.
func DecodeMessage(b []byte) (Message, error) {
	if len(b) == 0 {
		return nil, fmt.Errorf("%w: empty message", ErrEncoding)
	}
	d := decoder{b: b[1:]}
	switch b[0] {
	case kindHeartbeat:
		h := Heartbeat{Version: d.uvarint(), Digest: d.digest(), Age: d.age(), SnapshotQueued: d.bool()}
		return h, d.finish()
	case kindChanges:
		changes := make(Changes, d.count(MaxLog, minChangeBytes))
		for i := range changes {
			changes[i] = d.change()
		}
		return changes, d.finish()
	case kindSnapshotChunk:
		return DecodeChunk(b[1:])
	}
	return nil, fmt.Errorf("%w: unknown message kind %d", ErrEncoding, b[0])
}

// AppendResume appends the encoding of a follower's Resume to b. The encoding does not include Stream.
func AppendResume(b []byte, r Resume) []byte {
	b = binary.AppendUvarint(append(b, kindResume), r.Version)
	return appendBool(append(b, r.Digest[:]...), r.WithLog)
}

// DecodeResume decodes a Resume that AppendResume encoded. The error wraps ErrEncoding.
func DecodeResume(b []byte) (Resume, error) {
	if len(b) == 0 || b[0] != kindResume {
		return Resume{}, fmt.Errorf("%w: not a Resume message", ErrEncoding)
	}
	d := decoder{b: b[1:]}
	r := Resume{Version: d.uvarint(), Digest: d.digest(), WithLog: d.bool()}
	return r, d.finish()
}

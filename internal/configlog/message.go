package configlog

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Message is what a relay sends to a follower: a Heartbeat, Changes or a SnapshotChunk.
type Message interface{ message() }

// Heartbeat is the newest version that a relay has.
type Heartbeat struct {
	Version uint64
	Digest  Digest
	// Age is how long ago that was certainly the newest of the voters'; AgeUnknown or more where that is
	// not known.
	Age time.Duration
	// SnapshotQueued says that the follower needs a snapshot and waits for its turn.
	SnapshotQueued bool
}

// Changes are consecutive changes.
type Changes []Change

func (Heartbeat) message()     {}
func (Changes) message()       {}
func (SnapshotChunk) message() {}

// Resume is what a follower sends to a relay: it asks for what comes after a version.
type Resume struct {
	Stream  uint64 // of the follower; it is not sent
	Version uint64
	Digest  Digest // of the follower's state; zero where it has diverged and asks for the whole state
	WithLog bool   // a snapshot, if one is needed, is to come with the log
}

// messageKind is the first byte of an encoded message.
type messageKind = byte

// Kinds of messages. They cross the wire.
const (
	kindHeartbeat messageKind = iota + 1
	kindChanges
	kindSnapshotChunk
	kindResume
)

const (
	// MaxMessage bounds an encoded message, in bytes, where snapshots come without the log.
	MaxMessage = MaxEncoded + MaxChunkWithoutLog
	// MaxLogMessage bounds it where snapshots come with the log.
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

// DecodeMessage decodes what AppendMessage has encoded.
func DecodeMessage(b []byte) (Message, error) {
	if len(b) == 0 {
		return nil, fmt.Errorf("%w: an empty message", ErrEncoding)
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
	return nil, fmt.Errorf("%w: a message of the unknown kind %d", ErrEncoding, b[0])
}

// AppendResume appends the encoding of a follower's Resume to b, without its Stream.
func AppendResume(b []byte, r Resume) []byte {
	b = binary.AppendUvarint(append(b, kindResume), r.Version)
	return appendBool(append(b, r.Digest[:]...), r.WithLog)
}

// DecodeResume decodes what AppendResume has encoded.
func DecodeResume(b []byte) (Resume, error) {
	if len(b) == 0 || b[0] != kindResume {
		return Resume{}, fmt.Errorf("%w: it is not a resume", ErrEncoding)
	}
	d := decoder{b: b[1:]}
	r := Resume{Version: d.uvarint(), Digest: d.digest(), WithLog: d.bool()}
	return r, d.finish()
}

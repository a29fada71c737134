package planner

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"jasperpin/decide"
)

// flagClientRetry is the flag of RequestInfo.ClientRetry.
const flagClientRetry = 1

// Append appends the encoded message to the payload b of a frame and returns the extended payload.
func (m *Message) Append(b []byte) []byte {
	b = append(b, byte(m.Kind))
	if m.Kind == KindSynced {
		return b
	}
	b = binary.AppendUvarint(b, uint64(m.ID))
	switch m.Kind {
	case KindPlacement:
		return binary.AppendUvarint(b, uint64(m.Server))
	case KindAttemptEnded:
		return append(b, byte(m.Attempt), byte(m.Result))
	case KindAttemptSent:
		b = append(b, byte(m.Attempt))
		b = binary.AppendUvarint(b, uint64(m.Server))
		return m.appendRequestInfo(b)
	case KindPlace:
		return m.appendRequestInfo(b)
	default: // KindDeclined has no more fields
		return b
	}
}

func (q *RequestInfo) appendRequestInfo(b []byte) []byte {
	flags := byte(0)
	if q.ClientRetry {
		flags = flagClientRetry
	}
	b = append(b, byte(q.Class), flags)
	b = binary.AppendUvarint(b, q.Key)
	b = binary.AppendUvarint(b, microseconds(q.WorkHint))
	return binary.AppendUvarint(b, microseconds(q.Remaining))
}

func microseconds(d time.Duration) uint64 { return uint64(min(max(d, 0), maxDuration).Microseconds()) }

// Decode decodes the messages of a payload and calls handle with each. It stops at the first malformed
// message and returns ErrFrame, or at the first error of handle and returns that.
func Decode(payload []byte, handle func(Message) error) error {
	d := decoder{rest: payload}
	for len(d.rest) > 0 {
		m := d.message()
		if d.failed {
			return fmt.Errorf("%w: malformed message %d bytes before the end of the payload", ErrFrame, len(d.rest))
		}
		if err := handle(m); err != nil {
			return err
		}
	}
	return nil
}

// decoder reads a payload from its start. Once failed is true, the values that it returns are invalid.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) message() (m Message) {
	m.Kind = Kind(d.byte(byte(KindDeclined)))
	if m.Kind == KindSynced {
		return m
	}
	m.ID = decide.RequestID(d.uint(math.MaxUint32))
	switch m.Kind {
	case KindPlacement:
		m.Server = decide.ServerID(d.uint(math.MaxUint32))
	case KindAttemptEnded:
		m.Attempt = int(d.byte(maxAttempt))
		m.Result = decide.Result(d.byte(byte(decide.Abandoned)))
	case KindAttemptSent:
		m.Attempt = int(d.byte(maxAttempt))
		m.Server = decide.ServerID(d.uint(math.MaxUint32))
		m.RequestInfo = d.requestInfo()
	case KindPlace:
		m.RequestInfo = d.requestInfo()
	case KindDeclined:
	default:
		d.failed = true
	}
	return m
}

func (d *decoder) requestInfo() (q RequestInfo) {
	q.Class = int(d.byte(maxClass))
	q.ClientRetry = d.byte(flagClientRetry) == flagClientRetry
	q.Key = d.uint(math.MaxUint64)
	q.WorkHint = d.duration()
	q.Remaining = d.duration()
	return q
}

func (d *decoder) duration() time.Duration {
	return time.Duration(d.uint(uint64(maxDuration.Microseconds()))) * time.Microsecond
}

func (d *decoder) byte(limit byte) byte {
	if len(d.rest) == 0 || d.rest[0] > limit {
		d.failed = true
		return 0
	}
	value := d.rest[0]
	d.rest = d.rest[1:]
	return value
}

func (d *decoder) uint(limit uint64) uint64 {
	value, n := binary.Uvarint(d.rest)
	if n <= 0 || value > limit {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return value
}

func (d *decoder) text() string {
	n := d.uint(MaxHello)
	if d.failed || n > uint64(len(d.rest)) {
		d.failed = true
		return ""
	}
	text := string(d.rest[:n])
	d.rest = d.rest[n:]
	return text
}

package simproto

import (
	"encoding/binary"
	"math"
	"time"
)

// Sizes of action records in bytes, including the instance number at their start.
const (
	instanceSize    = 2
	textLengthSize  = 2
	watchSize       = instanceSize + 1
	timerSize       = instanceSize + 16
	cancelSize      = instanceSize + 6
	serverSize      = instanceSize + 4
	requestSize     = instanceSize + 4
	rejectSize      = instanceSize + 12
	sendSize        = instanceSize + 16
	peerMessageSize = instanceSize + 2 + textLengthSize // the size of the message is added
	textSize        = instanceSize + textLengthSize     // the size of the text is added
	pollSize        = instanceSize
)

// Encoder encodes one reply of actions. Reset must be called before the first action.
type Encoder struct{ buf []byte }

// Reset starts a new, empty reply.
func (e *Encoder) Reset() { e.buf = append(e.buf[:0], 0, 0, 0, 0) }

// Bytes completes the reply and returns it. The slice is valid until the next Reset.
func (e *Encoder) Bytes() []byte {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)))
	return e.buf
}

// Mark returns the current position, for Truncate.
func (e *Encoder) Mark() int { return len(e.buf) }

// Truncate removes all actions written since the mark.
func (e *Encoder) Truncate(mark int) { e.buf = e.buf[:mark] }

// WatchEndpoints starts or ends the subscription to discovery.
func (e *Encoder) WatchEndpoints(instance uint16, on bool) {
	e.record(ActionWatchEndpoints, watchSize, instance)
	if on {
		e.buf = append(e.buf, 1)
	} else {
		e.buf = append(e.buf, 0)
	}
}

// SetTimer requests an EventTimerFired with the token at the given time.
func (e *Encoder) SetTimer(instance uint16, token uint64, at time.Duration) {
	e.record(ActionSetTimer, timerSize, instance)
	e.u64(token)
	e.milliseconds(at)
}

// Cancel cancels an attempt.
func (e *Encoder) Cancel(instance uint16, request uint32, attempt uint16) {
	e.record(ActionCancel, cancelSize, instance)
	e.u32(request)
	e.u16(attempt)
}

// Broken reports that the instance's decision code has failed.
func (e *Encoder) Broken(instance uint16, text string) { e.text(ActionBroken, instance, text) }

// Log adds a line to the simulator's report.
func (e *Encoder) Log(instance uint16, text string) { e.text(ActionLog, instance, text) }

// CloseIdle closes the idle connections to a server.
func (e *Encoder) CloseIdle(instance uint16, server uint32) {
	e.record(ActionCloseIdle, serverSize, instance)
	e.u32(server)
}

// Reject gives a request its final answer: a retry does no harm. A retryAfter of 0 means that the
// rejection has no Retry-After.
func (e *Encoder) Reject(instance uint16, request uint32, retryAfter time.Duration) {
	e.record(ActionReject, rejectSize, instance)
	e.u32(request)
	e.milliseconds(retryAfter)
}

// PollEndpoints polls discovery for the endpoint list once.
func (e *Encoder) PollEndpoints(instance uint16) { e.record(ActionPollEndpoints, pollSize, instance) }

// SendToPeer sends a message to one peer, or to all peers (0xffff). Data beyond MaxPayload bytes is dropped.
func (e *Encoder) SendToPeer(instance, peer uint16, data []byte) {
	data = data[:min(len(data), MaxPayload)]
	e.record(ActionSendToPeer, peerMessageSize+len(data), instance)
	e.u16(peer)
	e.lengthPrefixed(data)
}

// HealthCheck sends a health check to a server.
func (e *Encoder) HealthCheck(instance uint16, server uint32) {
	e.record(ActionHealthCheck, serverSize, instance)
	e.u32(server)
}

// Send sends an attempt.
func (e *Encoder) Send(instance uint16, request, server uint32, timeout time.Duration) {
	e.record(ActionSend, sendSize, instance)
	e.u32(request)
	e.u32(server)
	e.milliseconds(timeout)
}

// Fail gives a request its final answer: the request may have run.
func (e *Encoder) Fail(instance uint16, request uint32) {
	e.record(ActionFail, requestSize, instance)
	e.u32(request)
}

// record writes the header of a record of the given size, and the record's instance.
func (e *Encoder) record(code uint8, size int, instance uint16) {
	e.buf = append(e.buf, code)
	e.u32(uint32(size))
	e.u16(instance)
}

// text writes a record with a text, which is truncated to maxLogText bytes.
func (e *Encoder) text(code uint8, instance uint16, text string) {
	text = text[:min(len(text), maxLogText)]
	e.record(code, textSize+len(text), instance)
	e.lengthPrefixed([]byte(text))
}

func (e *Encoder) u16(v uint16) { e.buf = binary.LittleEndian.AppendUint16(e.buf, v) }
func (e *Encoder) u32(v uint32) { e.buf = binary.LittleEndian.AppendUint32(e.buf, v) }
func (e *Encoder) u64(v uint64) { e.buf = binary.LittleEndian.AppendUint64(e.buf, v) }

func (e *Encoder) milliseconds(d time.Duration) { e.u64(math.Float64bits(toMillis(d))) }

func (e *Encoder) lengthPrefixed(data []byte) {
	e.u16(uint16(len(data)))
	e.buf = append(e.buf, data...)
}

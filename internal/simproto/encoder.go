package simproto

import (
	"encoding/binary"
	"math"
	"time"
)

// Sizes of records of actions, in bytes, with the instance that each begins with.
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
	peerMessageSize = instanceSize + 2 + textLengthSize // and the message
	textSize        = instanceSize + textLengthSize     // and the text
	pollSize        = instanceSize
)

// Encoder builds one reply of actions. Reset must be called before the first one.
type Encoder struct{ buf []byte }

// Reset starts an empty reply.
func (e *Encoder) Reset() { e.buf = append(e.buf[:0], 0, 0, 0, 0) }

// Bytes completes the reply and returns it. It is valid until the next Reset.
func (e *Encoder) Bytes() []byte {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)))
	return e.buf
}

// Mark returns a position that Truncate can go back to.
func (e *Encoder) Mark() int { return len(e.buf) }

// Truncate drops all actions written since the mark.
func (e *Encoder) Truncate(mark int) { e.buf = e.buf[:mark] }

// WatchEndpoints subscribes to discovery, or ends the subscription.
func (e *Encoder) WatchEndpoints(instance uint16, on bool) {
	e.record(ActionWatchEndpoints, watchSize, instance)
	if on {
		e.buf = append(e.buf, 1)
	} else {
		e.buf = append(e.buf, 0)
	}
}

// SetTimer asks for an EventTimerFired with the token at a time.
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

// Broken declares that the instance's decision code has failed.
func (e *Encoder) Broken(instance uint16, text string) { e.text(ActionBroken, instance, text) }

// Log adds a line to the report.
func (e *Encoder) Log(instance uint16, text string) { e.text(ActionLog, instance, text) }

// CloseIdle closes the idle connections to a server.
func (e *Encoder) CloseIdle(instance uint16, server uint32) {
	e.record(ActionCloseIdle, serverSize, instance)
	e.u32(server)
}

// Reject gives a request its final answer: trying again does no harm. A retryAfter of 0 names no time.
func (e *Encoder) Reject(instance uint16, request uint32, retryAfter time.Duration) {
	e.record(ActionReject, rejectSize, instance)
	e.u32(request)
	e.milliseconds(retryAfter)
}

// PollEndpoints polls discovery for the endpoint list once.
func (e *Encoder) PollEndpoints(instance uint16) { e.record(ActionPollEndpoints, pollSize, instance) }

// SendToPeer sends a message of MaxPayload bytes at the most to one peer, or to all of them (0xffff).
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

// Fail gives a request its final answer: it may have run.
func (e *Encoder) Fail(instance uint16, request uint32) {
	e.record(ActionFail, requestSize, instance)
	e.u32(request)
}

// record writes the header of a record of a size, and its instance.
func (e *Encoder) record(code uint8, size int, instance uint16) {
	e.buf = append(e.buf, code)
	e.u32(uint32(size))
	e.u16(instance)
}

// text writes a record that holds a text, which is cut off at maxLogText bytes.
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

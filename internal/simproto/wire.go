// Package simproto speaks the simulator's binary frames: it decodes batches of
// events, encodes replies, and parses the settings of a launch. All input is
// taken as hostile: every length is checked against the bytes at hand before
// anything is allocated.
package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// Event codes.
const (
	EvLaunch     = 0
	EvFleet      = 1
	EvNewRequest = 2
	EvAckFirst   = 3
	EvEnded      = 4
	EvLeft       = 5
	EvElapsed    = 6
	EvProbed     = 7
	EvPeer       = 8
	EvRetire     = 9
)

// Action codes.
const (
	ActStreamChanges = 0
	ActSleep         = 1
	ActStopAttempt   = 2
	ActBroken        = 3
	ActDisconnect    = 4
	ActDecline       = 5
	ActResolve       = 6
	ActBroadcastTo   = 7
	ActSample        = 8
	ActAssign        = 9
	ActGiveUp        = 10
	ActRemark        = 11
)

const (
	headerSize = 16
	recordHead = 5
	entrySize  = 22

	// MaxFrame bounds a frame: batches reach several megabytes, and a length
	// beyond this is taken for damage and not allocated for.
	MaxFrame = 256 << 20
	// maxMillis bounds the times accepted, so that they fit a Duration.
	maxMillis = 1e12
	// MaxPayload is the most a BroadcastTo may carry.
	MaxPayload = 256
)

// ErrFormat marks every complaint about the bytes themselves.
var ErrFormat = errors.New("malformed frame")

// Entry is one line of a server list.
type Entry struct {
	Model     uint16
	Server    uint32
	Zone      uint8
	Condition uint8
	Scale     float32
	Since     time.Duration
	Cell      uint16
}

// Event is one decoded record. Which fields are set depends on Code. The
// slices alias the frame or a buffer of the decoder and are valid until its
// next call.
type Event struct {
	Code uint8
	Who  uint16

	Seed  uint64 // Launch
	Setup []byte

	Epoch   uint64 // Fleet
	Scope   uint8
	Entries []Entry

	Req     uint32 // NewRequest, AckFirst, Ended, Left
	Key     uint64
	Hint    time.Duration
	Tenant  uint32
	Class   uint8
	Flags   uint8
	Due     time.Duration
	Attempt uint16
	Server  uint32
	Latency time.Duration
	Reason  uint16
	Settled bool
	Load    []float32

	Token uint64 // Elapsed
	From  uint16 // Peer
	Data  []byte
}

// Decoder walks through the records of one frame.
type Decoder struct {
	frame   []byte
	at      int
	left    uint32
	now     time.Duration
	entries []Entry
	load    []float32
}

// ReadFrame reads one whole frame into buf, growing it as bytes arrive. It
// returns io.EOF only where the input ends between frames.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	var head [4]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return buf[:0], io.EOF
		}
		return buf[:0], fmt.Errorf("%w: input ended after %d bytes of field length: %w", ErrFormat, n, err)
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < headerSize || size > MaxFrame {
		return buf[:0], fmt.Errorf("%w: offset 0: field length is %d, want %d to %d", ErrFormat, size, headerSize, MaxFrame)
	}
	buf = append(buf[:0], head[:]...)
	// Grow in steps, so that a false length costs no more than was sent.
	const step = 1 << 20
	for len(buf) < int(size) {
		n := min(step, int(size)-len(buf))
		start := len(buf)
		if cap(buf) < start+n {
			buf = append(buf, make([]byte, n)...)
		} else {
			buf = buf[:start+n]
		}
		if m, err := io.ReadFull(r, buf[start:]); err != nil {
			return buf[:0], fmt.Errorf("%w: offset %d: frame of %d bytes cut short: %w", ErrFormat, start+m, size, io.ErrUnexpectedEOF)
		}
	}
	return buf, nil
}

// Reset starts on a new frame and checks its header.
func (d *Decoder) Reset(frame []byte) error {
	d.frame, d.at, d.left, d.now = nil, 0, 0, 0
	if len(frame) < headerSize {
		return fmt.Errorf("%w: offset %d: header needs %d bytes", ErrFormat, len(frame), headerSize)
	}
	if size := binary.LittleEndian.Uint32(frame); int64(size) != int64(len(frame)) {
		return fmt.Errorf("%w: offset 0: field length is %d, frame has %d bytes", ErrFormat, size, len(frame))
	}
	now, err := millis(binary.LittleEndian.Uint64(frame[4:]))
	if err != nil {
		return fmt.Errorf("%w: offset 4: field clock: %w", ErrFormat, err)
	}
	count := binary.LittleEndian.Uint32(frame[12:])
	if int64(count)*recordHead > int64(len(frame)-headerSize) {
		return fmt.Errorf("%w: offset 12: field count: %d records do not fit %d bytes", ErrFormat, count, len(frame)-headerSize)
	}
	d.frame, d.at, d.left, d.now = frame, headerSize, count, now
	return nil
}

// Now is the clock of the frame.
func (d *Decoder) Now() time.Duration { return d.now }

// Next decodes the next record into ev. It returns io.EOF after the last one.
// Records with a code it does not know are skipped.
func (d *Decoder) Next(ev *Event) error {
	for {
		if d.left == 0 {
			if d.at != len(d.frame) {
				return fmt.Errorf("%w: offset %d: %d bytes after the last record", ErrFormat, d.at, len(d.frame)-d.at)
			}
			return io.EOF
		}
		d.left--
		if len(d.frame)-d.at < recordHead {
			return fmt.Errorf("%w: offset %d: record head cut short", ErrFormat, d.at)
		}
		code := d.frame[d.at]
		size := binary.LittleEndian.Uint32(d.frame[d.at+1:])
		if int64(size) > int64(len(d.frame)-d.at-recordHead) {
			return fmt.Errorf("%w: offset %d: field size: record of %d bytes, %d left", ErrFormat, d.at+1, size, len(d.frame)-d.at-recordHead)
		}
		r := fields{body: d.frame[d.at+recordHead : d.at+recordHead+int(size)], base: d.at + recordHead}
		d.at += recordHead + int(size)
		if code > EvRetire {
			continue
		}
		*ev = Event{Code: code, Who: r.u16("who")}
		d.decode(ev, &r)
		if r.err == nil && r.at != len(r.body) {
			r.fail("size", fmt.Errorf("%d bytes more than its fields", len(r.body)-r.at))
		}
		if r.err != nil {
			return fmt.Errorf("%w: event %d: %w", ErrFormat, code, r.err)
		}
		return nil
	}
}

func (d *Decoder) decode(ev *Event, r *fields) {
	switch ev.Code {
	case EvLaunch:
		ev.Seed = r.u64("prng")
		ev.Setup = r.bytes(r.count(r.u32("setup"), 1, "setup"))
	case EvFleet:
		ev.Epoch = r.u64("epoch")
		ev.Scope = r.u8("scope")
		if ev.Scope > 3 {
			r.fail("scope", fmt.Errorf("unknown value %d", ev.Scope))
		}
		d.entries = d.entries[:0]
		for n := r.count(r.u32("nodesList"), entrySize, "nodesList"); n > 0 && r.err == nil; n-- {
			e := Entry{Model: r.u16("model"), Server: r.u32("server"), Zone: r.u8("zone"), Condition: r.u8("condition")}
			if e.Condition > 2 {
				r.fail("condition", fmt.Errorf("unknown value %d", e.Condition))
			}
			e.Scale = r.f32("scale")
			e.Since = r.ms("sinceMs")
			e.Cell = r.u16("cell")
			d.entries = append(d.entries, e)
		}
		ev.Entries = d.entries
	case EvNewRequest:
		ev.Req = r.u32("req")
		ev.Key = r.u64("targetKey")
		ev.Hint = r.ms("predictedMs")
		ev.Tenant = r.u32("owner")
		ev.Class = r.u8("band")
		ev.Flags = r.u8("bits")
		ev.Due = r.ms("dueMs")
	case EvAckFirst:
		ev.Req = r.u32("req")
		ev.Attempt = r.u16("go")
		ev.Server = r.u32("server")
		ev.Latency = r.ms("latencyMs")
	case EvEnded:
		ev.Req = r.u32("req")
		ev.Attempt = r.u16("go")
		ev.Server = r.u32("server")
		ev.Reason = r.u16("reason")
		if ev.Reason > 7 {
			r.fail("reason", fmt.Errorf("unknown value %d", ev.Reason))
		}
		ev.Latency = r.ms("latencyMs")
		ev.Settled = r.u8("settled") != 0
		ev.Load = d.report(r)
	case EvLeft:
		ev.Req = r.u32("req")
	case EvElapsed:
		ev.Token = r.u64("ctx")
	case EvProbed:
		ev.Latency = r.ms("latencyMs")
		ev.Reason = r.u16("reason")
		ev.Server = r.u32("server")
		ev.Load = d.report(r)
	case EvPeer:
		ev.From = r.u16("srcPeer")
		ev.Data = r.bytes(r.count(uint32(r.u16("octets")), 1, "octets"))
	}
}

func (d *Decoder) report(r *fields) []float32 {
	d.load = d.load[:0]
	for n := r.count(uint32(r.u8("usage")), 4, "usage"); n > 0 && r.err == nil; n-- {
		d.load = append(d.load, r.f32("usage"))
	}
	return d.load
}

// fields reads a record's fields in order and keeps the first complaint.
type fields struct {
	body []byte
	at   int
	base int
	err  error
}

func (r *fields) fail(field string, err error) {
	if r.err == nil {
		r.err = fmt.Errorf("offset %d: field %s: %w", r.base+r.at, field, err)
	}
}

var zeros [8]byte

func (r *fields) take(n int, field string) []byte {
	if r.err == nil && len(r.body)-r.at < n {
		r.fail(field, fmt.Errorf("needs %d bytes, %d left", n, len(r.body)-r.at))
	}
	if r.err != nil {
		return zeros[:n]
	}
	b := r.body[r.at : r.at+n]
	r.at += n
	return b
}

func (r *fields) u8(field string) uint8   { return r.take(1, field)[0] }
func (r *fields) u16(field string) uint16 { return binary.LittleEndian.Uint16(r.take(2, field)) }
func (r *fields) u32(field string) uint32 { return binary.LittleEndian.Uint32(r.take(4, field)) }
func (r *fields) u64(field string) uint64 { return binary.LittleEndian.Uint64(r.take(8, field)) }

func (r *fields) f32(field string) float32 {
	v := math.Float32frombits(r.u32(field))
	if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
		r.fail(field, fmt.Errorf("not a finite number"))
		return 0
	}
	return v
}

func (r *fields) ms(field string) time.Duration {
	d, err := millis(r.u64(field))
	if err != nil {
		r.fail(field, err)
	}
	return d
}

// count checks that n items of the given size lie ahead.
func (r *fields) count(n uint32, size int, field string) int {
	if r.err == nil && int64(n)*int64(size) > int64(len(r.body)-r.at) {
		r.fail(field, fmt.Errorf("count %d needs %d bytes, %d left", n, int64(n)*int64(size), len(r.body)-r.at))
	}
	if r.err != nil {
		return 0
	}
	return int(n)
}

func (r *fields) bytes(n int) []byte {
	if r.err != nil {
		return nil
	}
	b := r.body[r.at : r.at+n]
	r.at += n
	return b
}

func millis(bits uint64) (time.Duration, error) {
	v := math.Float64frombits(bits)
	if math.IsNaN(v) || math.IsInf(v, 0) || v > maxMillis || v < -maxMillis {
		return 0, fmt.Errorf("time %v is not usable", v)
	}
	return time.Duration(math.Round(v * 1e6)), nil
}

func toMillis(d time.Duration) float64 { return float64(d) / 1e6 }

// Encoder builds one reply.
type Encoder struct{ buf []byte }

// Reset starts an empty reply.
func (e *Encoder) Reset() { e.buf = append(e.buf[:0], 0, 0, 0, 0) }

// Bytes closes the reply and returns it, valid until the next Reset.
func (e *Encoder) Bytes() []byte {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)))
	return e.buf
}

// Mark returns a position that Truncate can go back to.
func (e *Encoder) Mark() int { return len(e.buf) }

// Truncate drops all actions written since the mark.
func (e *Encoder) Truncate(mark int) { e.buf = e.buf[:mark] }

func (e *Encoder) record(code uint8, size int, who uint16) {
	e.buf = append(e.buf, code)
	e.buf = binary.LittleEndian.AppendUint32(e.buf, uint32(size))
	e.buf = binary.LittleEndian.AppendUint16(e.buf, who)
}

func (e *Encoder) u32(v uint32)          { e.buf = binary.LittleEndian.AppendUint32(e.buf, v) }
func (e *Encoder) u16(v uint16)          { e.buf = binary.LittleEndian.AppendUint16(e.buf, v) }
func (e *Encoder) u64(v uint64)          { e.buf = binary.LittleEndian.AppendUint64(e.buf, v) }
func (e *Encoder) ms(v time.Duration)    { e.u64(math.Float64bits(toMillis(v))) }
func (e *Encoder) sized(data []byte)     { e.u16(uint16(len(data))); e.buf = append(e.buf, data...) }
func clip(text string, limit int) []byte { return []byte(text[:min(len(text), limit)]) }

// StreamChanges subscribes to discovery, or ends the subscription.
func (e *Encoder) StreamChanges(who uint16, on bool) {
	e.record(ActStreamChanges, 3, who)
	if on {
		e.buf = append(e.buf, 1)
	} else {
		e.buf = append(e.buf, 0)
	}
}

// Sleep sets a timer.
func (e *Encoder) Sleep(who uint16, token uint64, at time.Duration) {
	e.record(ActSleep, 18, who)
	e.u64(token)
	e.ms(at)
}

// StopAttempt calls an attempt off.
func (e *Encoder) StopAttempt(who uint16, req uint32, attempt uint16) {
	e.record(ActStopAttempt, 8, who)
	e.u32(req)
	e.u16(attempt)
}

// Broken declares that the decision code has failed.
func (e *Encoder) Broken(who uint16, text string) { e.text(ActBroken, who, text) }

// Remark adds a line to the report.
func (e *Encoder) Remark(who uint16, text string) { e.text(ActRemark, who, text) }

func (e *Encoder) text(code uint8, who uint16, text string) {
	t := clip(text, 1000)
	e.record(code, 4+len(t), who)
	e.sized(t)
}

// Disconnect closes the idle connections to a server.
func (e *Encoder) Disconnect(who uint16, server uint32) {
	e.record(ActDisconnect, 6, who)
	e.u32(server)
}

// Decline refuses a request for good.
func (e *Encoder) Decline(who uint16, req uint32, pause time.Duration) {
	e.record(ActDecline, 14, who)
	e.u32(req)
	e.ms(pause)
}

// Resolve asks discovery for the list once.
func (e *Encoder) Resolve(who uint16) { e.record(ActResolve, 2, who) }

// BroadcastTo sends a message to one peer, or to all of them (0xffff).
func (e *Encoder) BroadcastTo(who, peer uint16, data []byte) {
	data = data[:min(len(data), MaxPayload)]
	e.record(ActBroadcastTo, 6+len(data), who)
	e.u16(peer)
	e.sized(data)
}

// Sample probes a server.
func (e *Encoder) Sample(who uint16, server uint32) {
	e.record(ActSample, 6, who)
	e.u32(server)
}

// Assign sends an attempt.
func (e *Encoder) Assign(who uint16, req, server uint32, timeout time.Duration) {
	e.record(ActAssign, 18, who)
	e.u32(req)
	e.u32(server)
	e.ms(timeout)
}

// GiveUp fails a request for good.
func (e *Encoder) GiveUp(who uint16, req uint32) {
	e.record(ActGiveUp, 6, who)
	e.u32(req)
}

package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"
)

// ReadFrame reads one complete frame into buf, which grows as bytes arrive, and returns it. It returns
// io.EOF only where the input ends between frames.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	var length [lengthSize]byte
	if n, err := io.ReadFull(r, length[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return buf[:0], io.EOF
		}
		return buf[:0], fmt.Errorf("%w: input ended after %d bytes of field length: %w", ErrFormat, n, err)
	}
	size := binary.LittleEndian.Uint32(length[:])
	if size < headerSize || size > MaxFrame {
		return buf[:0], fmt.Errorf("%w: offset 0: field length is %d, want %d to %d", ErrFormat, size, headerSize, MaxFrame)
	}
	buf = append(buf[:0], length[:]...)
	return readRest(r, buf, int(size))
}

// readRest reads the rest of a frame of a size. It grows the buffer in steps, so that a false length costs
// no more memory than was sent.
func readRest(r io.Reader, buf []byte, size int) ([]byte, error) {
	const step = 1 << 20
	for len(buf) < size {
		n := min(step, size-len(buf))
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

// Decoder walks through the records of one frame. The zero Decoder has none.
type Decoder struct {
	frame       []byte
	offset      int    // of the next record
	recordsLeft uint32 // by the header's count
	now         time.Duration
	entries     []Entry   // a buffer
	loadReport  []float32 // a buffer
}

// Reset starts on a frame and checks its header.
func (d *Decoder) Reset(frame []byte) error {
	d.frame, d.offset, d.recordsLeft, d.now = nil, 0, 0, 0
	if len(frame) < headerSize {
		return fmt.Errorf("%w: offset %d: header needs %d bytes", ErrFormat, len(frame), headerSize)
	}
	if size := binary.LittleEndian.Uint32(frame); int64(size) != int64(len(frame)) {
		return fmt.Errorf("%w: offset 0: field length is %d, frame has %d bytes", ErrFormat, size, len(frame))
	}
	now, err := durationOfMillis(binary.LittleEndian.Uint64(frame[4:]))
	if err != nil {
		return fmt.Errorf("%w: offset 4: field clock: %w", ErrFormat, err)
	}
	count := binary.LittleEndian.Uint32(frame[12:])
	if int64(count)*recordHeaderSize > int64(len(frame)-headerSize) {
		return fmt.Errorf("%w: offset 12: field count: %d records do not fit %d bytes", ErrFormat, count, len(frame)-headerSize)
	}
	d.frame, d.offset, d.recordsLeft, d.now = frame, headerSize, count, now
	return nil
}

// Now is the clock of the frame.
func (d *Decoder) Now() time.Duration { return d.now }

// Next decodes the next record into ev. It returns io.EOF after the last one, and skips records with a code
// that it does not know.
func (d *Decoder) Next(ev *Event) error {
	for {
		if d.recordsLeft == 0 {
			return d.atEnd()
		}
		d.recordsLeft--
		code, body, err := d.nextRecord()
		if err != nil {
			return err
		}
		if code > EventStop {
			continue
		}
		*ev = Event{Code: code, Instance: body.u16("who")}
		d.decode(ev, &body)
		if body.err == nil && body.offset != len(body.body) {
			body.fail("size", fmt.Errorf("%d bytes more than its fields", len(body.body)-body.offset))
		}
		if body.err != nil {
			return fmt.Errorf("%w: event %d: %w", ErrFormat, code, body.err)
		}
		return nil
	}
}

// atEnd returns io.EOF where the last record ends with the frame.
func (d *Decoder) atEnd() error {
	if d.offset != len(d.frame) {
		return fmt.Errorf("%w: offset %d: %d bytes after the last record", ErrFormat, d.offset, len(d.frame)-d.offset)
	}
	return io.EOF
}

// nextRecord cuts the next record out of the frame.
func (d *Decoder) nextRecord() (code uint8, body fieldReader, err error) {
	left := len(d.frame) - d.offset
	if left < recordHeaderSize {
		return 0, fieldReader{}, fmt.Errorf("%w: offset %d: record head cut short", ErrFormat, d.offset)
	}
	code = d.frame[d.offset]
	left -= recordHeaderSize
	size := binary.LittleEndian.Uint32(d.frame[d.offset+1:])
	if int64(size) > int64(left) {
		return 0, fieldReader{}, fmt.Errorf("%w: offset %d: field size: record of %d bytes, %d left", ErrFormat, d.offset+1, size, left)
	}
	start := d.offset + recordHeaderSize
	d.offset = start + int(size)
	return code, fieldReader{body: d.frame[start:d.offset], base: start}, nil
}

// decode reads the fields of an event, in the protocol's order.
func (d *Decoder) decode(ev *Event, r *fieldReader) {
	switch ev.Code {
	case EventStart:
		ev.Seed = r.u64("prng")
		ev.Settings = r.bytes(r.count(r.u32("setup"), 1, "setup"))
	case EventEndpoints:
		ev.Version = r.u64("epoch")
		ev.UpdateKind = r.u8("scope")
		if ev.UpdateKind > maxUpdateKind {
			r.fail("scope", fmt.Errorf("unknown value %d", ev.UpdateKind))
		}
		ev.Entries = d.readEntries(r)
	case EventRequest:
		ev.Request = r.u32("req")
		ev.Key = r.u64("targetKey")
		ev.WorkHint = r.milliseconds("predictedMs")
		ev.Tenant = r.u32("owner")
		ev.Class = r.u8("band")
		ev.Flags = r.u8("bits")
		ev.Deadline = r.milliseconds("dueMs")
	case EventFirstByte:
		ev.Request = r.u32("req")
		ev.Attempt = r.u16("go")
		ev.Server = r.u32("server")
		ev.Latency = r.milliseconds("latencyMs")
	case EventAttemptFinished:
		ev.Request = r.u32("req")
		ev.Attempt = r.u16("go")
		ev.Server = r.u32("server")
		ev.Result = r.u16("reason")
		if ev.Result > maxResult {
			r.fail("reason", fmt.Errorf("unknown value %d", ev.Result))
		}
		ev.Latency = r.milliseconds("latencyMs")
		ev.Final = r.u8("settled") != 0
		ev.LoadReport = d.readLoadReport(r)
	case EventClientDisconnected:
		ev.Request = r.u32("req")
	case EventTimerFired:
		ev.Token = r.u64("ctx")
	case EventHealthChecked:
		ev.Latency = r.milliseconds("latencyMs")
		ev.Result = r.u16("reason")
		ev.Server = r.u32("server")
		ev.LoadReport = d.readLoadReport(r)
	case EventPeerMessage:
		ev.Peer = r.u16("srcPeer")
		ev.Data = r.bytes(r.count(uint32(r.u16("octets")), 1, "octets"))
	}
}

// readEntries reads the entries of an endpoint list.
func (d *Decoder) readEntries(r *fieldReader) []Entry {
	d.entries = d.entries[:0]
	for n := r.count(r.u32("nodesList"), entrySize, "nodesList"); n > 0 && r.err == nil; n-- {
		e := Entry{Model: r.u16("model"), Server: r.u32("server"), Zone: r.u8("zone"), State: r.u8("condition")}
		if e.State > maxServerState {
			r.fail("condition", fmt.Errorf("unknown value %d", e.State))
		}
		e.Capacity = r.f32("scale")
		e.StartedAt = r.milliseconds("sinceMs")
		e.Cell = r.u16("cell")
		d.entries = append(d.entries, e)
	}
	return d.entries
}

// readLoadReport reads a server's report of its load.
func (d *Decoder) readLoadReport(r *fieldReader) []float32 {
	d.loadReport = d.loadReport[:0]
	for n := r.count(uint32(r.u8("usage")), 4, "usage"); n > 0 && r.err == nil; n-- {
		d.loadReport = append(d.loadReport, r.f32("usage"))
	}
	return d.loadReport
}

package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"
)

// ReadFrame reads one complete frame into buf, which it extends as bytes arrive, and returns it. It
// returns io.EOF only if the input ends between frames.
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

// readRest reads the rest of a frame of the given size. It extends the buffer in steps, so that a false
// length does not allocate much more memory than was sent.
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

// Decoder decodes the records of one frame. The zero value has no records.
type Decoder struct {
	frame       []byte
	offset      int    // offset of the next record
	recordsLeft uint32 // records not read yet; at first the header's count
	now         time.Duration
	entries     []Entry   // reused buffer
	loadReport  []float32 // reused buffer
}

// Reset starts decoding a frame and checks the frame's header.
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

// Now returns the clock value of the frame.
func (d *Decoder) Now() time.Duration { return d.now }

// Next decodes the next record into ev. It returns io.EOF after the last one, and skips records with unknown codes.
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

// atEnd returns io.EOF if the last record ends at the end of the frame.
func (d *Decoder) atEnd() error {
	if d.offset != len(d.frame) {
		return fmt.Errorf("%w: offset %d: %d bytes after the last record", ErrFormat, d.offset, len(d.frame)-d.offset)
	}
	return io.EOF
}

// nextRecord returns the code and body of the next record.
func (d *Decoder) nextRecord() (code uint8, body fieldReader, err error) {
	remaining := len(d.frame) - d.offset
	if remaining < recordHeaderSize {
		return 0, fieldReader{}, fmt.Errorf("%w: offset %d: record header cut short", ErrFormat, d.offset)
	}
	code = d.frame[d.offset]
	remaining -= recordHeaderSize
	size := binary.LittleEndian.Uint32(d.frame[d.offset+1:])
	if int64(size) > int64(remaining) {
		return 0, fieldReader{}, fmt.Errorf("%w: offset %d: field size: record of %d bytes, %d remaining", ErrFormat, d.offset+1, size, remaining)
	}
	start := d.offset + recordHeaderSize
	d.offset = start + int(size)
	return code, fieldReader{body: d.frame[start:d.offset], base: start}, nil
}

// decode reads the fields of an event, in the protocol's order.
func (d *Decoder) decode(event *Event, r *fieldReader) {
	switch event.Code {
	case EventStart:
		event.Seed = r.u64("prng")
		event.Settings = r.bytes(r.count(r.u32("setup"), 1, "setup"))
	case EventEndpoints:
		event.Version = r.u64("epoch")
		event.UpdateKind = r.u8("scope")
		if event.UpdateKind > maxUpdateKind {
			r.fail("scope", fmt.Errorf("unknown value %d", event.UpdateKind))
		}
		event.Entries = d.readEntries(r)
	case EventRequest:
		event.Request = r.u32("req")
		event.Key = r.u64("targetKey")
		event.WorkHint = r.milliseconds("predictedMs")
		event.Tenant = r.u32("owner")
		event.Class = r.u8("band")
		event.Flags = r.u8("bits")
		event.Deadline = r.milliseconds("dueMs")
	case EventFirstByte:
		event.Request = r.u32("req")
		event.Attempt = r.u16("go")
		event.Server = r.u32("server")
		event.Latency = r.milliseconds("latencyMs")
	case EventAttemptFinished:
		event.Request = r.u32("req")
		event.Attempt = r.u16("go")
		event.Server = r.u32("server")
		event.Result = r.u16("reason")
		if event.Result > maxResult {
			r.fail("reason", fmt.Errorf("unknown value %d", event.Result))
		}
		event.Latency = r.milliseconds("latencyMs")
		event.Final = r.u8("settled") != 0
		event.LoadReport = d.readLoadReport(r)
	case EventClientDisconnected:
		event.Request = r.u32("req")
	case EventTimerFired:
		event.Token = r.u64("ctx")
	case EventHealthChecked:
		event.Latency = r.milliseconds("latencyMs")
		event.Result = r.u16("reason")
		event.Server = r.u32("server")
		event.LoadReport = d.readLoadReport(r)
	case EventPeerMessage:
		event.Peer = r.u16("srcPeer")
		event.Data = r.bytes(r.count(uint32(r.u16("octets")), 1, "octets"))
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

// readLoadReport reads a server's load report.
func (d *Decoder) readLoadReport(r *fieldReader) []float32 {
	d.loadReport = d.loadReport[:0]
	for n := r.count(uint32(r.u8("usage")), 4, "usage"); n > 0 && r.err == nil; n-- {
		d.loadReport = append(d.loadReport, r.f32("usage"))
	}
	return d.loadReport
}

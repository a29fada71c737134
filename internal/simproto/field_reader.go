package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

var errNotFinite = errors.New("not a finite number")

// fieldReader reads a record's fields in order. It stores the first error and returns zeros after it.
type fieldReader struct {
	body   []byte
	offset int // offset of the next field in body
	base   int // offset of body in its frame
	err    error
}

func (r *fieldReader) fail(field string, err error) {
	if r.err == nil {
		r.err = fmt.Errorf("offset %d: field %s: %w", r.base+r.offset, field, err)
	}
}

// zeros replaces a field that cannot be read.
var zeros [8]byte

func (r *fieldReader) take(n int, field string) []byte {
	if r.err == nil && len(r.body)-r.offset < n {
		r.fail(field, fmt.Errorf("needs %d bytes, %d remaining", n, len(r.body)-r.offset))
	}
	if r.err != nil {
		return zeros[:n]
	}
	return r.bytes(n)
}

func (r *fieldReader) u8(field string) uint8   { return r.take(1, field)[0] }
func (r *fieldReader) u16(field string) uint16 { return binary.LittleEndian.Uint16(r.take(2, field)) }
func (r *fieldReader) u32(field string) uint32 { return binary.LittleEndian.Uint32(r.take(4, field)) }
func (r *fieldReader) u64(field string) uint64 { return binary.LittleEndian.Uint64(r.take(8, field)) }

func (r *fieldReader) f32(field string) float32 {
	v := math.Float32frombits(r.u32(field))
	if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
		r.fail(field, errNotFinite)
		return 0
	}
	return v
}

func (r *fieldReader) milliseconds(field string) time.Duration {
	d, err := durationOfMillis(r.u64(field))
	if err != nil {
		r.fail(field, err)
	}
	return d
}

// count checks that the body has n more items of a size, and returns n, or 0 if it does not.
func (r *fieldReader) count(n uint32, size int, field string) int {
	if r.err == nil && int64(n)*int64(size) > int64(len(r.body)-r.offset) {
		r.fail(field, fmt.Errorf("count %d needs %d bytes, %d remaining", n, int64(n)*int64(size), len(r.body)-r.offset))
	}
	if r.err != nil {
		return 0
	}
	return int(n)
}

// bytes returns the next n bytes, which the body must have.
func (r *fieldReader) bytes(n int) []byte {
	if r.err != nil {
		return nil
	}
	b := r.body[r.offset : r.offset+n]
	r.offset += n
	return b
}

// durationOfMillis decodes a time of the protocol: bits is a float64 in IEEE 754 format, in milliseconds.
func durationOfMillis(bits uint64) (time.Duration, error) {
	v := math.Float64frombits(bits)
	if math.IsNaN(v) || math.IsInf(v, 0) || v > maxMillis || v < -maxMillis {
		return 0, fmt.Errorf("time %v is out of range or not a number", v)
	}
	return time.Duration(math.Round(v * 1e6)), nil
}

func toMillis(d time.Duration) float64 { return float64(d) / 1e6 }

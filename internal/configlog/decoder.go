package configlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// ErrEncoding is returned for bytes that are not an encoding of this package. Each value has exactly one encoding;
// any other is an error.
var ErrEncoding = errors.New("invalid encoding")

// decoder decodes an encoding from its start. After an error all methods return zero values. The decoded values use
// at most a small multiple of the memory of the encoding.
type decoder struct {
	b   []byte // the bytes that are not decoded yet
	err error  // the first error
}

func (d *decoder) fail(reason string) {
	if d.err == nil {
		d.err = fmt.Errorf("%w: %s, with %d bytes left", ErrEncoding, reason, len(d.b))
	}
	d.b = nil
}

// finish returns the first error. Remaining bytes are an error.
func (d *decoder) finish() error {
	if d.err == nil && len(d.b) > 0 {
		d.fail("trailing bytes")
	}
	return d.err
}

func (d *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(d.b)
	if size <= 0 || size > 1 && d.b[size-1] == 0 { // a last byte of 0 is a longer encoding of the same number
		d.fail("number is truncated or too long")
		return 0
	}
	d.b = d.b[size:]
	return n
}

// varint decodes a number that binary.AppendVarint encoded.
func (d *decoder) varint() int64 {
	n := d.uvarint()
	return int64(n>>1) ^ -int64(n&1)
}

// count decodes the number of elements that follow. It fails if the number exceeds limit, or if the remaining bytes
// are too few for elements of at least elementSize bytes each.
func (d *decoder) count(limit, elementSize int) int {
	n := d.uvarint()
	if n > uint64(limit) || n > uint64(len(d.b)/elementSize) {
		d.fail(fmt.Sprintf("count of %d elements is too large", n))
		return 0
	}
	return int(n)
}

// text decodes a text of at most limit bytes. The result is a slice of the encoding, not a copy.
func (d *decoder) text(limit int) []byte {
	n := d.count(limit, 1)
	text := d.b[:n:n]
	d.b = d.b[n:]
	return text
}

func (d *decoder) digest() (x Digest) {
	if len(d.b) < len(x) {
		d.fail("digest is truncated")
		return x
	}
	d.b = d.b[copy(x[:], d.b):]
	return x
}

func (d *decoder) bool() bool {
	n := d.uvarint()
	if n > 1 {
		d.fail("boolean is neither 0 nor 1")
	}
	return n == 1
}

// age decodes an age in nanoseconds, at most AgeUnknown.
func (d *decoder) age() time.Duration {
	n := d.uvarint()
	if n > uint64(AgeUnknown) {
		d.fail("age is out of range")
	}
	return time.Duration(min(n, uint64(AgeUnknown)))
}

func appendText[T string | Key | []byte](b []byte, text T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

func appendBool(b []byte, value bool) []byte {
	if value {
		return append(b, 1)
	}
	return append(b, 0)
}

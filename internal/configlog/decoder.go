package configlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// ErrEncoding says that bytes are not an encoding of this package. There is one encoding of each value: any
// other is rejected.
var ErrEncoding = errors.New("the encoding cannot be read")

// decoder reads an encoding from its front. After an error it returns zero values. What it returns never uses
// more memory than a few times the bytes that are there.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) fail(reason string) {
	if d.err == nil {
		d.err = fmt.Errorf("%w: %s, with %d bytes left", ErrEncoding, reason, len(d.b))
	}
	d.b = nil
}

// finish returns the first error. Bytes that are left are one.
func (d *decoder) finish() error {
	if d.err == nil && len(d.b) > 0 {
		d.fail("there is more than was expected")
	}
	return d.err
}

func (d *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(d.b)
	if size <= 0 || size > 1 && d.b[size-1] == 0 { // the second is a longer encoding of the same number
		d.fail("a number is truncated or too long")
		return 0
	}
	d.b = d.b[size:]
	return n
}

// varint reads what binary.AppendVarint has encoded.
func (d *decoder) varint() int64 {
	n := d.uvarint()
	return int64(n>>1) ^ -int64(n&1)
}

// count reads the number of elements that follow, up to limit, of which each takes at least elementSize bytes.
func (d *decoder) count(limit, elementSize int) int {
	n := d.uvarint()
	if n > uint64(limit) || n > uint64(len(d.b)/elementSize) {
		d.fail(fmt.Sprintf("%d elements are too many", n))
		return 0
	}
	return int(n)
}

// text returns a slice of the encoding itself, of up to limit bytes.
func (d *decoder) text(limit int) []byte {
	n := d.count(limit, 1)
	text := d.b[:n:n]
	d.b = d.b[n:]
	return text
}

func (d *decoder) digest() (x Digest) {
	if len(d.b) < len(x) {
		d.fail("a digest is truncated")
		return x
	}
	d.b = d.b[copy(x[:], d.b):]
	return x
}

func (d *decoder) bool() bool {
	n := d.uvarint()
	if n > 1 {
		d.fail("a boolean is neither 0 nor 1")
	}
	return n == 1
}

// age reads an age in nanoseconds, up to AgeUnknown.
func (d *decoder) age() time.Duration {
	n := d.uvarint()
	if n > uint64(AgeUnknown) {
		d.fail("an age is out of range")
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

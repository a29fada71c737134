package conf

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrEncoding says that bytes are not what this program writes.
var ErrEncoding = errors.New("the encoding cannot be read")

// AppendChange encodes a change behind b. The encoding is the same of the same change.
func AppendChange(b []byte, c Change) []byte {
	b = binary.AppendUvarint(b, c.Version)
	b = binary.AppendUvarint(b, c.Base)
	b = binary.AppendUvarint(b, c.Reverts)
	b = binary.AppendVarint(b, c.At)
	b = appendText(b, c.Author)
	b = appendText(b, c.Note)
	b = appendText(b, c.Stage.Zone)
	b = append(b, c.Digest[:]...)
	b = binary.AppendUvarint(b, uint64(len(c.Records)))
	for _, r := range c.Records {
		b = appendText(b, r.Key)
		b = appendText(b, r.Value)
	}
	return b
}

func appendText[T string | Key | []byte](b []byte, text T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// DecodeChange reads what AppendChange made, and nothing else. Whether the change can be used is for
// Propose and Apply to say.
func DecodeChange(b []byte) (Change, error) {
	d := decoder{b: b}
	c := d.change()
	return c, d.end()
}

// decoder reads an encoding from its front. After a mistake it gives zeros. What it gives never takes
// more room than a few times the bytes that are there.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = fmt.Errorf("%w: %s, with %d bytes left", ErrEncoding, what, len(d.b))
	}
	d.b = nil
}

func (d *decoder) end() error {
	if d.err == nil && len(d.b) > 0 {
		d.fail("there is more than was said")
	}
	return d.err
}

func (d *decoder) number() uint64 {
	n, size := binary.Uvarint(d.b)
	if size <= 0 || size > 1 && d.b[size-1] == 0 { // the second is a longer way to write the same
		d.fail("a number is cut or too long")
		return 0
	}
	d.b = d.b[size:]
	return n
}

// count is a number of things of which each takes some bytes at least.
func (d *decoder) count(most, each int) int {
	n := d.number()
	if n > uint64(most) || n > uint64(len(d.b)/each) {
		d.fail(fmt.Sprintf("%d is too many", n))
		return 0
	}
	return int(n)
}

// text is a view into the encoding.
func (d *decoder) text(most int) []byte {
	n := d.count(most, 1)
	text := d.b[:n:n]
	d.b = d.b[n:]
	return text
}

func (d *decoder) digest() (x Digest) {
	if len(d.b) < len(x) {
		d.fail("a digest is cut")
		return x
	}
	d.b = d.b[copy(x[:], d.b):]
	return x
}

func (d *decoder) record() Record {
	r := Record{Key: Key(d.text(MaxKey))}
	if v := d.text(MaxValue); len(v) > 0 {
		r.Value = append([]byte(nil), v...)
	}
	return r
}

func (d *decoder) change() (c Change) {
	c.Version, c.Base, c.Reverts = d.number(), d.number(), d.number()
	at := d.number() // as AppendVarint folds it
	c.At = int64(at>>1) ^ -int64(at&1)
	c.Author = string(d.text(MaxText))
	c.Note = string(d.text(MaxText))
	c.Stage.Zone = string(d.text(MaxText))
	c.Digest = d.digest()
	if n := d.count(MaxChangeRecords, 8); n > 0 {
		c.Records = make([]Record, n)
	}
	for i := range c.Records {
		c.Records[i] = d.record()
	}
	return c
}

package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
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

// minChange is what an encoded change takes at least.
const minChange = 7 + sha256.Size + 1

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

// AppendEntry encodes a change as the next entry of a journal, which goes on from a copy on disk.
func AppendEntry(b []byte, c Change) []byte { return appendText(b, AppendChange(nil, c)) }

// Replay applies a journal's changes that the state has not yet, as far as they come out, and says how many of its
// bytes do. What is behind these was cut, as by a crash, or damaged.
func Replay(s *State, journal []byte) (good int, err error) {
	d := decoder{b: journal}
	for len(d.b) > 0 {
		text := d.text(MaxEncoded)
		if d.err != nil {
			return good, d.err
		}
		c, err := DecodeChange(text)
		if err != nil {
			return good, err
		}
		if err := s.Apply(c); err != nil && c.Version > s.Version() {
			return good, err
		}
		good = len(journal) - len(d.b)
	}
	return good, nil
}

// The kinds of words, as their first byte.
const (
	offerWord = iota + 1
	changesWord
	pieceWord
	resumeWord
)

// MaxWord is what an encoded word takes at most where snapshots come without the log, and MaxLogWord where they
// come with it.
const (
	MaxWord    = MaxEncoded + MaxBare
	MaxLogWord = MaxPiece + 64
)

// AppendWord encodes a relay's word behind b.
func AppendWord(b []byte, w Word) []byte {
	switch w := w.(type) {
	case Offer:
		b = binary.AppendUvarint(append(b, offerWord), w.Version)
		b = append(b, w.Digest[:]...)
		b = binary.AppendUvarint(b, uint64(min(max(w.Age, 0), Never)))
		return appendBool(b, w.Busy)
	case Changes:
		b = binary.AppendUvarint(append(b, changesWord), uint64(len(w)))
		for _, c := range w {
			b = AppendChange(b, c)
		}
	case Piece:
		b = AppendPiece(append(b, pieceWord), w)
	}
	return b
}

// DecodeWord reads what AppendWord made, and nothing else.
func DecodeWord(b []byte) (Word, error) {
	if len(b) == 0 {
		return nil, fmt.Errorf("%w: an empty word", ErrEncoding)
	}
	d := decoder{b: b[1:]}
	switch b[0] {
	case offerWord:
		o := Offer{Version: d.number(), Digest: d.digest(), Age: d.age(), Busy: d.bool()}
		return o, d.end()
	case changesWord:
		all := make(Changes, d.count(MaxLog, minChange))
		for i := range all {
			all[i] = d.change()
		}
		return all, d.end()
	case pieceWord:
		return DecodePiece(b[1:])
	}
	return nil, fmt.Errorf("%w: a word of kind %d", ErrEncoding, b[0])
}

// AppendResume encodes what a follower asks of a stream, behind b.
func AppendResume(b []byte, r Resume) []byte {
	b = binary.AppendUvarint(append(b, resumeWord), r.Version)
	return appendBool(append(b, r.Digest[:]...), r.Log)
}

// DecodeResume reads what AppendResume made, and nothing else. Its Stream is the reader's to know.
func DecodeResume(b []byte) (Resume, error) {
	if len(b) == 0 || b[0] != resumeWord {
		return Resume{}, fmt.Errorf("%w: a word of no follower", ErrEncoding)
	}
	d := decoder{b: b[1:]}
	r := Resume{Version: d.number(), Digest: d.digest(), Log: d.bool()}
	return r, d.end()
}

func appendBool(b []byte, is bool) []byte {
	if is {
		return append(b, 1)
	}
	return append(b, 0)
}

func (d *decoder) age() time.Duration {
	n := d.number()
	if n > uint64(Never) {
		d.fail("an age beyond all")
	}
	return time.Duration(min(n, uint64(Never)))
}

func (d *decoder) bool() bool {
	n := d.number()
	if n > 1 {
		d.fail("neither yes nor no")
	}
	return n == 1
}

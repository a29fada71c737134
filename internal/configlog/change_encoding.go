package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

const (
	// MaxEncodedChange bounds an encoded change, in bytes.
	MaxEncodedChange = MaxChangeBytes + 64<<10
	// minChangeBytes is the minimum size of an encoded change: seven numbers, a digest and a count.
	minChangeBytes = 7 + sha256.Size + 1
	// minRecordBytes is the minimum size of an encoded record: two lengths and the shortest key.
	minRecordBytes = 8
)

// AppendChange appends the encoding of a change to b.
func AppendChange(b []byte, c Change) []byte {
	b = binary.AppendUvarint(b, c.Version)
	b = binary.AppendUvarint(b, c.BaseVersion)
	b = binary.AppendUvarint(b, c.Reverts)
	b = binary.AppendVarint(b, c.UnixMillis)
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

// DecodeChange decodes a change that AppendChange encoded. It does not validate the change; State.Propose and
// State.Apply do.
func DecodeChange(b []byte) (Change, error) {
	d := decoder{b: b}
	c := d.change()
	return c, d.finish()
}

func (d *decoder) change() (c Change) {
	c.Version, c.BaseVersion, c.Reverts = d.uvarint(), d.uvarint(), d.uvarint()
	c.UnixMillis = d.varint()
	c.Author = string(d.text(MaxText))
	c.Note = string(d.text(MaxText))
	c.Stage.Zone = string(d.text(MaxText))
	c.Digest = d.digest()
	if n := d.count(MaxChangeRecords, minRecordBytes); n > 0 {
		c.Records = make([]Record, n)
	}
	for i := range c.Records {
		c.Records[i] = d.record()
	}
	return c
}

func (d *decoder) record() Record {
	r := Record{Key: Key(d.text(MaxKey))}
	if v := d.text(MaxValue); len(v) > 0 {
		r.Value = append([]byte(nil), v...)
	}
	return r
}

// AppendEntry appends a change to a journal: the encoded changes after a snapshot, as they are stored on disk.
func AppendEntry(b []byte, c Change) []byte { return appendText(b, AppendChange(nil, c)) }

// Replay applies the changes of a journal that the state does not yet contain. It returns the length in bytes of the
// journal's valid prefix. If the journal continues after it, the rest is truncated, for example by a crash, or
// damaged, and the error describes the fault.
func Replay(s *State, journal []byte) (good int, err error) {
	d := decoder{b: journal}
	for len(d.b) > 0 {
		text := d.text(MaxEncodedChange)
		if d.err != nil {
			return good, d.err
		}
		c, err := DecodeChange(text)
		if err != nil {
			return good, err
		}
		if err := s.Apply(c); err != nil && c.Version > s.Version() {
			return good, fmt.Errorf("replaying the change of version %d: %w", c.Version, err)
		}
		good = len(journal) - len(d.b)
	}
	return good, nil
}

package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// minVersionedRecordBytes is the minimum size of an encoded VersionedRecord: a record and a version.
const minVersionedRecordBytes = minRecordBytes + 1

// AppendChunk appends the encoding of a snapshot's chunk to b.
func AppendChunk(b []byte, c SnapshotChunk) []byte {
	b = binary.AppendUvarint(b, c.Version)
	for _, x := range [...]Digest{c.Digest, c.Chain, c.FloorDigest, c.FloorChain} {
		b = append(b, x[:]...)
	}
	b = appendText(b, c.After)
	b = binary.AppendUvarint(b, c.LogOffset)
	b = appendBool(b, c.Last)
	b = appendVersionedRecords(b, c.Records)
	b = binary.AppendUvarint(b, uint64(len(c.Changes)))
	for _, logged := range c.Changes {
		b = AppendChange(b, logged.Change)
		b = appendVersionedRecords(b, logged.Before)
	}
	return b
}

func appendVersionedRecords(b []byte, records []VersionedRecord) []byte {
	b = binary.AppendUvarint(b, uint64(len(records)))
	for _, r := range records {
		b = appendText(b, r.Key)
		b = appendText(b, r.Value)
		b = binary.AppendUvarint(b, r.ModVersion)
	}
	return b
}

// DecodeChunk decodes a chunk that AppendChunk encoded. It does not validate the chunk; SnapshotBuilder.Add does. The
// error wraps ErrEncoding.
func DecodeChunk(b []byte) (SnapshotChunk, error) {
	d := decoder{b: b}
	var c SnapshotChunk
	c.Version = d.uvarint()
	c.Digest, c.Chain = d.digest(), d.digest()
	c.FloorDigest, c.FloorChain = d.digest(), d.digest()
	c.After = Key(d.text(MaxKey))
	c.LogOffset = d.uvarint()
	c.Last = d.bool()
	c.Records = d.versionedRecords(MaxRecords)
	for range d.count(MaxLog, minChangeBytes) {
		c.Changes = append(c.Changes, LoggedChange{Change: d.change(), Before: d.versionedRecords(MaxChangeRecords)})
	}
	return c, d.finish()
}

func (d *decoder) versionedRecords(limit int) (records []VersionedRecord) {
	if n := d.count(limit, minVersionedRecordBytes); n > 0 {
		records = make([]VersionedRecord, n)
	}
	for i := range records {
		records[i] = VersionedRecord{Record: d.record(), ModVersion: d.uvarint()}
	}
	return records
}

// Encode encodes the whole snapshot. The encoding ends with a hash of all of it, because the state's digest does not
// cover the records that the log's changes replaced.
func (s Snapshot) Encode() []byte {
	var b []byte
	for c := (SnapshotChunk{}); !c.Last; {
		c = s.Chunk(c)
		b = appendText(b, AppendChunk(nil, c))
	}
	sum := sha256.Sum256(b)
	return append(b, sum[:]...)
}

// Restore decodes a snapshot that Encode encoded. The error wraps ErrEncoding, ErrSnapshot or ErrDigestMismatch if the
// encoding is truncated, damaged or not that of a single state.
func Restore(b []byte) (*State, error) {
	if len(b) < sha256.Size {
		return nil, fmt.Errorf("%w: snapshot is truncated", ErrEncoding)
	}
	b, sum := b[:len(b)-sha256.Size], Digest(b[len(b)-sha256.Size:])
	if sha256.Sum256(b) != sum {
		return nil, fmt.Errorf("%w: snapshot is truncated or damaged", ErrEncoding)
	}
	d, builder := decoder{b: b}, NewSnapshotBuilder()
	for {
		text := d.text(MaxChunk)
		if d.err != nil {
			return nil, d.err
		}
		c, err := DecodeChunk(text)
		if err != nil {
			return nil, err
		}
		s, err := builder.Add(c)
		if err != nil {
			return nil, err
		}
		if s != nil {
			return s, d.finish()
		}
	}
}

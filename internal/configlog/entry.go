package configlog

import "strings"

// entry is a record of a state. It is immutable, so that states and snapshots share it.
type entry struct {
	text       string // the key followed by the value: one allocation for both
	keyLen     uint32
	modVersion uint64 // the version that last changed the record
}

func newEntry(r Record, modVersion uint64) *entry {
	var b strings.Builder
	b.Grow(r.size())
	b.WriteString(string(r.Key))
	b.Write(r.Value)
	return &entry{text: b.String(), keyLen: uint32(len(r.Key)), modVersion: modVersion}
}

func (e *entry) key() Key      { return Key(e.text[:e.keyLen]) }
func (e *entry) value() string { return e.text[e.keyLen:] }

func (e *entry) record() Record { return Record{Key: e.key(), Value: []byte(e.value())} }

func (e *entry) versionedRecord() VersionedRecord {
	return VersionedRecord{Record: e.record(), ModVersion: e.modVersion}
}

// lessEntry orders entries by key.
func lessEntry(a, b *entry) bool { return a.key() < b.key() }

// searchEntry returns an entry for searching a tree by key. It has no value.
func searchEntry(k Key) *entry { return &entry{text: string(k), keyLen: uint32(len(k))} }

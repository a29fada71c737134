// Package configlog is a configuration of named records that many nodes have in force: one order of
// changes, what follows from each, and how who is behind gets level. It is pure: changes, words of
// others and the reader's own monotonic time go in, and nothing else is asked.
//
// Voters Propose, in the order of their log, and are all told the same. All others Apply what the
// voters made of it, one version after another, and never have in force what a digest doesn't bear out.
package configlog

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// Bounds of a configuration. Beyond them a change is turned down with ErrFull or ErrMalformed.
const (
	MaxRecords       = 1 << 18
	MaxKey           = 1 << 10  // bytes
	MaxValue         = 64 << 10 // bytes
	MaxBytes         = 64 << 20 // of all keys and values
	MaxChangeRecords = 4096
	MaxChangeBytes   = 1 << 20 // of its keys and values
	MaxText          = 1 << 10 // bytes of an author, a note, a zone
	// MaxEncoded is what an encoded change takes at most.
	MaxEncoded = MaxChangeBytes + 64<<10
	// MaxLog and MaxLogBytes bound the changes that are remembered: for those that are a little
	// behind, for rollbacks, and for finding conflicts.
	MaxLog      = 4096
	MaxLogBytes = 8 << 20
	// revived is how far a revived state's version lies beyond its copy's: no group has come
	// further since.
	revived = 1 << 32
)

// Why a change did not come about.
var (
	ErrMalformed = errors.New("the change cannot be used")
	ErrConflict  = errors.New("another change came first")
	ErrFull      = errors.New("the configuration has no room")
	ErrGap       = errors.New("changes before this one are missing")
	ErrStale     = errors.New("the change is in force already")
	ErrDigest    = errors.New("the digest does not come out")
	ErrForgotten = errors.New("the version is not remembered any more")
)

// Key names a record: "pool/NAME", "service/NAME", "service/NAME/route/NAME" or
// "service/NAME/tenant/NAME", each name escaped as in a URL's path.
type Key string

// PoolKey, ServiceKey, RouteKey and TenantKey are the keys of records by their names.
func PoolKey(name string) Key    { return Key("pool/" + url.PathEscape(name)) }
func ServiceKey(name string) Key { return Key("service/" + url.PathEscape(name)) }
func RouteKey(service, name string) Key {
	return ServiceKey(service) + "/route/" + Key(url.PathEscape(name))
}
func TenantKey(service, name string) Key {
	return ServiceKey(service) + "/tenant/" + Key(url.PathEscape(name))
}

// Kind is what a record is of.
type Kind uint8

// The kinds of records.
const (
	Pool Kind = iota + 1
	Service
	Route
	Tenant
)

// Split gives the kind of a key, the service that it is under, if any, and its name. It fails for
// what is no key, and for one that is not written as PoolKey and its like write it.
func (k Key) Split() (kind Kind, service, name string, err error) {
	top, rest, _ := strings.Cut(string(k), "/")
	first, rest, under := strings.Cut(rest, "/")
	below, second, _ := strings.Cut(rest, "/")
	a, ok := unescape(first)
	switch {
	case !ok || len(k) > MaxKey:
	case under:
		b, ok := unescape(second)
		switch {
		case !ok || top != "service":
		case below == "route":
			return Route, a, b, nil
		case below == "tenant":
			return Tenant, a, b, nil
		}
	case top == "pool":
		return Pool, "", a, nil
	case top == "service":
		return Service, "", a, nil
	}
	return 0, "", "", fmt.Errorf("%w: %.80q is no key", ErrMalformed, string(k))
}

// unescape gives the name that is written so in a key.
func unescape(text string) (name string, ok bool) {
	name, err := url.PathUnescape(text)
	return name, err == nil && name != "" && url.PathEscape(name) == text
}

// parent is the record that has to be there for this one to be; "" for none.
func (k Key) parent() Key {
	at := strings.IndexByte(string(k), '/')
	if end := strings.IndexByte(string(k[at+1:]), '/'); end >= 0 {
		return k[:at+1+end]
	}
	return ""
}

// Record is what a key stands for: the canonical JSON object of its table, as the operator's file has
// it. No Value means that the record is deleted.
type Record struct {
	Key   Key
	Value []byte
}

// Digest stands for a whole configuration and how it came about.
type Digest [sha256.Size]byte

// Stage is where a change holds first; the zero one is everywhere at once.
type Stage struct {
	Zone string
}

// Change is one step of the one order.
type Change struct {
	Version uint64   // its place, from 1; 0 in a proposal
	Base    uint64   // the version that it rests on
	Records []Record // each key once; their order says nothing
	Author  string
	Note    string
	At      int64  // Unix time in milliseconds; told, never compared
	Reverts uint64 // the version whose records it restores; 0 for none
	Stage   Stage
	Digest  Digest // of the whole state after it; zero in a proposal
}

// check says whether a change can be used by itself, and gives it with its records in order.
func (c Change) check() (Change, error) {
	if len(c.Records) == 0 || len(c.Records) > MaxChangeRecords {
		return c, fmt.Errorf("%w: it has %d records, 1 to %d are wanted", ErrMalformed, len(c.Records), MaxChangeRecords)
	}
	if len(c.Author) > MaxText || len(c.Note) > MaxText || len(c.Stage.Zone) > MaxText {
		return c, fmt.Errorf("%w: an author, a note or a zone is longer than %d bytes", ErrMalformed, MaxText)
	}
	bytes := 0
	for _, r := range c.Records {
		if _, _, _, err := r.Key.Split(); err != nil {
			return c, err
		}
		if len(r.Value) > MaxValue {
			return c, fmt.Errorf("%w: %s has %d bytes, %d are allowed", ErrMalformed, r.Key, len(r.Value), MaxValue)
		}
		bytes += r.size()
	}
	if bytes > MaxChangeBytes {
		return c, fmt.Errorf("%w: it has %d bytes, %d are allowed", ErrMalformed, bytes, MaxChangeBytes)
	}
	byKey := func(a, b Record) int { return cmp.Compare(a.Key, b.Key) }
	c.Records = slices.Clone(c.Records)
	slices.SortFunc(c.Records, byKey)
	for i := range c.Records[1:] {
		if c.Records[i].Key == c.Records[i+1].Key {
			return c, fmt.Errorf("%w: %s is in it twice", ErrMalformed, c.Records[i].Key)
		}
	}
	return c, nil
}

// find gives the record of a key of a change that was checked.
func (c Change) find(k Key) (Record, bool) {
	at, ok := slices.BinarySearchFunc(c.Records, k, func(r Record, k Key) int { return cmp.Compare(r.Key, k) })
	if !ok {
		return Record{}, false
	}
	return c.Records[at], true
}

func (r Record) size() int { return len(r.Key) + len(r.Value) }

// size is what a change counts for in the log.
func (c Change) size() int {
	n := len(c.Author) + len(c.Note) + len(c.Stage.Zone) + sha256.Size
	for _, r := range c.Records {
		n += r.size()
	}
	return n
}

// entry is a record that is there. It never changes, so that snapshots share it.
type entry struct {
	text    string // the key, and the value behind it: one allocation for both
	cut     uint32 // where the value begins
	changed uint64 // the version of its last change
}

func newEntry(r Record, changed uint64) *entry {
	var b strings.Builder
	b.Grow(r.size())
	b.WriteString(string(r.Key))
	b.Write(r.Value)
	return &entry{b.String(), uint32(len(r.Key)), changed}
}

func (e *entry) key() Key       { return Key(e.text[:e.cut]) }
func (e *entry) value() string  { return e.text[e.cut:] }
func (e *entry) record() Record { return Record{e.key(), []byte(e.value())} }

func less(a, b *entry) bool { return a.key() < b.key() }

// pivot is an entry to look others up by.
func pivot(k Key) *entry { return &entry{text: string(k), cut: uint32(len(k))} }

// The digest of the records is a hash tree of two levels: each record is in one of fanout*fanout
// buckets by its key, a bucket is hashed over its records in order, fanout buckets make a branch, and
// the branches the root. What a change costs is then its own buckets and branches.
const fanout = 64

type tree struct {
	buckets  [fanout * fanout][]*entry
	leaves   [fanout * fanout]Digest
	branches [fanout]Digest
	stale    map[int]bool // buckets that changed since their leaf was drawn
	scratch  []byte
}

// bucket is where a key belongs, the same everywhere.
func bucket(k Key) int {
	h := uint64(14695981039346656037) // FNV-1a
	for i := range len(k) {
		h = (h ^ uint64(k[i])) * 1099511628211
	}
	return int((h ^ h>>32) % (fanout * fanout))
}

// put has one entry in place of another under a key; either may be nil.
func (t *tree) put(k Key, is *entry) {
	i := bucket(k)
	t.stale[i] = true
	at, ok := slices.BinarySearchFunc(t.buckets[i], k, func(e *entry, k Key) int { return cmp.Compare(e.key(), k) })
	switch {
	case ok && is == nil:
		t.buckets[i] = slices.Delete(t.buckets[i], at, at+1)
	case ok:
		t.buckets[i][at] = is
	case is != nil:
		t.buckets[i] = slices.Insert(t.buckets[i], at, is)
	}
}

// root draws what is stale anew, and gives the digest of all records.
func (t *tree) root() Digest {
	branches := make(map[int]bool)
	for i := range t.stale {
		b := t.scratch[:0]
		for _, e := range t.buckets[i] {
			b = binary.AppendUvarint(b, uint64(e.cut))
			b = binary.AppendUvarint(b, uint64(len(e.text)))
			b = append(b, e.text...)
			b = binary.AppendUvarint(b, e.changed)
		}
		if t.leaves[i] = sha256.Sum256(b); len(b) == 0 {
			t.leaves[i] = Digest{}
		}
		if t.scratch = b; cap(b) > MaxChangeBytes {
			t.scratch = nil
		}
		branches[i/fanout] = true
	}
	clear(t.stale)
	for i := range branches {
		t.branches[i] = over(t.leaves[i*fanout : (i+1)*fanout])
	}
	return over(t.branches[:])
}

func over(all []Digest) Digest {
	h := sha256.New()
	for i := range all {
		_, _ = h.Write(all[i][:])
	}
	return Digest(h.Sum(nil))
}

// The digest of a state covers its version, its records and, by the chain, every change before it
// with its digest: two ways to the same records are told apart.
func digest(version uint64, root, chain Digest) Digest {
	b := append([]byte("conf"), root[:]...)
	return sha256.Sum256(binary.BigEndian.AppendUint64(append(b, chain[:]...), version))
}

// chained goes on with the chain, from what it was and the digest then, by a change.
func chained(chain, before Digest, c Change) Digest {
	c.Digest = Digest{}
	return sha256.Sum256(AppendChange(append(chain[:], before[:]...), c))
}

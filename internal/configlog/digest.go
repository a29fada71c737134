package configlog

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// fanout is the number of children of each node of the hash tree.
const fanout = 64

// hashTree is a two-level hash tree over a state's records. The key of a record determines its bucket, one of
// fanout*fanout. A leaf is the hash of a bucket's records in key order, a branch is the hash of fanout leaves, and
// the root is the hash of all branches. A change therefore recomputes only the buckets and branches of its own
// records.
type hashTree struct {
	buckets  [fanout * fanout][]*entry
	leaves   [fanout * fanout]Digest // the hash of each bucket; zero for an empty one
	branches [fanout]Digest
	dirty    map[int]bool // buckets that have changed since their leaf was computed
	buffer   []byte       // reused to encode the records of a bucket
}

// bucketOf returns the bucket of a key, by a folded FNV-1a hash. It is the same on all nodes.
func bucketOf(k Key) int {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(k) {
		h = (h ^ uint64(k[i])) * prime
	}
	return int((h ^ h>>32) % (fanout * fanout))
}

// put replaces the entry of a key; nil removes it.
func (t *hashTree) put(k Key, e *entry) {
	i := bucketOf(k)
	t.dirty[i] = true
	at, found := slices.BinarySearchFunc(t.buckets[i], k, func(e *entry, k Key) int { return cmp.Compare(e.key(), k) })
	switch {
	case found && e == nil:
		t.buckets[i] = slices.Delete(t.buckets[i], at, at+1)
	case found:
		t.buckets[i][at] = e
	case e != nil:
		t.buckets[i] = slices.Insert(t.buckets[i], at, e)
	}
}

// root recomputes the leaves and branches of changed buckets, and returns the hash of all records.
func (t *hashTree) root() Digest {
	dirtyBranches := make(map[int]bool)
	for i := range t.dirty {
		t.leaves[i] = t.hashBucket(i)
		dirtyBranches[i/fanout] = true
	}
	clear(t.dirty)
	for i := range dirtyBranches {
		t.branches[i] = hashDigests(t.leaves[i*fanout : (i+1)*fanout])
	}
	return hashDigests(t.branches[:])
}

// hashBucket computes the leaf of a bucket.
func (t *hashTree) hashBucket(i int) Digest {
	if len(t.buckets[i]) == 0 {
		return Digest{}
	}
	b := t.buffer[:0]
	for _, e := range t.buckets[i] {
		b = binary.AppendUvarint(b, uint64(e.keyLen))
		b = binary.AppendUvarint(b, uint64(len(e.text)))
		b = append(b, e.text...)
		b = binary.AppendUvarint(b, e.modVersion)
	}
	t.buffer = b
	if cap(b) > MaxChangeBytes { // do not retain a buffer that one large bucket needed
		t.buffer = nil
	}
	return sha256.Sum256(b)
}

// hashDigests returns the hash of a sequence of digests.
func hashDigests(all []Digest) Digest {
	h := sha256.New()
	for i := range all {
		_, _ = h.Write(all[i][:]) // hash.Hash.Write never returns an error
	}
	return Digest(h.Sum(nil))
}

// stateDigest returns the digest of a state. It covers the version, the records and, through the hash chain, all
// earlier changes.
func stateDigest(version uint64, root, chain Digest) Digest {
	b := append([]byte("conf"), root[:]...)
	return sha256.Sum256(binary.BigEndian.AppendUint64(append(b, chain[:]...), version))
}

// nextChain returns the hash chain extended by a change. The digest before is that of the state before the change.
func nextChain(chain, before Digest, c Change) Digest {
	c.Digest = Digest{}
	return sha256.Sum256(AppendChange(append(chain[:], before[:]...), c))
}

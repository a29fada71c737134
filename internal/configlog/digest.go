package configlog

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// fanout is the number of children of each node of the hash tree.
const fanout = 64

// hashTree is a hash tree of two levels over a state's records. Each record is in one of fanout*fanout buckets
// by its key. A leaf is the hash of a bucket's records in order, a branch that of fanout leaves, and the
// root that of all branches. A change so costs the hashes of its own buckets and branches.
type hashTree struct {
	buckets  [fanout * fanout][]*entry
	leaves   [fanout * fanout]Digest // zero for an empty bucket
	branches [fanout]Digest
	dirty    map[int]bool // buckets that have changed since their leaf was computed
	buffer   []byte       // reused for the records of a bucket
}

// bucketOf is the bucket of a key, the same at all nodes: FNV-1a, folded.
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

// root recomputes what has changed, and returns the hash of all records.
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
	if cap(b) > MaxChangeBytes { // no more is kept for one large bucket
		t.buffer = nil
	}
	return sha256.Sum256(b)
}

// hashDigests is the hash of a sequence of digests.
func hashDigests(all []Digest) Digest {
	h := sha256.New()
	for i := range all {
		_, _ = h.Write(all[i][:]) // it never returns an error
	}
	return Digest(h.Sum(nil))
}

// stateDigest is the digest of a state: it covers the version, the records and, by the chain, all changes
// before.
func stateDigest(version uint64, root, chain Digest) Digest {
	b := append([]byte("conf"), root[:]...)
	return sha256.Sum256(binary.BigEndian.AppendUint64(append(b, chain[:]...), version))
}

// nextChain extends the hash chain by a change to a state with the given digest.
func nextChain(chain, before Digest, c Change) Digest {
	c.Digest = Digest{}
	return sha256.Sum256(AppendChange(append(chain[:], before[:]...), c))
}

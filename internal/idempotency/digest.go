package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// Digester computes the digest of a request as its body arrives.
type Digester struct{ hash hash.Hash }

// NewDigester begins the digest of a request. Headers are not part of it: clients and proxies change them
// from one attempt to the next.
func NewDigester(method, target string) Digester {
	d := Digester{sha256.New()}
	writeTexts(d.hash, method, target)
	return d
}

// Write adds the next part of the body. It never fails.
func (d Digester) Write(p []byte) (int, error) { return d.hash.Write(p) }

// Sum returns the digest of what was written so far.
func (d Digester) Sum() Digest { return Digest(d.hash.Sum(nil)) }

// Hash returns a name of fixed length for the key, whose texts may be long. Files of keys have it, so it must
// not change.
func (k Key) Hash() [sha256.Size]byte {
	h := sha256.New()
	writeTexts(h, k.Tenant, k.Class, k.Text)
	return [sha256.Size]byte(h.Sum(nil))
}

// writeTexts hashes texts, each after its length, so that no two lists of texts run into each other.
func writeTexts(h hash.Hash, texts ...string) {
	for _, text := range texts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		h.Write(length[:])
		h.Write([]byte(text))
	}
}

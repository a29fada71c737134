package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// Digester computes the digest of a request as its body arrives.
type Digester struct{ hash hash.Hash }

// NewDigester returns the Digester of a request with this method and target. Headers are not part of the
// digest: clients and proxies change them from one attempt to the next.
func NewDigester(method, target string) Digester {
	d := Digester{sha256.New()}
	writeTexts(d.hash, method, target)
	return d
}

// Write adds the next part of the body to the digest. It never returns an error.
func (d Digester) Write(p []byte) (int, error) { return d.hash.Write(p) }

// Sum returns the digest of the data written so far.
func (d Digester) Sum() Digest { return Digest(d.hash.Sum(nil)) }

// Hash returns a fixed-length identifier of the key, whose fields may be long. Key files contain this hash, so
// its computation must not change.
func (k Key) Hash() [sha256.Size]byte {
	h := sha256.New()
	writeTexts(h, k.Tenant, k.Class, k.Text)
	return [sha256.Size]byte(h.Sum(nil))
}

// KeyText returns the text of the key of a request that is identified by its digest. No client can send it as a key,
// since no header can contain a zero byte.
func (d Digest) KeyText() string { return "\x00" + string(d[:]) }

// writeTexts hashes each text after its length, so that two different lists of texts never have the same input
// to the hash.
func writeTexts(h hash.Hash, texts ...string) {
	for _, text := range texts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		h.Write(length[:])
		h.Write([]byte(text))
	}
}

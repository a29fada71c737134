package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"strings"
)

// MaxText is the longest key that a client may send, in bytes.
const MaxText = 255

// Why a key cannot be used.
var (
	ErrMany      = errors.New("want one Idempotency-Key")
	ErrMalformed = errors.New("want an Idempotency-Key of 1 to 255 printable characters, bare or as a quoted string")
)

// ParseText reads a request's Idempotency-Key fields. The draft of the IETF's httpapi group
// has a quoted string of structured fields (RFC 9651, 3.3.3); many clients send the bare
// text. Either names the same key. "" without an error is for none.
func ParseText(fields []string) (string, error) {
	switch len(fields) {
	case 0:
		return "", nil
	case 1:
	default:
		return "", fmt.Errorf("%w, not %d", ErrMany, len(fields))
	}
	text := strings.Trim(fields[0], " \t")
	if inner, ok := strings.CutPrefix(text, `"`); ok {
		var err error
		if text, err = unquote(inner); err != nil {
			return "", err
		}
	} else if strings.ContainsAny(text, "\", \t;") {
		// A list or parameters: which of these would be the key is anybody's guess.
		return "", ErrMalformed
	}
	if text == "" || len(text) > MaxText {
		return "", ErrMalformed
	}
	for i := range len(text) {
		if text[i] < 0x20 || text[i] > 0x7e {
			return "", ErrMalformed
		}
	}
	return text, nil
}

// unquote reads a quoted string behind its first quote.
func unquote(s string) (string, error) {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch c := s[i]; c {
		case '"':
			if i != len(s)-1 {
				return "", ErrMalformed // parameters, or a list
			}
			return b.String(), nil
		case '\\':
			if i++; i == len(s) || s[i] != '"' && s[i] != '\\' {
				return "", ErrMalformed
			}
			b.WriteByte(s[i])
		default:
			b.WriteByte(c)
		}
	}
	return "", ErrMalformed
}

// Digester takes the digest of a request as its body passes.
type Digester struct{ of hash.Hash }

// NewDigester begins the digest of a request. Headers are not part of it: clients and what
// lies between change them from try to try.
func NewDigester(method, target string) Digester {
	d := Digester{sha256.New()}
	for _, s := range []string{method, target} {
		var n [8]byte // so that no two texts run into each other
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		d.of.Write(n[:])
		d.of.Write([]byte(s))
	}
	return d
}

// Write takes what has come of the body. It returns no error.
func (d Digester) Write(p []byte) (int, error) { return d.of.Write(p) }

// Sum is the digest of all that was written.
func (d Digester) Sum() Digest { return Digest(d.of.Sum(nil)) }

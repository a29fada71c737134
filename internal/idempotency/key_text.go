package idempotency

import (
	"errors"
	"fmt"
	"strings"
)

// MaxTextBytes is the longest key that a client may send, in bytes: longer than any UUID or hash, and short
// enough to be kept.
const MaxTextBytes = 255

// Why a key cannot be used. Clients get the texts.
var (
	ErrMultipleKeys = errors.New("want one Idempotency-Key")
	ErrMalformedKey = errors.New("want an Idempotency-Key of 1 to 255 printable characters, bare or as a quoted string")
)

// ParseText reads a request's Idempotency-Key fields. The draft of the IETF's httpapi working group has a
// quoted string of structured fields (RFC 9651, 3.3.3); many clients send the bare text. Either names the
// same key. It returns "" for no field. Its error wraps ErrMultipleKeys or ErrMalformedKey.
func ParseText(fields []string) (string, error) {
	switch len(fields) {
	case 0:
		return "", nil
	case 1:
	default:
		return "", fmt.Errorf("%w, not %d", ErrMultipleKeys, len(fields))
	}
	text := strings.Trim(fields[0], " \t")
	if inner, ok := strings.CutPrefix(text, `"`); ok {
		var err error
		if text, err = unquote(inner); err != nil {
			return "", err
		}
	} else if strings.ContainsAny(text, "\", \t;") {
		// A list or parameters: it is not clear which of these is the key.
		return "", ErrMalformedKey
	}
	if text == "" || len(text) > MaxTextBytes {
		return "", ErrMalformedKey
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) {
		return "", ErrMalformedKey
	}
	return text, nil
}

// unquote reads a quoted string after its opening quote. Its error is ErrMalformedKey.
func unquote(s string) (string, error) {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch c := s[i]; c {
		case '"':
			if i != len(s)-1 {
				return "", ErrMalformedKey // parameters, or a list
			}
			return b.String(), nil
		case '\\':
			if i++; i == len(s) || s[i] != '"' && s[i] != '\\' {
				return "", ErrMalformedKey
			}
			b.WriteByte(s[i])
		default:
			b.WriteByte(c)
		}
	}
	return "", ErrMalformedKey
}

package idempotency

import (
	"errors"
	"fmt"
	"strings"
)

// MaxTextBytes is the maximum length of a key sent by a client, in bytes. It is longer than any UUID or hash,
// and short enough to store.
const MaxTextBytes = 255

// Errors of ParseText. Their texts are sent to clients.
var (
	ErrMultipleKeys = errors.New("want one Idempotency-Key")
	ErrMalformedKey = errors.New("want an Idempotency-Key of 1 to 255 printable characters, bare or as a quoted string")
)

// ParseText parses the Idempotency-Key fields of a request and returns the key. The draft of the IETF httpapi
// working group defines the value as a quoted string of structured fields (RFC 9651, section 3.3.3); many
// clients send the bare text. Both forms denote the same key. ParseText returns "" if there is no field. Its
// error wraps ErrMultipleKeys or ErrMalformedKey.
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
		// A list or parameters: it is ambiguous which part is the key.
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

// unquote parses a quoted string, given the text after its opening quote. Its error is ErrMalformedKey.
func unquote(s string) (string, error) {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch c := s[i]; c {
		case '"':
			if i != len(s)-1 {
				return "", ErrMalformedKey // parameters or a list follow
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

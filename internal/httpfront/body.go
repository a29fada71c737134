package httpfront

import (
	"fmt"
	"io"
)

// readBody reads a request's body whole. Room grows with what has come, not with
// what a length promises, or silent clients could hold it all; the connections'
// cap bounds how many are read at a time.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	b, err := io.ReadAll(io.LimitReader(r, length))
	switch {
	case err != nil:
		return nil, fmt.Errorf("reading a body: %w", err)
	case int64(len(b)) != length:
		return nil, fmt.Errorf("reading a body: %w", io.ErrUnexpectedEOF)
	}
	return b, nil
}

// Package lengthprefix reads and writes length-prefixed frames on a connection or in a file. A frame is a payload
// after its length, which is encoded in four bytes, big-endian.
package lengthprefix

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// PrefixBytes is the size of the length prefix, in bytes.
const PrefixBytes = 4

// ErrTooLong is returned for a frame that is longer than the reader accepts.
var ErrTooLong = errors.New("frame too long")

// Begin starts a frame in buf, whose content it overwrites. The caller appends the payload and then calls Finish.
func Begin(buf []byte) []byte { return append(buf[:0], 0, 0, 0, 0) }

// Finish writes the length of the payload into the prefix of a frame that Begin has started, and returns the frame.
func Finish(frame []byte) []byte {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-PrefixBytes))
	return frame
}

// Read reads the payload of one frame into buf, or into a new buffer if buf is too small. It allocates at most limit
// bytes, and fails with ErrTooLong for a longer frame. The error wraps io.EOF at the end of the input, and
// io.ErrUnexpectedEOF within a frame.
func Read(r io.Reader, buf []byte, limit int) ([]byte, error) {
	var head [PrefixBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("reading a frame: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(limit) {
		return nil, fmt.Errorf("%w: %d bytes, want at most %d", ErrTooLong, n, limit)
	}
	if cap(buf) < int(n) {
		buf = make([]byte, n)
	}
	if _, err := io.ReadFull(r, buf[:n]); err != nil {
		if errors.Is(err, io.EOF) { // the input ends after the prefix
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("reading a frame: %w", err)
	}
	return buf[:n], nil
}

// Buffered returns the payload of the next frame if the whole frame is in the reader's buffer, and false otherwise. It
// does not advance the reader. The payload is valid until the next read.
func Buffered(r *bufio.Reader) ([]byte, bool) {
	b, _ := r.Peek(r.Buffered()) // never fails, as it reads only buffered bytes
	if len(b) < PrefixBytes {
		return nil, false
	}
	n := binary.BigEndian.Uint32(b)
	if n > uint32(len(b)-PrefixBytes) {
		return nil, false
	}
	return b[PrefixBytes : PrefixBytes+int(n)], true
}

// Package lengthprefix reads and writes frames: byte strings that follow each other on a connection or in a file,
// each after its length in four bytes, big-endian.
package lengthprefix

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// PrefixBytes is the size of the length, in bytes.
const PrefixBytes = 4

// ErrTooLong says that a frame is longer than the reader accepts.
var ErrTooLong = errors.New("the frame is too long")

// Begin starts a frame in a buffer whose content is overwritten. The caller appends the payload and calls Finish.
func Begin(buf []byte) []byte { return append(buf[:0], 0, 0, 0, 0) }

// Finish fills in the length of a frame that Begin has started.
func Finish(frame []byte) []byte {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-PrefixBytes))
	return frame
}

// Read reads one frame's payload, into buf where that has the capacity and else into a new buffer. It allocates
// no more than limit bytes, and fails with ErrTooLong for a longer frame. The error wraps io.EOF at the end of the
// input, and io.ErrUnexpectedEOF within a frame.
func Read(r io.Reader, buf []byte, limit int) ([]byte, error) {
	var head [PrefixBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("reading a frame: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(limit) {
		return nil, fmt.Errorf("%w: a frame of %d bytes, %d are the most", ErrTooLong, n, limit)
	}
	if cap(buf) < int(n) {
		buf = make([]byte, n)
	}
	if _, err := io.ReadFull(r, buf[:n]); err != nil {
		if errors.Is(err, io.EOF) { // after the length
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("reading a frame: %w", err)
	}
	return buf[:n], nil
}

// Buffered returns the payload of the next frame, and false unless all of it is in the reader's buffer. The frame
// stays there, and the payload is valid until the next read.
func Buffered(r *bufio.Reader) ([]byte, bool) {
	b, _ := r.Peek(r.Buffered()) // no more than is there, so that there is no error
	if len(b) < PrefixBytes {
		return nil, false
	}
	n := binary.BigEndian.Uint32(b)
	if n > uint32(len(b)-PrefixBytes) {
		return nil, false
	}
	return b[PrefixBytes : PrefixBytes+int(n)], true
}

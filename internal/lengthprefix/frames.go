// Package lengthprefix is for connections and files on which byte strings follow each other, each behind its
// length.
package lengthprefix

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Head is how many bytes the length takes.
const Head = 4

// ErrLong says that a frame is longer than the reader takes.
var ErrLong = errors.New("the frame is too long")

// New begins a frame in a buffer of which nothing is kept; its payload is appended.
func New(buf []byte) []byte { return append(buf[:0], 0, 0, 0, 0) }

// End fills in the length of a frame that New began.
func End(b []byte) []byte {
	binary.BigEndian.PutUint32(b, uint32(len(b)-Head))
	return b
}

// Read reads one frame's payload into buf, or where that has no room into a new one. No room is made for
// more than most.
func Read(r io.Reader, buf []byte, most int) ([]byte, error) {
	var head [Head]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("reading a frame: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(most) {
		return nil, fmt.Errorf("%w: a frame of %d bytes, %d are the most", ErrLong, n, most)
	}
	if cap(buf) < int(n) {
		buf = make([]byte, n)
	}
	if _, err := io.ReadFull(r, buf[:n]); err != nil {
		if err == io.EOF { // between the length and what it is of
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("reading a frame: %w", err)
	}
	return buf[:n], nil
}

// Buffered gives the payload of the next frame, if all of it is in the reader's buffer already. It stays there.
func Buffered(r *bufio.Reader) ([]byte, bool) {
	b, _ := r.Peek(r.Buffered()) // as many are there
	if len(b) < Head {
		return nil, false
	}
	n := binary.BigEndian.Uint32(b)
	if n > uint32(len(b)-Head) {
		return nil, false
	}
	return b[Head : Head+int(n)], true
}

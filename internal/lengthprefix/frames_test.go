package lengthprefix

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
)

// TestFramesOfEachLengthRoundTrip writes and reads frames of each length up to the limit. Read must fail for a frame that
// is longer or truncated.
func TestFramesOfEachLengthRoundTrip(t *testing.T) {
	var text []byte
	for n := range 20 {
		text = append(text, Finish(append(Begin(nil), bytes.Repeat([]byte{byte(n)}, n)...))...)
	}
	r := bufio.NewReader(bytes.NewReader(text))
	var buf []byte
	for n := range 20 {
		if ahead, ok := Buffered(r); ok != (r.Buffered() > 0) || ok && len(ahead) != n {
			t.Fatalf("Buffered before frame %d: %d bytes, %v", n, len(ahead), ok)
		}
		var err error
		if buf, err = Read(r, buf, 19); err != nil || len(buf) != n || !bytes.Equal(buf, bytes.Repeat([]byte{byte(n)}, n)) {
			t.Fatalf("frame %d: %q %v", n, buf, err)
		}
	}
	if _, err := Read(r, nil, 19); !errors.Is(err, io.EOF) {
		t.Errorf("Read at the end of the input: %v", err)
	}
	frame := Finish(append(Begin(nil), "four"...))
	if _, err := Read(bytes.NewReader(frame), nil, 3); !errors.Is(err, ErrTooLong) {
		t.Errorf("Read of a frame beyond the limit: %v", err)
	}
	for length := 1; length < len(frame); length++ {
		if _, err := Read(bytes.NewReader(frame[:length]), nil, 4); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("Read of a frame truncated at byte %d: %v", length, err)
		}
		r := bufio.NewReader(bytes.NewReader(frame[:length]))
		_, _ = r.Peek(length)
		if _, ok := Buffered(r); ok {
			t.Errorf("Buffered returned a frame truncated at byte %d", length)
		}
	}
}

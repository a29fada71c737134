package lengthprefix

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
)

// TestFrames reads what was written, of any length up to the most, and nothing that is longer or cut.
func TestFrames(t *testing.T) {
	var text []byte
	for n := range 20 {
		text = append(text, End(append(New(nil), bytes.Repeat([]byte{byte(n)}, n)...))...)
	}
	r := bufio.NewReader(bytes.NewReader(text))
	var buf []byte
	for n := range 20 {
		if ahead, ok := Buffered(r); ok != (r.Buffered() > 0) || ok && len(ahead) != n {
			t.Fatalf("ahead of frame %d: %d bytes, %v", n, len(ahead), ok)
		}
		var err error
		if buf, err = Read(r, buf, 19); err != nil || len(buf) != n || !bytes.Equal(buf, bytes.Repeat([]byte{byte(n)}, n)) {
			t.Fatalf("frame %d: %q %v", n, buf, err)
		}
	}
	if _, err := Read(r, nil, 19); !errors.Is(err, io.EOF) {
		t.Errorf("behind the end: %v", err)
	}
	whole := End(append(New(nil), "four"...))
	if _, err := Read(bytes.NewReader(whole), nil, 3); !errors.Is(err, ErrLong) {
		t.Errorf("beyond the most: %v", err)
	}
	for cut := 1; cut < len(whole); cut++ {
		if _, err := Read(bytes.NewReader(whole[:cut]), nil, 4); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut at %d: %v", cut, err)
		}
		r := bufio.NewReader(bytes.NewReader(whole[:cut]))
		_, _ = r.Peek(cut)
		if _, ok := Buffered(r); ok {
			t.Errorf("cut at %d it is there", cut)
		}
	}
}

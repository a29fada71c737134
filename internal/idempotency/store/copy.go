package store

import (
	"errors"
	"io"
)

// Copy keeps what it reads of an answer that passes, as far as one may be kept and all that
// pass at a time have room. One goroutine at a time uses it.
type Copy struct {
	h    *Holder
	from io.ReadCloser
	kept []byte
	over bool // it is longer than is kept
	end  error
}

// Copy begins the copy of an answer of which some has been read.
func (h *Holder) Copy(begun []byte, rest io.ReadCloser) *Copy {
	c := &Copy{h: h, from: rest}
	c.keep(begun)
	return c
}

// Read brings what comes next.
func (c *Copy) Read(p []byte) (int, error) {
	n, err := c.from.Read(p)
	c.keep(p[:n])
	if err != nil {
		c.end = err
	}
	return n, err
}

// Close ends the answer. Where it may be kept, what its client has not taken is read first:
// a repeat is owed it, whatever became of the first one's client.
func (c *Copy) Close() error {
	var piece [8 << 10]byte
	for !c.over && c.end == nil {
		_, _ = c.Read(piece[:])
	}
	return c.from.Close()
}

// Whole gives the body, and false where it is not whole. The copy is over then.
func (c *Copy) Whole() ([]byte, bool) {
	body, ok := c.kept, !c.over && errors.Is(c.end, io.EOF)
	c.drop()
	return body, ok
}

func (c *Copy) keep(b []byte) {
	if c.over || len(b) == 0 {
		return
	}
	n := int64(len(b))
	c.h.mu.Lock()
	room := len(c.kept)+len(b) <= c.h.set.LongAnswer && c.h.copying+n <= c.h.set.Bytes
	if room {
		c.h.copying += n
	}
	c.h.mu.Unlock()
	if !room {
		c.drop()
		return
	}
	c.kept = append(c.kept, b...)
}

// drop gives up what was kept.
func (c *Copy) drop() {
	c.h.mu.Lock()
	c.h.copying -= int64(len(c.kept))
	c.h.mu.Unlock()
	c.kept, c.over = nil, true
}

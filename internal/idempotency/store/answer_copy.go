package store

import (
	"errors"
	"io"
)

// drainChunkBytes is how much of an answer is read at a time for its copy alone.
const drainChunkBytes = 8 << 10

// AnswerCopy copies a streaming answer as it is read, as far as an answer may be kept and the copies that are
// under way together have room. It is used by one goroutine at a time.
type AnswerCopy struct {
	holder  *KeyStore
	source  io.ReadCloser
	copied  []byte
	dropped bool  // the answer is too long, or the copy was taken
	err     error // that ended the source
}

// CopyAnswer begins the copy of an answer of which the first bytes have been read.
func (h *KeyStore) CopyAnswer(first []byte, rest io.ReadCloser) *AnswerCopy {
	c := &AnswerCopy{holder: h, source: rest}
	c.keep(first)
	return c
}

// Read reads what comes next. Its error is that of the source.
func (c *AnswerCopy) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.keep(p[:n])
	if err != nil {
		c.err = err
	}
	return n, err
}

// Close closes the source. Where the answer may still be kept, what its client has not read is read first:
// repeats are to get the complete answer, whatever became of the first client.
func (c *AnswerCopy) Close() error {
	var chunk [drainChunkBytes]byte
	for !c.dropped && c.err == nil {
		_, _ = c.Read(chunk[:]) // the error is noted in c.err
	}
	return c.source.Close()
}

// Body returns the body, or false where it is not complete. The copy is void then.
func (c *AnswerCopy) Body() ([]byte, bool) {
	body, complete := c.copied, !c.dropped && errors.Is(c.err, io.EOF)
	c.drop()
	return body, complete
}

// keep appends what was read, or drops the copy where there is no room for it.
func (c *AnswerCopy) keep(b []byte) {
	if c.dropped || len(b) == 0 {
		return
	}
	if !c.reserve(len(b)) {
		c.drop()
		return
	}
	c.copied = append(c.copied, b...)
}

// reserve takes room for so many bytes, if there is.
func (c *AnswerCopy) reserve(bytes int) bool {
	h := c.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(c.copied)+bytes > h.settings.MaxAnswerBytes || h.copyingBytes+int64(bytes) > h.settings.MaxBytes {
		return false
	}
	h.copyingBytes += int64(bytes)
	return true
}

// drop gives up what was copied.
func (c *AnswerCopy) drop() {
	c.holder.mu.Lock()
	c.holder.copyingBytes -= int64(len(c.copied))
	c.holder.mu.Unlock()
	c.copied, c.dropped = nil, true
}

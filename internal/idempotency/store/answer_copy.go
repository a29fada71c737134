package store

import (
	"errors"
	"io"
)

// drainChunkBytes is the read size for the part of an answer that only its copy still needs.
const drainChunkBytes = 8 << 10

// AnswerCopy copies a streaming answer as it is read, within the size limit of one stored answer and the total
// limit of the copies in progress. It must be used by one goroutine at a time.
type AnswerCopy struct {
	keyStore *KeyStore
	source   io.ReadCloser
	copied   []byte
	dropped  bool  // the answer is too long, or Body was called
	err      error // error of the source; io.EOF at the end of the answer
}

// CopyAnswer begins to copy an answer whose first bytes have already been read.
func (s *KeyStore) CopyAnswer(first []byte, rest io.ReadCloser) *AnswerCopy {
	c := &AnswerCopy{keyStore: s, source: rest}
	c.keep(first)
	return c
}

// Read reads the next part of the answer. It returns the error of the source.
func (c *AnswerCopy) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.keep(p[:n])
	if err != nil {
		c.err = err
	}
	return n, err
}

// Close closes the source. If the answer can still be stored, Close first reads the part that the client has
// not read: repeats must receive the complete answer, even if the first client disconnected.
func (c *AnswerCopy) Close() error {
	var chunk [drainChunkBytes]byte
	for !c.dropped && c.err == nil {
		_, _ = c.Read(chunk[:]) // Read stores the error in c.err
	}
	return c.source.Close()
}

// Body returns the body, or false if it is incomplete. The copy is empty afterwards.
func (c *AnswerCopy) Body() ([]byte, bool) {
	body, complete := c.copied, !c.dropped && errors.Is(c.err, io.EOF)
	c.drop()
	return body, complete
}

// keep appends bytes to the copy, or drops the copy if there is no room for them.
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

// reserve reserves room for more bytes. It reports whether there is enough.
func (c *AnswerCopy) reserve(bytes int) bool {
	keyStore := c.keyStore
	keyStore.mu.Lock()
	defer keyStore.mu.Unlock()
	if len(c.copied)+bytes > keyStore.settings.MaxAnswerBytes || keyStore.copyingBytes+int64(bytes) > keyStore.settings.MaxBytes {
		return false
	}
	keyStore.copyingBytes += int64(bytes)
	return true
}

// drop discards the copy.
func (c *AnswerCopy) drop() {
	c.keyStore.mu.Lock()
	c.keyStore.copyingBytes -= int64(len(c.copied))
	c.keyStore.mu.Unlock()
	c.copied, c.dropped = nil, true
}

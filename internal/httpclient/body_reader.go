package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"jasperpin/internal/core"
)

const (
	// unadmittedBytes is how much of an answer's body is stored without being admitted: it is part of what an attempt
	// needs in any case.
	unadmittedBytes = 4 << 10
	// maxStoredBytes is the length of a buffer for the longest body that is read completely, with space for the read that
	// returns io.EOF or shows that the body is longer.
	maxStoredBytes = core.MaxBufferedAnswer + bytes.MinRead
)

// bodyReader reads the body of an answer: all of a short one, and the beginning of a long one. Each buffer is admitted
// before it is allocated.
type bodyReader struct {
	conn        *serverConn
	response    *http.Response
	maxBytes    int64
	forwardFrom time.Time // when an answer without a length that is still arriving has to be forwarded
	memory      core.AnswerMemory
}

// bodyStart is what has been read of an answer's body.
type bodyStart struct {
	bytes []byte
	more  bool            // the rest has to be streamed
	begun *backgroundRead // a read of the rest that has begun; nil if there is none
	at    time.Time       // when the last of the bytes, or else the head, had been read
}

// backgroundRead is one read of a body in a goroutine of its own: a caller that has to go on before the bytes have
// arrived does so, and the bytes are not lost. Its connection must be interrupted or closed for it to end early.
type backgroundRead struct {
	done   chan struct{} // closed once the following fields are set
	unread []byte
	err    error
}

// startRead starts a read into a buffer.
func startRead(body io.Reader, buffer []byte) *backgroundRead {
	r := &backgroundRead{done: make(chan struct{})}
	go func() {
		defer close(r.done)
		n, err := body.Read(buffer)
		r.unread, r.err = buffer[:n], err
	}()
	return r
}

// take waits for the read and copies its bytes to p. It may be called until ended is set; the error is that of the read
// once all its bytes are taken.
func (r *backgroundRead) take(p []byte) (n int, err error, ended bool) {
	<-r.done
	n = copy(p, r.unread)
	if r.unread = r.unread[n:]; len(r.unread) > 0 {
		return n, nil, false
	}
	return n, r.err, true
}

// read reads a body of at most maxBytes to its end; of a long one it reads what it has to and reports that there is more.
// Without a length or chunks the body ends with the connection, as HTTP/1.1 defines it: a close is an end, and a reset is
// an error. An answer without a length that is still arriving at forwardFrom has more.
func (r *bodyReader) read() (first bodyStart, err error) {
	length := r.response.ContentLength
	switch {
	case r.response.Request.Method == http.MethodHead:
		return bodyStart{}, nil
	case length > r.maxBytes:
		return bodyStart{}, fmt.Errorf("reading an answer's body: %w: %d bytes announced", errAnswerTooLong, length)
	case length > core.MaxBufferedAnswer: // the client's time is that of the first bytes
		first.more = true
	case length >= 0:
		first, err = r.readSized(int(length))
	default:
		first, err = r.readUnsized()
	}
	if err != nil {
		return bodyStart{}, fmt.Errorf("reading an answer's body: %w", err)
	}
	if first.more {
		r.conn.readLimit.Store(maxFramingFactor * r.maxBytes)
	}
	return first, nil
}

// readSized reads a body of a length. If there is no memory to store it, it reads nothing.
func (r *bodyReader) readSized(length int) (bodyStart, error) {
	if length > unadmittedBytes && !r.memory.Take(length) {
		return bodyStart{more: true}, nil
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r.response.Body, body)
	return bodyStart{bytes: body}, err //nolint:wrapcheck // wrapped by read
}

// readUnsized reads a body whose length is not announced: to its end, or until it is longer than
// core.MaxBufferedAnswer, until there is no memory to store more, or until forwardFrom.
func (r *bodyReader) readUnsized() (bodyStart, error) {
	timer := time.NewTimer(time.Until(r.forwardFrom))
	defer timer.Stop()
	text := make([]byte, 0, unadmittedBytes)
	lastRead := time.Now()
	for {
		if len(text) == cap(text) {
			grown := r.grow(text)
			if grown == nil {
				return bodyStart{bytes: text, more: true, at: lastRead}, nil
			}
			text = grown
		}
		read := startRead(r.response.Body, text[len(text):cap(text)])
		select {
		case <-read.done:
		case <-timer.C:
			return bodyStart{text, true, read, lastRead}, nil
		}
		lastRead = time.Now()
		text = text[:len(text)+len(read.unread)]
		switch {
		case errors.Is(read.err, io.EOF):
			return bodyStart{bytes: text}, nil
		case read.err != nil:
			return bodyStart{}, read.err
		case len(text) > core.MaxBufferedAnswer:
			return bodyStart{bytes: text, more: true, at: lastRead}, nil
		}
	}
}

// grow returns a body in a buffer of twice the size, or nil if there is no memory for that.
func (r *bodyReader) grow(text []byte) []byte {
	size := min(2*cap(text), maxStoredBytes)
	if size == cap(text) || !r.memory.Take(size-cap(text)) {
		return nil
	}
	return append(make([]byte, 0, size), text...)
}

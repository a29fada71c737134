package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"jasperpin/internal/core"
)

const (
	// maxHeadBytes limits the head of an answer.
	maxHeadBytes = 32 << 10
	// maxFramingFactor limits the bytes of an answer on the wire, as a multiple of its length: chunks of one byte
	// are mostly framing.
	maxFramingFactor = 8
	// maxBufferedBytes limits all bytes that a server may send for an answer that is read completely, including
	// 1xx answers and chunk framing.
	maxBufferedBytes = maxFramingFactor*core.MaxBufferedAnswer + maxHeadBytes
	// forwardMargin is how long before the end of an attempt an answer without a length is forwarded as it arrives,
	// if more of it arrives then: a server that writes slowly pauses for less.
	forwardMargin = 100 * time.Millisecond
	// answerStallTimeout is how long a server may pause within a streaming answer. The attempt's own timeout
	// ends with the first bytes.
	answerStallTimeout = 10 * time.Second
	// firstChunkBytes is how much of the body of a streaming answer is read together with its head.
	firstChunkBytes = 16 << 10
)

// Reasons for which an answer cannot be sent to the client. All wrap errBadAnswer.
var (
	errBadAnswer     = errors.New("bad answer")
	errAnswerTooLong = fmt.Errorf("%w: too long", errBadAnswer)
	errNoLength      = fmt.Errorf("%w: length not announced", errBadAnswer)
)

// errStillArriving ends the buffering of an answer that is forwarded as it arrives from now on.
var errStillArriving = errors.New("answer is still arriving")

// readHead reads an answer's head, and skips 1xx answers before it. Its error wraps errBadAnswer or the error
// of the connection.
func (c *serverConn) readHead(req *http.Request) (*http.Response, error) {
	c.readLimit = maxBufferedBytes
	for {
		resp, err := http.ReadResponse(c.reader, req)
		switch {
		case err != nil:
			return nil, fmt.Errorf("reading an answer's head: %w", err)
		case resp.StatusCode >= 200:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("reading an answer's head: %w: status %d", errBadAnswer, resp.StatusCode)
		}
	}
}

// readBody reads an answer's body of at most maxBytes to its end; of a long one it reads the first bytes and
// reports that there is more. A body that only the end of the connection would delimit is rejected unless the
// server announces that it closes: if the body were truncated, or its length header lost on the way, it would
// seem complete.
func (c *serverConn) readBody(resp *http.Response, maxBytes int64, forwardFrom time.Time) (body []byte, more bool, err error) {
	switch {
	case resp.Request.Method == http.MethodHead:
		return nil, false, nil
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !announcesClose(resp):
		return nil, false, fmt.Errorf("reading an answer's body: %w", errNoLength)
	case resp.ContentLength > maxBytes:
		return nil, false, fmt.Errorf("reading an answer's body: %w: %d bytes announced", errAnswerTooLong, resp.ContentLength)
	case resp.ContentLength > core.MaxBufferedAnswer:
		body, err = c.readFirstChunk(resp, maxBytes)
		return body, err == nil, err
	}
	return c.readShortBody(resp, maxBytes, forwardFrom)
}

// readFirstChunk reads the first bytes of a streaming body.
func (c *serverConn) readFirstChunk(resp *http.Response, maxBytes int64) ([]byte, error) {
	c.readLimit = maxFramingFactor * maxBytes
	first := make([]byte, firstChunkBytes)
	n, err := resp.Body.Read(first)
	if err != nil {
		return nil, fmt.Errorf("reading an answer's body: %w", err)
	}
	return first[:n], nil
}

// readShortBody reads a body that is announced as short, or whose length is not announced. It reports whether
// there is more, as the body is longer than core.MaxBufferedAnswer, or as it may be and is still arriving after
// forwardFrom: a long answer that its server writes slowly must not be cut off.
func (c *serverConn) readShortBody(resp *http.Response, maxBytes int64, forwardFrom time.Time) (body []byte, more bool, err error) {
	var b bytes.Buffer
	if resp.ContentLength > 0 { // with space for the read that returns io.EOF
		b.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	source := io.LimitReader(resp.Body, core.MaxBufferedAnswer+1)
	if resp.ContentLength < 0 {
		source = &readerUntil{source, forwardFrom, false}
	}
	_, err = b.ReadFrom(source)
	if more = errors.Is(err, errStillArriving); err != nil && !more {
		return nil, false, fmt.Errorf("reading an answer's body: %w", err)
	}
	if more = more || b.Len() > core.MaxBufferedAnswer; more {
		c.readLimit = maxFramingFactor * maxBytes
	}
	return b.Bytes(), more, nil
}

// readerUntil returns errStillArriving once a read has returned bytes after the end.
type readerUntil struct {
	io.Reader
	end   time.Time
	ended bool
}

func (r *readerUntil) Read(p []byte) (int, error) {
	if r.ended {
		return 0, errStillArriving
	}
	n, err := r.Reader.Read(p)
	r.ended = n > 0 && time.Now().After(r.end)
	return n, err //nolint:wrapcheck // the reader's own error
}

// announcesClose reports whether the server has announced that it closes the connection after the answer.
func announcesClose(resp *http.Response) bool {
	http10 := resp.ProtoMajor == 1 && resp.ProtoMinor == 0
	return http10 || strings.EqualFold(resp.Header.Get("Connection"), "close")
}

// streamingBody is the rest of a streaming answer. It owns the connection. It must be read by one goroutine,
// and closed once.
type streamingBody struct {
	conn      *serverConn
	resp      *http.Response
	bytesLeft int64 // maximum number of further bytes
	complete  bool
}

// Read reads the next bytes. Its error is io.EOF once the answer is complete, errAnswerTooLong, or the error of
// the connection, including a timeout if the server pauses for longer than answerStallTimeout.
func (b *streamingBody) Read(p []byte) (int, error) {
	if b.bytesLeft <= 0 {
		p = p[:min(1, len(p))] // the next read may return io.EOF; a further byte exceeds the limit
	} else if int64(len(p)) > b.bytesLeft {
		p = p[:b.bytesLeft]
	}
	_ = b.conn.SetReadDeadline(time.Now().Add(answerStallTimeout)) // if it fails, so does the read
	n, err := b.resp.Body.Read(p)
	if b.bytesLeft -= int64(n); b.bytesLeft < 0 {
		return 0, errAnswerTooLong
	}
	b.complete = errors.Is(err, io.EOF)
	return n, err
}

// Close makes the connection idle if the answer is complete, and closes it otherwise.
func (b *streamingBody) Close() error {
	if !b.complete || b.resp.Close {
		return b.conn.Close()
	}
	b.conn.clearDeadline()
	b.conn.server.putIdle(b.conn)
	return nil
}

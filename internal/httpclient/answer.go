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
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 32 << 10
	// maxBufferedBytes bounds all that a server may send of an answer that is read completely, with 1xx
	// answers and the framing of chunks: a short body, as much again, and a head.
	maxBufferedBytes = 2*core.MaxBufferedAnswer + maxHeadBytes
	// maxFramingFactor is how many times its length a longer answer may take on the wire: chunks of a few
	// bytes are mostly framing.
	maxFramingFactor = 8
	// answerStallTimeout is how long a server may pause within an answer that streams: the attempt's own
	// time-out has been met by its first bytes.
	answerStallTimeout = 10 * time.Second
	// firstChunkBytes is how much of a streaming answer is read with its head.
	firstChunkBytes = 16 << 10
)

// What makes an answer unfit for the client. All wrap errBadAnswer.
var (
	errBadAnswer     = errors.New("bad answer")
	errAnswerTooLong = fmt.Errorf("%w: longer than an answer may be", errBadAnswer)
	errNoLength      = fmt.Errorf("%w: its length is not announced", errBadAnswer)
)

// readHead reads an answer's head, after any 1xx answers ahead of it. Its error wraps errBadAnswer or that
// of the connection.
func (c *serverConn) readHead(req *http.Request) (*http.Response, error) {
	c.allowance = maxBufferedBytes
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

// readBody reads an answer's body, of maxBytes at most, to its end; of a long one it reads what comes first
// and reports that there is more. A body that only the connection's end would delimit is rejected unless the
// server announces that it closes: cut short, or with its length lost on the way, it would pass for complete.
func (c *serverConn) readBody(resp *http.Response, maxBytes int64) (body []byte, more bool, err error) {
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
	return c.readShortBody(resp, maxBytes)
}

// readFirstChunk reads the beginning of a body that streams.
func (c *serverConn) readFirstChunk(resp *http.Response, maxBytes int64) ([]byte, error) {
	c.allowance = maxFramingFactor * maxBytes
	first := make([]byte, firstChunkBytes)
	n, err := resp.Body.Read(first)
	if err != nil {
		return nil, fmt.Errorf("reading an answer's body: %w", err)
	}
	return first[:n], nil
}

// readShortBody reads a body that is announced as short, or whose length is not announced. Where it proves
// to be long it reports that there is more.
func (c *serverConn) readShortBody(resp *http.Response, maxBytes int64) (body []byte, more bool, err error) {
	var b bytes.Buffer
	if resp.ContentLength > 0 { // with space for the read that finds the end
		b.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	if _, err := b.ReadFrom(io.LimitReader(resp.Body, core.MaxBufferedAnswer+1)); err != nil {
		return nil, false, fmt.Errorf("reading an answer's body: %w", err)
	}
	if more = b.Len() > core.MaxBufferedAnswer; more {
		c.allowance = maxFramingFactor * maxBytes
	}
	return b.Bytes(), more, nil
}

// announcesClose reports whether a server has announced that the connection's end is the answer's.
func announcesClose(resp *http.Response) bool {
	http10 := resp.ProtoMajor == 1 && resp.ProtoMinor == 0
	return http10 || strings.EqualFold(resp.Header.Get("Connection"), "close")
}

// streamingBody is the rest of a streaming answer. It owns the connection. It is read by one goroutine, and
// closed once.
type streamingBody struct {
	conn      *serverConn
	resp      *http.Response
	bytesLeft int64 // that may still come
	complete  bool
}

// Read reads what comes next. Its error is io.EOF once the answer is complete, errAnswerTooLong, or that of
// the connection, which includes a server's pause of more than answerStallTimeout.
func (b *streamingBody) Read(p []byte) (int, error) {
	if b.bytesLeft <= 0 {
		p = p[:min(1, len(p))] // the end may still be due; a further byte is one too many
	} else if int64(len(p)) > b.bytesLeft {
		p = p[:b.bytesLeft]
	}
	_ = b.conn.SetReadDeadline(time.Now().Add(answerStallTimeout)) // fails on a closed connection, as does the read
	n, err := b.resp.Body.Read(p)
	if b.bytesLeft -= int64(n); b.bytesLeft < 0 {
		return 0, errAnswerTooLong
	}
	b.complete = errors.Is(err, io.EOF)
	return n, err
}

// Close makes the connection idle where the answer is complete, and closes it otherwise.
func (b *streamingBody) Close() error {
	if !b.complete || b.resp.Close {
		return b.conn.Close()
	}
	b.conn.clearDeadline()
	b.conn.server.putIdle(b.conn)
	return nil
}

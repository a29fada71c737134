package httpclient

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"jasperpin/internal/core"
)

const (
	// maxHeadBytes limits the head of an answer, with the 1xx answers before it, and maxHeadLines the lines of a head:
	// each costs far more memory than its bytes.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxFramingFactor limits the bytes of an answer on the wire, as a multiple of its length: chunks of one byte
	// are mostly framing.
	maxFramingFactor = 8
	// maxBufferedBytes limits all bytes that a server may send for an answer that is read completely, including
	// 1xx answers and chunk framing.
	maxBufferedBytes = maxFramingFactor*core.MaxBufferedAnswer + maxHeadBytes
	// answerStallTimeout is how long a server may pause within a streaming answer. The attempt's own timeout
	// ends with the first bytes.
	answerStallTimeout = 10 * time.Second
	// minLongAnswer is the number of bytes from which on an answer without a length counts as a long one that its server
	// writes slowly, and slowStallTimeout how long its server may then pause. Of a shorter one the client has to learn
	// within 0.5 s of its time that it has failed: it ends shortAnswerSlack after that time.
	minLongAnswer    = core.MaxBufferedAnswer / 2
	slowStallTimeout = 1200 * time.Millisecond
	shortAnswerSlack = 350 * time.Millisecond
)

// Reasons for which an answer cannot be sent to the client. All wrap errBadAnswer.
var (
	errBadAnswer     = errors.New("bad answer")
	errHeadTooLong   = fmt.Errorf("%w: too many lines in its head", errBadAnswer)
	errAnswerTooLong = fmt.Errorf("%w: too long", errBadAnswer)
)

// readHead reads an answer's head, and skips 1xx answers before it. Its error wraps errBadAnswer or the error
// of the connection.
func (c *serverConn) readHead(req *http.Request) (*http.Response, error) {
	c.readLimit.Store(maxHeadBytes + readBufferBytes) // the buffer may read bytes of the body
	for {
		c.head = headLines{counting: true}
		resp, err := http.ReadResponse(c.reader, req)
		switch {
		case err != nil:
			return nil, fmt.Errorf("reading an answer's head: %w", err)
		case resp.StatusCode >= 200:
			c.head.counting = false
			c.readLimit.Store(maxBufferedBytes)
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("reading an answer's head: %w: status %d", errBadAnswer, resp.StatusCode)
		}
	}
}

// streamingBody is the rest of a streaming answer. It owns the connection. It must be read by one goroutine,
// and closed once.
type streamingBody struct {
	conn      *serverConn
	resp      *http.Response
	begun     *backgroundRead // a read that has begun before the answer was streamed; nil if there is none
	received  int64           // bytes read so far, including those before the answer was streamed
	lastRead  time.Time       // when the last of them had been read
	bytesLeft int64           // maximum number of further bytes
	// clientDeadline is when the client's time is over. An answer that is not known to be long must have ended soon
	// after it.
	clientDeadline time.Time
	complete       bool
}

// Read reads the next bytes. Its error is io.EOF once the answer is complete, errAnswerTooLong, or the error of
// the connection, including a timeout if the server pauses for too long.
func (b *streamingBody) Read(p []byte) (int, error) {
	if b.bytesLeft <= 0 {
		p = p[:min(1, len(p))] // the next read may return io.EOF; a further byte exceeds the limit
	} else if int64(len(p)) > b.bytesLeft {
		p = p[:b.bytesLeft]
	}
	_ = b.conn.SetReadDeadline(b.stallDeadline(time.Now())) // if it fails, so does the read
	n, err := b.read(p)
	b.received += int64(n)
	b.lastRead = time.Now()
	if b.bytesLeft -= int64(n); b.bytesLeft < 0 {
		return 0, errAnswerTooLong
	}
	b.complete = errors.Is(err, io.EOF)
	return n, err
}

// read reads the next bytes: first those of the read that has begun before.
func (b *streamingBody) read(p []byte) (n int, err error) {
	if b.begun == nil {
		return b.resp.Body.Read(p) //nolint:wrapcheck // the reader's own error
	}
	n, err, ended := b.begun.take(p)
	if ended {
		b.begun = nil
	}
	return n, err
}

// stallDeadline returns until when the next bytes must have arrived.
func (b *streamingBody) stallDeadline(now time.Time) time.Time {
	inTime := b.clientDeadline.Add(shortAnswerSlack)
	slow := b.lastRead.Add(slowStallTimeout)
	switch {
	case b.resp.ContentLength > core.MaxBufferedAnswer || b.received > core.MaxBufferedAnswer:
		return now.Add(answerStallTimeout)
	case b.resp.ContentLength < 0 && b.received > minLongAnswer && slow.After(inTime):
		return slow
	}
	return inTime
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

package httpserver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"jasperpin/internal/limit"
)

// Limits on the time that a client takes to send a body. Only the time for which the node has waited for the
// client counts, since a slow server delays its client.
const (
	// requestTimeout is how long a request may take to arrive, counted from its first byte, and bodyGrace how
	// long its body may take in any case. After that the body must arrive at minBytesPerSecond on average.
	// Clients are allowed 2 s for all of a short request, or a rate of 64 kB/s; the connection of a client that
	// stalls early must be closed 3 s after the connect.
	requestTimeout    = 2800 * time.Millisecond
	bodyGrace         = time.Second
	minBytesPerSecond = 48 << 10
	// maxPause limits each single pause, so that a stalled client is detected however far ahead of the average
	// rate it was.
	maxPause = 1200 * time.Millisecond
	// discardTimeout is how long the rest of a body is read and discarded after its answer: a client that is
	// still writing must finish before it reads the answer.
	discardTimeout = 3 * time.Second
)

// Buffer sizes, in bytes.
const (
	// streamChunkBytes is how much a stream reads and forwards at a time, and the maximum by which the buffer
	// of a body grows: large enough for a low cost of system calls, small enough for thousands of buffers at
	// once.
	streamChunkBytes = 32 << 10
	// maxSendBuffer is how much a client's machine buffers of a body that is not read: the usual maximum of Linux.
	maxSendBuffer = 4 << 20
	// firstBufferBytes is the initial size of the buffer of a body: most bodies are shorter.
	firstBufferBytes = 2 << 10
)

// Errors of reading a body.
var (
	errBodyClosed  = errors.New("the body is closed")
	errBodyTooLong = errors.New("the body is longer than allowed")
	errBodyMemory  = errors.New("no memory for the body")
)

// streamBuffers contains the buffers of streamed answers.
var streamBuffers = sync.Pool{New: func() any { return new([streamChunkBytes]byte) }}

// upload reads a request's body and enforces the limits for slow clients. The exchange buffers the beginning;
// an attempt reads the rest, until stop. stop may be called during a Read; all other methods must be called one
// after the other.
type upload struct {
	body       io.Reader
	controller *http.ResponseController
	memory     *requestMemory
	connEnded  <-chan struct{} // closed once the client's connection is closed
	maxBytes   int64           // maximum length of the body
	length     int64           // announced length of the body in bytes; negative if unknown
	unread     func() int      // returns the number of bytes in the socket
	grace      time.Duration   // time allowed for the first bytes
	// restArrived reports whether the bytes in the socket complete the request.
	restArrived func() bool
	clientTime  func() time.Duration // returns how long the client waits at least: its last byte may be in the socket
	hold        memoryHold           // of the body; its need is changed only by the exchange's goroutine, before it is shared

	// mu is held during a Read, including its wait for the client. stop ends the Read with a deadline and then
	// acquires mu to wait until it has returned.
	mu       sync.Mutex
	waited   time.Duration // total time of waiting for the client
	received int64         // bytes received

	// stateMu is held only briefly, and acquired after mu.
	stateMu  sync.Mutex
	closed   bool
	ended    bool      // the last byte has been read
	lastByte time.Time // when bytes were last read
	lastWait time.Time // the last time by which the client cannot have sent the last byte
}

// readTimeout returns how long the next byte may take. The caller holds mu.
func (u *upload) readTimeout() time.Duration {
	allowed := u.grace + time.Duration(u.received)*time.Second/minBytesPerSecond
	return min(maxPause, allowed-u.waited)
}

// Read reads the next bytes, within their time limit. Its error is io.EOF, errBodyClosed, errBodyTooLong or the
// error of the connection.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	began := time.Now()
	if !u.startRead(began.Add(u.readTimeout())) {
		return 0, errBodyClosed
	}
	n, err := u.body.Read(p)
	u.waited += time.Since(began)
	u.noteRead(n, time.Since(began))
	if u.received += int64(n); u.received > u.maxBytes {
		return 0, errBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		u.markEnded()
	}
	return n, err
}

// noteRead records that n bytes have been read, which took some time. The client cannot have sent its last byte if the
// read had to wait, or if more bytes are missing than its machine buffers. The caller holds mu.
func (u *upload) noteRead(n int, took time.Duration) {
	if n == 0 {
		return
	}
	missing := u.length - u.received - int64(n)
	incomplete := took > blockedReadTime || missing > maxSendBuffer && missing-int64(u.unread()) > maxSendBuffer
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	u.lastByte = time.Now()
	if incomplete {
		u.lastWait = u.lastByte
	}
}

// sentAt returns the earliest time at which the client may have sent the last byte of the body. A client that waits for
// the node has written at most maxSendBuffer ahead.
func (u *upload) sentAt() time.Time {
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	return u.lastWait
}

// lastRead returns when bytes were last read.
func (u *upload) lastRead() time.Time {
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	return u.lastByte
}

// startRead sets the deadline of a read. It returns false if the body is closed.
func (u *upload) startRead(deadline time.Time) bool {
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	if u.closed {
		return false
	}
	_ = u.controller.SetReadDeadline(deadline) // fails on a closed connection, where the read returns the error
	return true
}

// markEnded records that the body is complete. From now on net/http reads in the background, without a
// deadline.
func (u *upload) markEnded() {
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	u.ended = true
	_ = u.controller.SetReadDeadline(time.Time{}) // fails on a closed connection, where the next read returns the error
}

// Close implements io.Closer for the attempts that read the body. It calls stop and never fails.
func (u *upload) Close() error {
	u.stop()
	return nil
}

// stop ends a Read and waits until it has returned: the body must not be read after the request's handler has
// returned.
func (u *upload) stop() {
	u.stateMu.Lock()
	u.closed = true
	if !u.ended { // otherwise net/http reads in the background, and would report the deadline as a disconnect
		_ = u.controller.SetReadDeadline(pastDeadline) // fails on a closed connection, where the Read ends as well
	}
	u.stateMu.Unlock()
	u.mu.Lock() // held by the Read until it returns
	defer u.mu.Unlock()
}

// closedByNode reports whether the node has stopped the reading. net/http then cancels the request's context as
// it does when the client disconnects.
func (u *upload) closedByNode() bool {
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	return u.closed
}

// complete reports whether the body has been read to its end.
func (u *upload) complete() bool {
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	return u.ended
}

// abandoned reports whether the body was closed before its end. It waits until a Read in progress has returned.
func (u *upload) abandoned() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	return u.closed && !u.ended
}

// discardRest reads and discards the rest of a body whose answer has been written.
func (u *upload) discardRest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	// The errors can be ignored: the connection is closed next in any case.
	_ = u.controller.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, u.body, u.maxBytes)
}

// buffer reads as much of the body as may be buffered in memory, and reports whether the body is complete.
// length is the announced length in bytes, or negative if none was announced. The buffer grows with the bytes
// that have arrived and not by the announced length; otherwise clients that send nothing could reserve all
// memory.
func (u *upload) buffer(length int64) (body []byte, complete bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	body = make([]byte, 0, firstBufferSize(length))
	for {
		if len(body) == cap(body) {
			grown, err := u.grow(body, length)
			if errors.Is(err, errStreamRest) {
				return body, false, nil
			}
			if err != nil {
				return nil, false, err
			}
			body = grown
		}
		n, err := u.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return nil, false, fmt.Errorf("reading a body: %w", err)
		case length >= 0 && int64(len(body)) != length:
			return nil, false, fmt.Errorf("reading a body: %w", io.ErrUnexpectedEOF)
		default:
			return body, true, nil
		}
	}
}

// firstBufferSize returns the initial buffer size for a body with the announced length, in bytes; a negative
// length means that none was announced.
func firstBufferSize(length int64) int64 {
	if length < 0 {
		return firstBufferBytes
	}
	return min(length, firstBufferBytes)
}

// grow returns the body in a larger buffer. A body that is announced as short gets all of its buffer at once; another
// one gets twice the size, or streamChunkBytes more if memory is short. The error is errStreamRest, or errBodyMemory if
// there is no memory for a body that is not streamed.
func (u *upload) grow(body []byte, length int64) ([]byte, error) {
	if length > limit.MaxHeldBody {
		return nil, errStreamRest
	}
	if length >= 0 && length <= limit.MaxGuaranteedBody {
		size := int(length) + bytes.MinRead // with space for the read that returns io.EOF
		if !u.await(size) {
			return nil, errBodyMemory
		}
		return append(make([]byte, 0, size), body...), nil
	}
	more := max(cap(body), firstBufferBytes)
	if length >= 0 {
		more = min(more, max(int(length)-len(body), bytes.MinRead))
	}
	if !u.reserve(len(body) + more) {
		if more = min(more, streamChunkBytes); !u.reserve(len(body) + more) {
			return nil, errStreamRest
		}
	}
	return append(make([]byte, 0, len(body)+more), body...), nil
}

// errStreamRest reports that the rest of a body has to stream, since the body is longer than the maximum for buffering
// or memory is short.
var errStreamRest = errors.New("the rest of the body is streamed")

// await takes the memory for a buffer of a size, and may wait for it.
func (u *upload) await(size int) bool {
	if size <= limit.SmallBody {
		return true
	}
	return u.acquire(limit.BodyNeed(size-limit.SmallBody, u.restArrived()))
}

// beginStream takes the memory for streaming the rest of the body, and may wait for it.
func (u *upload) beginStream() bool { return u.acquire(limit.UploadNeed) }

// acquire adds a need to the hold of the body, and may wait for it.
func (u *upload) acquire(need limit.RequestNeed) bool {
	if !u.memory.acquire(need, u.memory.wait(u.clientTime()), u.connEnded) {
		return false
	}
	u.hold.need = u.hold.need.Add(need)
	return true
}

// reserve takes the memory for a buffer of a size. It returns false if memory is short.
func (u *upload) reserve(size int) bool {
	needed := size - limit.SmallBody
	held := u.hold.need.Bytes
	if needed <= held {
		return true
	}
	if !u.memory.grow(held, needed-held) {
		return false
	}
	u.hold.need = u.hold.need.Add(limit.BodyNeed(needed-held, false))
	return true
}

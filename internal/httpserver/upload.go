package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"jasperpin/internal/limit"
)

// How quickly a client must send a body. Only the time for which the node has waited for the client
// counts: a slow server holds its client up.
const (
	// requestTimeout is how long a request may take to arrive, from its first byte on, or bodyGrace from
	// its body's if that is more; beyond this the body must arrive at minBytesPerSecond on average.
	// Clients may take 2 s for all of a short request, or send at 64 kB/s; one that stalls early must be
	// closed 3 s after it connected.
	requestTimeout    = 2800 * time.Millisecond
	bodyGrace         = time.Second
	minBytesPerSecond = 48 << 10
	// maxPause bounds each single pause, so that a stalled client is noticed however much it has sent
	// ahead of the average.
	maxPause = 1200 * time.Millisecond
	// discardTimeout is how long the rest of a body is read after its answer: a client that still writes
	// must come to read the answer.
	discardTimeout = 3 * time.Second
)

// Buffer sizes, in bytes.
const (
	// streamChunkBytes is what a stream reads and forwards at a time, and the most by which the buffer of
	// a body grows: large enough that system calls cost little, small enough for thousands at once.
	streamChunkBytes = 32 << 10
	// firstBufferBytes is what the buffer of a body begins with: most bodies are shorter.
	firstBufferBytes = 2 << 10
)

// Why a body cannot be read any further.
var (
	errBodyClosed  = errors.New("the body is closed")
	errBodyTooLong = errors.New("the body is longer than allowed")
)

// streamBuffers are the buffers of streamed answers.
var streamBuffers = sync.Pool{New: func() any { return new([streamChunkBytes]byte) }}

// upload reads a request's body under the rules for slow clients. The exchange buffers the beginning; an
// attempt reads the rest, until stop. stop may be called during a Read; other methods follow one another.
type upload struct {
	body       io.Reader
	controller *http.ResponseController
	memory     *bodyMemory
	maxBytes   int64         // that the body may have
	grace      time.Duration // how long the first bytes may take
	reserved   int           // bytes of memory; belongs to the exchange's goroutine

	// mu is held during a Read, also while that waits for the client: stop takes it to wait for the
	// Read's end, after it has ended it by a deadline.
	mu       sync.Mutex
	waited   time.Duration // for the client, in all
	received int64         // bytes

	// stateMu is held for moments only, and taken after mu.
	stateMu sync.Mutex
	closed  bool
	ended   bool // the last byte was read
}

// timeLeft is how long the next byte may take. The caller holds mu.
func (u *upload) timeLeft() time.Duration {
	allowed := u.grace + time.Duration(u.received)*time.Second/minBytesPerSecond
	return min(maxPause, allowed-u.waited)
}

// Read reads what comes next, within the time that it may take. Its error is io.EOF, errBodyClosed,
// errBodyTooLong or that of the connection.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	began := time.Now()
	if !u.startRead(began.Add(u.timeLeft())) {
		return 0, errBodyClosed
	}
	n, err := u.body.Read(p)
	u.waited += time.Since(began)
	if u.received += int64(n); u.received > u.maxBytes {
		return 0, errBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		u.markEnded()
	}
	return n, err
}

// startRead sets the deadline of a read. It returns false once the body is closed.
func (u *upload) startRead(deadline time.Time) bool {
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	if u.closed {
		return false
	}
	_ = u.controller.SetReadDeadline(deadline) // fails on a closed connection, and the read says so
	return true
}

// markEnded notes that the body is complete. From here on net/http reads in the background, without a
// deadline.
func (u *upload) markEnded() {
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	u.ended = true
	_ = u.controller.SetReadDeadline(time.Time{}) // fails on a closed connection, and the next read says so
}

// Close is stop, for the attempts that read the body. It never fails.
func (u *upload) Close() error {
	u.stop()
	return nil
}

// stop ends a Read and waits for its return: after the request's handler has returned nobody may read.
func (u *upload) stop() {
	u.stateMu.Lock()
	u.closed = true
	if !u.ended { // else net/http reads by now, and would take the deadline for a disconnect
		_ = u.controller.SetReadDeadline(pastDeadline) // fails on a closed connection, where the Read ends anyway
	}
	u.stateMu.Unlock()
	u.mu.Lock() // held by the Read until its return
	defer u.mu.Unlock()
}

// closedByNode reports whether the node has ended the reading: net/http then cancels the request's context
// as if the client had disconnected.
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

// abandoned reports whether the body was closed before its end. It waits for a Read to return.
func (u *upload) abandoned() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stateMu.Lock()
	defer u.stateMu.Unlock()
	return u.closed && !u.ended
}

// discardRest reads and drops the rest of a body whose answer has been written.
func (u *upload) discardRest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	// Neither error changes anything: the connection is closed next.
	_ = u.controller.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, u.body, u.maxBytes)
}

// buffer reads as much of the body as may be kept in memory, and reports whether that is all of it. The
// length is as announced, in bytes, or negative where it was not. The buffer grows with what has arrived
// and not by what was announced, or silent clients could reserve all memory.
func (u *upload) buffer(length int64) (body []byte, complete bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	body = make([]byte, 0, firstBufferSize(length))
	for {
		if len(body) == cap(body) {
			grown, ok := u.grow(body, length)
			if !ok {
				return body, false, nil
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

// firstBufferSize is the size of the first buffer for a body of an announced length; negative for none.
func firstBufferSize(length int64) int64 {
	if length < 0 {
		return firstBufferBytes
	}
	return min(length, firstBufferBytes)
}

// grow returns the body in a larger buffer. It returns false where the rest has to stream: the body is
// longer than any that is kept, or memory is short.
func (u *upload) grow(body []byte, length int64) ([]byte, bool) {
	if length > limit.MaxHeldBody {
		return nil, false
	}
	more := min(max(cap(body), firstBufferBytes), streamChunkBytes)
	if needed := len(body) + more - limit.GuaranteedBody; needed > u.reserved {
		if !u.memory.reserve(u.reserved, needed-u.reserved) {
			return nil, false
		}
		u.reserved = needed
	}
	return append(make([]byte, 0, len(body)+more), body...), true
}

// releaseMemory gives back the memory that the body has reserved.
func (u *upload) releaseMemory() {
	if u.reserved > 0 {
		u.memory.release(u.reserved)
		u.reserved = 0
	}
}

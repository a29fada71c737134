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

// How quickly a client must bring a body, and take an answer.
const (
	// requestWait is how long a request may take from its first byte on, or bodySlack its
	// body where that is more; then the body must have come at leastRate, in bytes a
	// second, on the whole. Only the time that the node has waited for the client counts:
	// a slow server holds its client up. Clients take 2 s for all of a short request, or
	// write at 64 kB a second; one that stalls early is owed a close 3 s after it has
	// connected.
	requestWait = 2800 * time.Millisecond
	bodySlack   = time.Second
	leastRate   = 48 << 10
	// bodyStall is how long any one pause may be.
	bodyStall = 1200 * time.Millisecond
	// piece is what is read and passed on at a time, and the most a kept body grows by;
	// it begins with firstRoom.
	piece     = 32 << 10
	firstRoom = 2 << 10
	// discardFor is how long what is left of a body is taken in after its answer, so that
	// a client that is still writing comes to read it.
	discardFor = 3 * time.Second
)

var (
	errClosed  = errors.New("the body is not wanted any more")
	errTooLong = errors.New("longer than a body may be")
)

// pieces are the buffers of streams.
var pieces = sync.Pool{New: func() any { return new([piece]byte) }}

// bodyRoom is the memory for bodies, under its lock.
type bodyRoom struct {
	mu sync.Mutex
	of *limit.Bodies
}

func (r *bodyRoom) resize(m limit.Machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of.Resize(m)
}

func (r *bodyRoom) grow(held, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of.Grow(held, n)
}

func (r *bodyRoom) give(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of.Give(n)
}

// upload is a request's body as it comes. What is kept of it is read by the front; the
// rest by an attempt, until Close.
type upload struct {
	body  io.Reader
	rc    *http.ResponseController
	room  *bodyRoom
	most  int64         // bytes that the body may have
	slack time.Duration // how long the first bytes may take
	held  int           // bytes beyond a short body, off the room

	mu     sync.Mutex // held by a read that goes on
	waited time.Duration
	came   int64
	ended  bool
	quit   sync.Mutex // of closed, so that Close waits for no read before it ends it
	closed bool
}

// left is how long the next byte may take.
func (u *upload) left() time.Duration {
	return min(bodyStall, u.slack+time.Duration(u.came)*time.Second/leastRate-u.waited)
}

// Read brings what comes next, within the time that it may take.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.quit.Lock()
	if u.closed {
		u.quit.Unlock()
		return 0, errClosed
	}
	began := time.Now()
	_ = u.rc.SetReadDeadline(began.Add(u.left()))
	u.quit.Unlock()
	n, err := u.body.Read(p)
	u.waited += time.Since(began)
	if u.came += int64(n); u.came > u.most {
		return 0, errTooLong
	}
	if errors.Is(err, io.EOF) {
		u.quit.Lock()
		u.ended = true
		_ = u.rc.SetReadDeadline(time.Time{})
		u.quit.Unlock()
	}
	return n, err
}

// Close ends a read that goes on and waits for its end: after the request's handler has
// returned nobody may read.
func (u *upload) Close() error {
	u.quit.Lock()
	u.closed = true
	if !u.ended { // else net/http reads by now, and would take it for the client's end
		_ = u.rc.SetReadDeadline(longAgo)
	}
	u.quit.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	return nil
}

// ours says whether it was the node that ended the reading: net/http then takes the
// client for gone, which it is not.
func (u *upload) ours() bool {
	u.quit.Lock()
	defer u.quit.Unlock()
	return u.closed
}

// cut says whether the body was given up before its end.
func (u *upload) cut() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed && !u.ended
}

// done says whether the body has been read to its end.
func (u *upload) done() bool {
	u.quit.Lock()
	defer u.quit.Unlock()
	return u.ended
}

// discard takes in what is left of a body whose answer has gone.
func (u *upload) discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.rc.SetReadDeadline(time.Now().Add(discardFor))
	_, _ = io.CopyN(io.Discard, u.body, u.most)
}

// keep reads as much of the body as may be kept, and says whether that is all of it.
// Room grows with what has come, not with what a length promises, or silent clients
// could hold it all.
func (u *upload) keep(length int64) (b []byte, whole bool, err error) {
	switch {
	case length == 0:
		return nil, true, nil
	case length > 0:
		b = make([]byte, 0, min(length, firstRoom))
	default:
		b = make([]byte, 0, firstRoom)
	}
	for {
		if len(b) == cap(b) {
			if length > limit.KeptBody {
				return b, false, nil // it passes in any case
			}
			more := min(max(cap(b), firstRoom), piece)
			if over := len(b) + more - limit.ShortBody; over > u.held {
				if !u.room.grow(u.held, over-u.held) {
					return b, false, nil
				}
				u.held = over
			}
			b = append(make([]byte, 0, len(b)+more), b...)
		}
		n, err := u.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return nil, false, fmt.Errorf("reading a body: %w", err)
		case length >= 0 && int64(len(b)) != length:
			return nil, false, fmt.Errorf("reading a body: %w", io.ErrUnexpectedEOF)
		default:
			return b, true, nil
		}
	}
}

// free gives the room of what was kept back.
func (u *upload) free() {
	if u.held > 0 {
		u.room.give(u.held)
		u.held = 0
	}
}

// relay passes an answer on as it comes.
func relay(w http.ResponseWriter, r io.Reader) error {
	buf := pieces.Get().(*[piece]byte)
	defer pieces.Put(buf)
	rc := http.NewResponseController(w)
	for {
		if err := rc.Flush(); err != nil { // what has come is not held back
			return fmt.Errorf("passing an answer on: %w", err)
		}
		n, err := r.Read(buf[:])
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return fmt.Errorf("passing an answer on: %w", err)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("passing an answer on: %w", err)
		}
	}
}

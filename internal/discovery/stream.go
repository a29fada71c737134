package discovery

import (
	"context"
	"io"
	"time"

	"jasperpin/internal/core"
)

const (
	// tellQuiet is how long an answer pauses until what has come of it is told, and tellMost how long
	// what has come waits at the most: it counts as told from when discovery wrote it.
	tellQuiet = 10 * time.Millisecond
	tellMost  = 40 * time.Millisecond
	// pieceSize is how much of an answer is read at a time, and piecesAhead how many pieces may wait to
	// be decoded: more than a whole answer has, unless it trickles.
	pieceSize   = 16 << 10
	piecesAhead = maxList / pieceSize
)

// piece is a part of an answer's body, or its end.
type piece struct {
	text []byte
	err  error
}

// answer is the body of an answer that is decoded as it comes. What has been decoded is told once the
// decoder has to wait, so that an answer that stops in the middle has told all that came whole, and one
// that comes at once is told at once.
type answer struct {
	ctx    context.Context // of the call
	pieces chan piece
	rest   []byte // of the last piece
	err    error
	tell   func([]core.Endpoint)
	fresh  []core.Endpoint // decoded and not told
	since  time.Time       // when the first of them was
	tells  int
}

// newAnswer begins to read a body, until its end or the context's. Progress is called ahead of each read.
func newAnswer(ctx context.Context, body io.Reader, progress func(), tell func([]core.Endpoint)) *answer {
	a := &answer{ctx: ctx, pieces: make(chan piece, piecesAhead), tell: tell}
	go a.readAhead(io.LimitReader(body, maxList), progress)
	return a
}

func (a *answer) readAhead(body io.Reader, progress func()) {
	for {
		progress()
		text := make([]byte, pieceSize)
		n, err := body.Read(text)
		select {
		case a.pieces <- piece{text[:n], err}:
		case <-a.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// Read is for the decoder.
func (a *answer) Read(p []byte) (int, error) {
	for len(a.rest) == 0 {
		if a.err != nil {
			return 0, a.err
		}
		next := a.next()
		a.rest, a.err = next.text, next.err
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

// next waits for the next piece, and tells what is decoded where it does not come soon.
func (a *answer) next() piece {
	if len(a.fresh) > 0 {
		pause := time.NewTimer(min(tellQuiet, tellMost-time.Since(a.since)))
		defer pause.Stop()
		select {
		case next := <-a.pieces:
			return next
		case <-pause.C:
			a.flush()
		}
	}
	select {
	case next := <-a.pieces:
		return next
	case <-a.ctx.Done():
		return piece{err: context.Cause(a.ctx)}
	}
}

// add takes a server that has been decoded.
func (a *answer) add(h core.Endpoint) {
	if len(a.fresh) == 0 {
		a.since = time.Now()
	}
	a.fresh = append(a.fresh, h)
	if len(a.fresh)%yieldEvery == 0 && time.Since(a.since) > tellMost {
		a.flush()
	}
}

// flush tells what has been decoded.
func (a *answer) flush() {
	if len(a.fresh) == 0 {
		return
	}
	fresh := a.fresh
	a.fresh = nil
	a.tells++
	a.tell(fresh)
}
